use super::*;

/// A copy of a run's KV cache. It counts in the load of its holder until it is dropped.
pub(crate) struct KvCopy {
    gateway: Arc<Gateway>,
    /// The upstream that holds the copy.
    pub(crate) holder: Arc<UpstreamEntry>,
    /// Address and handle under which the copy can be fetched.
    pub(crate) source: CopySource,
    /// Whether to request that the holder frees the copy when it is dropped.
    free_on_drop: bool,
    /// Memory promised to the copy at its holder.
    tokens: u32,
}

impl KvCopy {
    /// A copy that an upstream receives from a run as it grows. Its handle is the call's id.
    pub(crate) fn growing(gateway: &Arc<Gateway>, holder: Arc<UpstreamEntry>, call: &Call) -> Self {
        let source = CopySource {
            address: holder.address,
            handle: call.id.as_str().into(),
        };
        Self::count(gateway, holder, source, call.size(), false)
    }

    /// A copy that was requested explicitly. Its holder reserves memory for it for some seconds
    /// after the run has ended, so it is freed when it is dropped.
    pub(crate) fn ordered(
        gateway: &Arc<Gateway>,
        holder: Arc<UpstreamEntry>,
        source: CopySource,
        size: CallSize,
    ) -> Self {
        Self::count(gateway, holder, source, size, true)
    }

    fn count(
        gateway: &Arc<Gateway>,
        holder: Arc<UpstreamEntry>,
        source: CopySource,
        size: CallSize,
        free_on_drop: bool,
    ) -> Self {
        let now = gateway.timer.now();
        let tokens = size.tokens();
        let mut state = gateway.state.lock();
        let upstream = state.upstream(&holder, now);
        upstream.load.copy_added();
        upstream.room.copy_added(tokens);
        drop(state);
        Self {
            gateway: gateway.clone(),
            holder,
            source,
            free_on_drop,
            tokens,
        }
    }

    /// Keeps the copy when it is dropped, because a run resumes from it or a later request has
    /// renewed it.
    pub(crate) fn keep(&mut self) {
        self.free_on_drop = false;
    }

    /// Whether a run could resume from the copy, according to the observed state of its holder.
    pub(crate) fn is_usable(&self) -> bool {
        self.gateway.can_resume_on(&self.holder)
    }
}

impl Drop for KvCopy {
    fn drop(&mut self) {
        let now = self.gateway.timer.now();
        let mut state = self.gateway.state.lock();
        let upstream = state.upstream(&self.holder, now);
        upstream.load.copy_removed();
        upstream.room.copy_removed(self.tokens);
        drop(state);
        self.gateway.room_may_have_changed();
        if self.free_on_drop && self.gateway.settings.policy.freed_copies {
            let gate = self
                .gateway
                .gate(&self.holder, UpstreamRequestKind::CopyRelease);
            tokio::spawn((self.gateway.transport.free)(self.source.clone(), gate));
        }
    }
}
