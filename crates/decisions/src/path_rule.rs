use super::*;

/// Whether calls below a path may be repeated.
#[derive(Clone, Debug, PartialEq)]
pub struct PathRule {
    /// HTTP method in capitals.
    pub method: Arc<str>,
    /// Path prefix within the service.
    pub prefix: Arc<str>,
    /// True if a repeat does no harm.
    pub idempotent: bool,
}
