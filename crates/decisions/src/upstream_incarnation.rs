//! Distinguishes the successive processes of one upstream.
//!
//! An upstream may restart under its id. The new process has no state of the earlier one, so what is known
//! about the earlier process (its load, its silence, the KV copies that it keeps, that it is leaving) must not
//! be applied to the new one. Such knowledge is therefore keyed by [`UpstreamIncarnation`] and not by the
//! id.

use super::*;

/// One process of an upstream, identified by the upstream's id and the start time of the process.
///
/// Incarnations of one id are ordered by start time. Not every upstream reports when it started; without a
/// start time only the id distinguishes incarnations.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct UpstreamIncarnation {
    /// Id of the upstream.
    #[serde(rename = "i")]
    pub id: UpstreamId,
    /// Start time, if the upstream reports it.
    #[serde(rename = "b", default, skip_serializing_if = "Option::is_none")]
    pub born: Option<ProcessStart>,
}

impl UpstreamIncarnation {
    /// The upstream's id as text, without the start time.
    #[must_use]
    pub fn as_str(&self) -> &str {
        self.id.as_str()
    }

    /// Whether this is certainly an earlier incarnation of the same upstream than one that started at
    /// `born`.
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
