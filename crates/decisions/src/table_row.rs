use super::*;

/// A row of a platform table as it was written at one version, or its removal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TableRow<T> {
    /// Key of the row, unique in its table.
    #[serde(rename = "k")]
    pub key: Arc<str>,
    /// Version of the store at which the row was written or removed, in the era of the page, update or table that
    /// holds the row. Rows arrive late, repeatedly and out of order; the version shows which of two is newer.
    #[serde(rename = "w")]
    pub written: u64,
    /// Content of the row; `None` if it was removed.
    #[serde(rename = "e", default = "none")]
    pub entry: Option<T>,
}

fn none<T>() -> Option<T> {
    None
}
