use super::*;

number_newtype!(
    /// Number of times that the platform store has come back from an older copy of itself. Versions of
    /// different eras cannot be compared: the store gives out versions again after the copy's.
    StoreEra,
    "era of the store"
);
