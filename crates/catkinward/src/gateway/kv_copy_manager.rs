//! Keeps a copy of a run's KV cache when copy holders are lost.
//!
//! The KV cache of a run is copied as it grows to a holder that is set when the run starts. If that
//! holder crashes, the run continues without a copy; if its own upstream crashes some seconds
//! later, the prompt and all generated tokens must be processed again, a gap of one to four seconds
//! instead of 20 ms. So a new copy is requested as soon as the holder is lost, and is renewed,
//! because such a copy neither grows nor is kept for long.
//!
//! A run may be in another availability zone and its copy in a third, as after the loss of the
//! upstreams in the own zone. If the own zone is then partitioned, its caller is still connected
//! here and both upstreams are unreachable. So such a run gets a second copy, in the own zone.

use super::{accepted_call::AcceptedCall, kv_copy::KvCopy, *};

/// Interval at which the copy holder is checked.
const HOLDER_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Age at which a copy that does not grow is renewed. Engines keep one for four seconds, and the
/// tokens it lacks (some hundred) are processed again in some ten milliseconds.
const RENEWAL_AGE: Duration = Duration::from_millis(2500);

/// Delay after a copy request failed.
const RETRY_DELAY: Duration = Duration::from_millis(400);

/// The KV copies of one run.
pub(crate) struct KvCopyManager {
    gateway: Arc<Gateway>,
    /// Copy that grows with the run.
    growing: Option<KvCopy>,
    /// Copy that was requested later, with the time at which it was complete.
    requested: Option<(KvCopy, Instant)>,
    pending: Option<PendingCopy>,
    not_before: Instant,
    /// Time of the next check. It is stored because every event of the stream cancels the wait.
    next_check: tokio::time::Instant,
}

struct PendingCopy {
    holder: Arc<UpstreamEntry>,
    size: CallSize,
    answer: BoxFuture<'static, Result<CopySource, CopyError>>,
}

impl KvCopyManager {
    pub(crate) fn new(gateway: &Arc<Gateway>, growing: Option<KvCopy>) -> Self {
        Self {
            gateway: gateway.clone(),
            growing,
            requested: None,
            pending: None,
            not_before: Instant::default(),
            next_check: tokio::time::Instant::now() + HOLDER_CHECK_INTERVAL,
        }
    }

    /// The best usable copy, after the run has ended.
    pub(crate) fn into_best(mut self, after_silence: bool) -> Option<KvCopy> {
        self.take_best(after_silence, |_| true)
    }

    /// Takes the best usable copy if `may_use` allows it: the one that grew with the run, since it lacks the fewest
    /// tokens. After a silence, in which the own zone may have been partitioned, a copy in the own zone takes
    /// precedence.
    pub(crate) fn take_best(
        &mut self,
        after_silence: bool,
        may_use: impl FnOnce(&KvCopy) -> bool,
    ) -> Option<KvCopy> {
        let growing = self.growing.as_ref().filter(|copy| copy.is_usable());
        let requested = self.requested.as_ref().map(|(copy, _)| copy);
        let requested = requested.filter(|copy| copy.is_usable());
        let own = &self.gateway.settings.zone;
        let takes_requested = match (growing, requested) {
            (Some(growing), Some(requested)) => {
                after_silence && growing.holder.zone != *own && requested.holder.zone == *own
            }
            (growing, _) => growing.is_none(),
        };
        if takes_requested {
            requested.filter(|copy| may_use(copy))?;
            self.requested.take().map(|(copy, _)| copy)
        } else {
            growing.filter(|copy| may_use(copy))?;
            self.growing.take()
        }
    }

    /// Whether a run could resume from one of the copies.
    pub(crate) fn has_usable(&self) -> bool {
        let requested = self.requested.as_ref().map(|(copy, _)| copy);
        self.growing.iter().chain(requested).any(KvCopy::is_usable)
    }

    /// Whether a run and the copy that grows with it both become unreachable if the own zone is
    /// partitioned.
    fn is_exposed(&self, run: &UpstreamEntry) -> bool {
        let own = &self.gateway.settings.zone;
        let second = self.gateway.settings.policy.second_copy;
        let copy_elsewhere = self.growing.as_ref().is_some_and(|c| c.holder.zone != *own);
        second && run.zone != *own && copy_elsewhere
    }

    /// Waits until the pending copy request ends or, without one, until the next check is due.
    pub(crate) async fn wait(&mut self) {
        let Some(pending) = &mut self.pending else {
            tokio::time::sleep_until(self.next_check).await;
            self.next_check = tokio::time::Instant::now() + HOLDER_CHECK_INTERVAL;
            return;
        };
        let answer = (&mut pending.answer).await;
        let (holder, size) = (pending.holder.clone(), pending.size);
        self.pending = None;
        let now = self.gateway.timer.now();
        match answer {
            Ok(source) => {
                tracing::info!(handle = &*source.handle, holder = %holder.id, "KV cache copied");
                if let Some((before, _)) = &mut self.requested
                    && before.source == source
                {
                    before.keep();
                }
                let copy = KvCopy::ordered(&self.gateway, holder, source, size);
                self.requested = Some((copy, now));
            }
            Err(error) => {
                let error_name: &str = error.into();
                tracing::warn!(holder = %holder.id, fault = error_name, "KV cache not copied");
                self.not_before = now.after(RETRY_DELAY);
            }
        }
    }

    /// Requests a copy if no usable one exists.
    pub(crate) fn check(&mut self, accepted: &AcceptedCall, run: &Arc<UpstreamEntry>) {
        let now = self.gateway.timer.now();
        let grows = self.growing.as_ref().is_some_and(KvCopy::is_usable);
        let exposed = grows && self.is_exposed(run);
        if !grows && !self.gateway.settings.policy.remade_copies {
            return;
        }
        if (grows && !exposed) || self.pending.is_some() || now < self.not_before {
            return;
        }
        let holder = match &self.requested {
            Some((copy, at)) if copy.is_usable() => {
                if now.since(*at) < RENEWAL_AGE {
                    return;
                }
                // Only new tokens are copied to the same holder.
                Some(copy.holder.clone())
            }
            _ => self.gateway.select_holder(accepted, run),
        };
        let Some(holder) = holder else {
            return;
        };
        if exposed && holder.zone != self.gateway.settings.zone {
            return;
        }
        let order = KvCopyRequest {
            source: run.clone(),
            call: accepted.call.id.clone(),
            holder: holder.clone(),
            gate: self.gateway.gate(run, UpstreamRequestKind::CopyOrder),
        };
        self.pending = Some(PendingCopy {
            holder,
            size: accepted.call.size(),
            answer: (self.gateway.transport.copy)(order),
        });
    }
}
