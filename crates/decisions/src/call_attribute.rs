use super::*;

/// What calls have in common that may crash the upstreams which run them.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum CallAttribute {
    /// Digest of path, team and body: the same call, sent again.
    Body(u64),
    /// A part of the prompt that other prompts may share.
    Part(PartId),
}

impl fmt::Display for CallAttribute {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Body(digest) => write!(f, "body {digest:016x}"),
            Self::Part(part) => write!(f, "part {part}"),
        }
    }
}
