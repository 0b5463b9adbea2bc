//! Logs and counts the outcomes of calls.

use super::*;

/// Logs that a caller has left if it is dropped before there is a reply. The caller server drops a call
/// together with its connection, so otherwise the log would show no end of the call.
pub(crate) struct CallerLeftGuard {
    pub(crate) call: Arc<Call>,
    pub(crate) replied: bool,
}

impl Drop for CallerLeftGuard {
    fn drop(&mut self) {
        if !self.replied {
            log_caller_left(&self.call, None);
        }
    }
}

/// Logs that a caller left before its response was complete.
pub(crate) fn log_caller_left(call: &Call, last_event: Option<u64>) {
    metrics::counter!("catkin_callers_left_total").increment(1);
    tracing::info!(request = %call.id, last_event, "caller left");
}

/// Milliseconds of a duration for log lines; saturates.
pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Digest of a call's body as it is written to the log.
pub(crate) struct BodyHex(pub(crate) u64);

impl fmt::Display for BodyHex {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Maximum number of prompt parts in a log line.
const MAX_LOGGED_PARTS: usize = 8;

/// Ids of the parts of a call's prompt that other prompts may share, separated by commas; `None` if there are none.
pub(crate) fn logged_parts(call: &Call) -> Option<String> {
    let parts = call.prompt.as_ref()?.shared_parts();
    let parts = parts.take(MAX_LOGGED_PARTS).collect::<Vec<_>>();
    (!parts.is_empty()).then(|| parts.join(","))
}

pub(crate) fn log_local_reply(call: &Call, reply: &Reply) {
    let outcome = outcome(reply);
    if let Reply::NotRun { not_run } = reply {
        tracing::warn!(request = %call.id, outcome, reason = %not_run.reason(),
            retry_after_ms = millis(not_run.retry_after()), "request rejected locally");
    } else {
        tracing::warn!(request = %call.id, outcome, host = &*call.host, path = &*call.path,
            "request rejected locally");
    }
}

pub(crate) fn count_reply(service: &ServiceId, reply: &Reply) {
    let labels = [
        ("service", service.to_string()),
        ("outcome", outcome(reply).to_owned()),
    ];
    metrics::counter!("catkin_calls_total", &labels).increment(1);
}

fn outcome(reply: &Reply) -> &'static str {
    match reply {
        Reply::Whole { .. } => "whole",
        Reply::Events { .. } => "events",
        Reply::NotRun { .. } => "not_run",
        Reply::Unknown => "unknown",
        Reply::TimedOut => "timed_out",
        Reply::NoRoute => "no_route",
        Reply::UnknownKey => "unknown_key",
    }
}
