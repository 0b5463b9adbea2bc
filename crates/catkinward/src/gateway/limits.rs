//! Limits that upstreams name in their responses.

use super::*;

impl Gateway {
    /// Records whether the response of an upstream names a limit.
    pub(crate) fn limit_stated(
        &self,
        entry: &Arc<UpstreamEntry>,
        limit: Option<Result<RequestRate, RequestRateError>>,
    ) {
        let limit = match limit.transpose() {
            Ok(limit) => limit,
            Err(error) => {
                tracing::warn!(upstream = %entry.id, %error, "limit of an upstream cannot be read");
                return;
            }
        };
        let now = self.timer.now();
        let mut state = self.state.lock();
        let statement = LimitStatement { limit, at: now };
        let change = state.upstream(entry, now).limit.apply(statement);
        drop(state);
        if let Some(change) = change {
            self.log_limit(entry, change, limit);
        }
    }

    fn log_limit(&self, entry: &UpstreamEntry, change: LimitChange, limit: Option<RequestRate>) {
        if !self.log.admits(LineKind::Belief, self.timer.now()) {
            return;
        }
        let change: &str = change.into();
        tracing::info!(upstream = %entry.id, change,
            limit = limit.map(tracing::field::display), "limit of an upstream");
    }
}
