/// What the decision about a retry needs to know of a failed call.
///
/// The default is a call that may never be sent again.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct FailedCall {
    /// Running it a second time does no harm.
    pub idempotent: bool,
    /// It certainly has not run: no byte of it was sent, or the upstream rejected it as not run.
    pub not_run: bool,
    /// Its digest is suspected of crashing upstreams.
    pub poisoned: bool,
    /// Number of times that it was sent.
    pub sent: u32,
}
