use super::*;

/// One run of an upstream's process: its id, and when it started.
///
/// An upstream may start again under its id. It then knows nothing of before, so whatever is believed of the
/// earlier process (its load, its silence, the memory that it keeps, that it is leaving) must not be applied to
/// the later one. Beliefs are kept by this type and not by the id, so that they cannot be.
///
/// Incarnations of one id are ordered by their start. Not every upstream says when it started; then the id
/// alone tells incarnations apart.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct UpstreamIncarnation {
    /// Id of the upstream.
    #[serde(rename = "i")]
    pub id: UpstreamId,
    /// When it started, if it says so.
    #[serde(rename = "b", default, skip_serializing_if = "Option::is_none")]
    pub born: Option<ProcessStart>,
}

impl UpstreamIncarnation {
    /// Text of the id.
    #[must_use]
    pub fn as_str(&self) -> &str {
        self.id.as_str()
    }

    /// Whether this is surely an earlier incarnation of the same upstream than one that started at `born`.
    #[must_use]
    pub fn is_before(&self, born: Option<ProcessStart>) -> bool {
        matches!((self.born, born), (Some(own), Some(other)) if own < other)
    }
}

impl From<UpstreamId> for UpstreamIncarnation {
    fn from(id: UpstreamId) -> Self {
        Self { id, born: None }
    }
}

impl FromStr for UpstreamIncarnation {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self, Error> {
        Ok(s.parse::<UpstreamId>()?.into())
    }
}

impl fmt::Display for UpstreamIncarnation {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self.born {
            Some(born) => write!(f, "{}@{born}", self.id),
            None => write!(f, "{}", self.id),
        }
    }
}
