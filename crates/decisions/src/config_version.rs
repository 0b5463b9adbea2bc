use super::*;

number_newtype!(
    /// Version of a routing configuration. Versions increase, with gaps between them.
    ConfigVersion,
    "configuration version"
);
