use super::*;

/// A copy of a run's memory, counted at its holder until it is dropped.
pub(crate) struct KvCopy {
    gateway: Arc<Gateway>,
    /// The upstream that keeps it.
    pub(crate) holder: Arc<UpstreamEntry>,
    /// Its name.
    pub(crate) source: CopySource,
    /// Whether it has to be freed when nobody will use it.
    to_free: bool,
}

impl KvCopy {
    /// The copy that an upstream is told to keep of a run as it grows. It bears the call's name.
    pub(crate) fn growing(
        gateway: &Arc<Gateway>,
        holder: Arc<UpstreamEntry>,
        call: &RequestId,
    ) -> Self {
        let source = CopySource {
            address: holder.address,
            handle: call.as_str().into(),
        };
        Self::count(gateway, holder, source, false)
    }

    /// A copy that was ordered. Its holder keeps room for it for seconds after the run has ended, so it
    /// is freed when it is dropped.
    pub(crate) fn ordered(
        gateway: &Arc<Gateway>,
        holder: Arc<UpstreamEntry>,
        source: CopySource,
    ) -> Self {
        Self::count(gateway, holder, source, true)
    }

    fn count(
        gateway: &Arc<Gateway>,
        holder: Arc<UpstreamEntry>,
        source: CopySource,
        to_free: bool,
    ) -> Self {
        let now = gateway.timer.now();
        gateway
            .state
            .lock()
            .upstream(&holder, now)
            .load
            .copy_added();
        Self {
            gateway: gateway.clone(),
            holder,
            source,
            to_free,
        }
    }

    /// Notes that a run goes on from it, or that another order has renewed it.
    pub(crate) fn keep(&mut self) {
        self.to_free = false;
    }

    /// Whether it can be gone on from, as far as is known.
    pub(crate) fn is_usable(&self) -> bool {
        self.gateway.may_use(&self.holder)
    }
}

impl Drop for KvCopy {
    fn drop(&mut self) {
        let now = self.gateway.timer.now();
        let mut state = self.gateway.state.lock();
        state.upstream(&self.holder, now).load.copy_removed();
        drop(state);
        if self.to_free && self.gateway.settings.policy.freed_copies {
            tokio::spawn((self.gateway.transport.free)(self.source.clone()));
        }
    }
}
