use super::*;

/// Key of a row of the bundle store.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum BundleKey {
    /// The row that says which release is in force.
    Current,
    /// A draft.
    Draft(DraftId),
    /// A release.
    Release(BundleVersion),
}

impl fmt::Display for BundleKey {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Current => f.write_str("current"),
            Self::Draft(id) => write!(f, "draft/{id}"),
            // Padded, so that the order of keys is that of versions.
            Self::Release(version) => write!(f, "release/{:020}", version.0),
        }
    }
}

/// Value of a row of the bundle store.
#[derive(Clone, Debug, PartialEq)]
pub enum BundleRow {
    /// Of [`BundleKey::Current`].
    Current(CurrentBundle),
    /// Of [`BundleKey::Draft`].
    Draft(BundleDraft),
    /// Of [`BundleKey::Release`].
    Release(BundleRelease),
}

impl BundleRow {
    /// Its key.
    #[must_use]
    pub fn key(&self) -> BundleKey {
        match self {
            Self::Current(_) => BundleKey::Current,
            Self::Draft(draft) => BundleKey::Draft(draft.id.clone()),
            Self::Release(release) => BundleKey::Release(release.version),
        }
    }
}

/// A row as read, with the version that the table service gives it.
#[derive(Clone, Debug, PartialEq)]
pub struct Stored<T> {
    /// Version of the row; it rises with each write.
    pub row: u64,
    /// Its value.
    pub value: T,
}
