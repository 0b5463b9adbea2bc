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
    /// Check whether an upstream whose connection broke has crashed.
    CrashCheck,
    /// Health check of an upstream that is silent or suspect.
    HealthCheck,
}

impl UpstreamRequestKind {
    /// Whether the request is sent although the upstream wants none from this VM; `has_calls` is whether it runs calls
    /// of this VM. Only checks are on which running calls depend.
    #[must_use]
    pub fn overrides_back_off(self, has_calls: bool) -> bool {
        match self {
            Self::CrashCheck => true,
            Self::HealthCheck => has_calls,
            Self::Call | Self::CacheQuery | Self::CopyOrder | Self::CopyRelease => false,
        }
    }
}
