use super::*;

text_newtype!(
    /// Name of a service of the bundle.
    ServiceId,
    "service"
);
