use super::*;

/// Rule that says whether calls below a path may be retried.
#[derive(Clone, Debug, PartialEq)]
pub struct PathRule {
    /// HTTP method in upper case.
    pub method: Arc<str>,
    /// Path prefix within the service.
    pub prefix: Arc<str>,
    /// Whether a call may be retried without side effects.
    pub idempotent: bool,
}
