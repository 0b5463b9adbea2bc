use super::*;

/// Kind of a request to an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq, IntoStaticStr, strum::EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum UpstreamRequestKind {
    /// A caller's call, first send or resend.
    Call,
    /// Query for cached prompts.
    CacheQuery,
    /// Order to copy the KV cache of a run.
    CopyOrder,
    /// Release of a KV copy.
    CopyRelease,
    /// Health check.
    HealthCheck,
}
