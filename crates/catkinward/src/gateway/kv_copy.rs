use super::*;

/// A copy of a run's KV cache. It counts in the load of its holder until it is dropped.
pub(crate) struct KvCopy {
    gateway: Arc<Gateway>,
    /// The upstream that holds the copy.
    pub(crate) holder: Arc<UpstreamEntry>,
    /// Address and handle under which the copy can be fetched.
    pub(crate) source: CopySource,
    /// Whether the holder must be told to free the copy when it is dropped.
    to_free: bool,
}

impl KvCopy {
    /// A copy that an upstream receives from a run as it grows. Its handle is the call's id.
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

    /// A copy that was requested explicitly. Its holder reserves memory for it for some seconds
    /// after the run has ended, so it is freed when it is dropped.
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

    /// Keeps the copy when it is dropped, because a run resumes from it or a later request has
    /// renewed it.
    pub(crate) fn keep(&mut self) {
        self.to_free = false;
    }

    /// Whether a run could resume from the copy, according to the observed state of its holder.
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
