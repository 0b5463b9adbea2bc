use super::*;

/// Key of a row of the bundle store.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum BundleKey {
    /// The row that names the release in force.
    Current,
    /// A draft, by id.
    Draft(DraftId),
    /// A release, by version.
    Release(BundleVersion),
}

impl fmt::Display for BundleKey {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Current => f.write_str("current"),
            Self::Draft(id) => write!(f, "draft/{id}"),
            // Zero-padded so that keys sort in version order.
            Self::Release(version) => write!(f, "release/{:020}", version.0),
        }
    }
}

/// Value of a row of the bundle store.
#[derive(Clone, Debug, PartialEq)]
pub enum BundleRow {
    /// Value at [`BundleKey::Current`].
    Current(CurrentBundle),
    /// Value at [`BundleKey::Draft`].
    Draft(BundleDraft),
    /// Value at [`BundleKey::Release`].
    Release(BundleRelease),
}

impl BundleRow {
    /// Key under which the row is stored.
    #[must_use]
    pub fn key(&self) -> BundleKey {
        match self {
            Self::Current(_) => BundleKey::Current,
            Self::Draft(draft) => BundleKey::Draft(draft.id.clone()),
            Self::Release(release) => BundleKey::Release(release.version),
        }
    }
}

/// A row as read from the table service, with its row version.
#[derive(Clone, Debug, PartialEq)]
pub struct Stored<T> {
    /// Version of the row, which increases with each write.
    pub row_version: u64,
    /// Value of the row.
    pub value: T,
}
