use super::*;

/// A row of a table of the platform as it was written once, or that it was removed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TableRow<T> {
    /// Its key.
    #[serde(rename = "k")]
    pub key: Arc<str>,
    /// Version of the store at which it was written or removed. Rows come late, twice and out of order; by this
    /// one can tell which of two is the newer.
    #[serde(rename = "w")]
    pub written: u64,
    /// What it holds; `None` if it was removed.
    #[serde(rename = "e", default = "none")]
    pub entry: Option<T>,
}

fn none<T>() -> Option<T> {
    None
}
