use super::*;

number_newtype!(
    /// Version of a routing configuration. Versions rise in uneven steps.
    ConfigVersion,
    "configuration version"
);
