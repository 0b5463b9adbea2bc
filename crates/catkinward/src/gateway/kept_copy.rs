use super::*;

/// A copy of a run's memory, counted at its holder until it is dropped.
pub(crate) struct KeptCopy {
    gateway: Arc<Gateway>,
    /// The upstream that keeps it.
    pub(crate) holder: Arc<UpstreamEntry>,
    /// Its name.
    pub(crate) source: CopySource,
}

impl KeptCopy {
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
        Self::new(gateway, holder, source)
    }

    /// A copy with a name of its own.
    pub(crate) fn new(
        gateway: &Arc<Gateway>,
        holder: Arc<UpstreamEntry>,
        source: CopySource,
    ) -> Self {
        let now = gateway.timer.now();
        gateway
            .state
            .lock()
            .upstream(&holder, now)
            .load
            .copy_begins();
        Self {
            gateway: gateway.clone(),
            holder,
            source,
        }
    }

    /// Whether it can be gone on from, as far as is known.
    pub(crate) fn is_usable(&self) -> bool {
        self.gateway.may_use(&self.holder)
    }
}

impl Drop for KeptCopy {
    fn drop(&mut self) {
        let now = self.gateway.timer.now();
        let mut state = self.gateway.state.lock();
        state.upstream(&self.holder, now).load.copy_ends();
    }
}
