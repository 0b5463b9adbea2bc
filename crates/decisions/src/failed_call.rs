/// What is known of a call that failed, as far as a retry depends on it.
///
/// The default is a call that may never be sent again.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct FailedCall {
    /// A second run does no harm.
    pub idempotent: bool,
    /// It certainly has not run: no byte of it was sent, or the upstream refused it as not run.
    pub not_run: bool,
    /// Its digest is suspected of killing upstreams.
    pub poisoned: bool,
    /// How often it was sent.
    pub sent: u32,
}
