use super::*;

text_newtype!(
    /// Name of a service in the bundle.
    ServiceId,
    "service"
);
