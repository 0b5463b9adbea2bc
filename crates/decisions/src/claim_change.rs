use super::*;

/// Key of a claim's row: a team's idempotency key as a digest, behind the team's name.
#[derive(Clone, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ClaimRowKey(Arc<str>);

impl ClaimRowKey {
    /// Row of a team's idempotency key.
    #[must_use]
    pub fn new(team: &TeamId, key: &IdempotencyKey) -> Self {
        Self(format!("{team}/{}", RequestId::of_key(team, key.as_str())).into())
    }

    /// The key itself.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl From<&str> for ClaimRowKey {
    fn from(key: &str) -> Self {
        Self(key.into())
    }
}

/// A wanted change of a claim's row: the record is written if the row has the expected version.
#[derive(Clone, Debug, PartialEq)]
pub struct ClaimChange {
    /// The row.
    pub key: ClaimRowKey,
    /// Version that the row must have; 0 means that there is none.
    pub expected: u64,
    /// What is written.
    pub record: ClaimRecord,
}

/// A claim's row as the table service showed it; a version of 0 and no record if there is none.
#[derive(Clone, Debug, PartialEq)]
pub struct FoundClaim {
    /// The row.
    pub key: ClaimRowKey,
    /// Its version.
    pub version: u64,
    /// What it holds; `None` too if it cannot be read.
    pub record: Option<ClaimRecord>,
}

/// What a row that was found in place of the expected one means for a change.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Judged {
    /// The change has been made, and its answer was lost.
    Made(u64),
    /// It may be tried on this version.
    Again(u64),
    /// Another one has the row.
    Lost,
}

impl ClaimChange {
    /// Judges the row that the table service showed in place of the expected one.
    pub(crate) fn judge(&self, found: &FoundClaim) -> Judged {
        let Some(record) = &found.record else {
            return Judged::Lost;
        };
        if record.token == self.record.token {
            return match (record.stage.is_final(), self.record.stage.is_final()) {
                (false, false) | (true, true) => Judged::Made(found.version),
                (false, true) => Judged::Again(found.version),
                (true, false) => Judged::Lost,
            };
        }
        let released = record.stage == ClaimStage::Released && record.digest == self.record.digest;
        if released && self.record.stage == ClaimStage::Claimed {
            return Judged::Again(found.version);
        }
        Judged::Lost
    }
}
