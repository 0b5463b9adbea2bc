use super::*;

/// Longest name that is kept as it is.
const MAX_LEN: usize = 24;

/// Identifies a part of the prompts that a service receives. What crashes the engines of one service may be sound for
/// those of another.
#[derive(Clone, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[display("{name}@{service}")]
#[serde(from = "ReceivedPartId")]
pub struct PartId {
    #[serde(rename = "p")]
    name: Arc<str>,
    #[serde(rename = "s")]
    service: ServiceId,
}

/// A part as another VM names it.
#[derive(Deserialize)]
struct ReceivedPartId {
    #[serde(rename = "p")]
    name: String,
    #[serde(rename = "s")]
    service: ServiceId,
}

impl PartId {
    /// The part that callers name so. A long name is replaced by its hash, so that callers cannot fill the messages
    /// between VMs with it.
    #[must_use]
    pub fn new(service: &ServiceId, name: &str) -> Self {
        let name = if name.len() <= MAX_LEN {
            name.into()
        } else {
            let hash = xxhash_rust::xxh3::xxh3_64(name.as_bytes());
            format!("{hash:016x}").into()
        };
        let service = service.clone();
        Self { name, service }
    }
}

impl From<ReceivedPartId> for PartId {
    fn from(received: ReceivedPartId) -> Self {
        Self::new(&received.service, &received.name)
    }
}
