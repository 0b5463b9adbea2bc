use super::*;

/// Why an upstream may not get new work.
#[derive(Clone, Copy, Debug, Display, Error, Eq, PartialEq)]
pub enum Ineligible {
    /// Nothing was heard of it yet.
    #[display("nothing was heard of the upstream yet")]
    Unheard,
    /// Its last word is too old.
    #[display("the upstream's last word is too old")]
    Stale,
    /// It is leaving.
    #[display("the upstream is leaving, by {source_of_word}")]
    Leaving {
        /// Who said so.
        source_of_word: LeavingSource,
    },
    /// It does not serve what is asked for.
    #[display("the upstream does not serve what is asked for")]
    Unsuited,
}
