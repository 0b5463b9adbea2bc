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
const COPY_LOOK: Duration = Duration::from_millis(200);

/// Age at which a copy that does not grow is renewed. Engines keep one for four seconds, and the
/// tokens it lacks (some hundred) are processed again in some ten milliseconds.
const RENEWED_AFTER: Duration = Duration::from_millis(2500);

/// Delay after a copy request failed.
const FAULT_WAIT: Duration = Duration::from_millis(400);

/// The KV copies of one run.
pub(crate) struct KvCopyManager {
    gateway: Arc<Gateway>,
    /// Copy that grows with the run.
    growing: Option<KvCopy>,
    /// Copy that was requested later, with the time at which it was complete.
    made: Option<(KvCopy, Instant)>,
    making: Option<Making>,
    not_before: Instant,
    /// Time of the next check. It is stored because every event of the stream cancels the wait.
    look_at: tokio::time::Instant,
}

struct Making {
    holder: Arc<UpstreamEntry>,
    answer: BoxFuture<'static, Result<CopySource, CopyError>>,
}

impl KvCopyManager {
    pub(crate) fn new(gateway: &Arc<Gateway>, growing: Option<KvCopy>) -> Self {
        Self {
            gateway: gateway.clone(),
            growing,
            made: None,
            making: None,
            not_before: Instant::default(),
            look_at: tokio::time::Instant::now() + COPY_LOOK,
        }
    }

    /// The best usable copy: the one that grew with the run, since it lacks the fewest tokens.
    /// After a silence, in which the own zone may have been partitioned, a copy in the own zone
    /// takes precedence.
    pub(crate) fn into_best(self, after_silence: bool) -> Option<KvCopy> {
        let growing = self.growing.filter(KvCopy::is_usable);
        let made = self.made.map(|(copy, _)| copy).filter(KvCopy::is_usable);
        let own = &self.gateway.settings.zone;
        match (growing, made) {
            (Some(growing), Some(made))
                if after_silence && growing.holder.zone != *own && made.holder.zone == *own =>
            {
                Some(made)
            }
            (growing, made) => growing.or(made),
        }
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
        let Some(making) = &mut self.making else {
            tokio::time::sleep_until(self.look_at).await;
            self.look_at = tokio::time::Instant::now() + COPY_LOOK;
            return;
        };
        let answer = (&mut making.answer).await;
        let holder = making.holder.clone();
        self.making = None;
        let now = self.gateway.timer.now();
        match answer {
            Ok(source) => {
                tracing::info!(handle = &*source.handle, holder = %holder.id, "KV cache copied");
                if let Some((before, _)) = &mut self.made
                    && before.source == source
                {
                    before.keep();
                }
                let copy = KvCopy::ordered(&self.gateway, holder, source);
                self.made = Some((copy, now));
            }
            Err(error) => {
                let error_name: &str = error.into();
                tracing::warn!(holder = %holder.id, fault = error_name, "KV cache not copied");
                self.not_before = now.after(FAULT_WAIT);
            }
        }
    }

    /// Requests a copy if no usable one exists.
    pub(crate) fn look(&mut self, accepted: &AcceptedCall, run: &Arc<UpstreamEntry>) {
        let now = self.gateway.timer.now();
        let grows = self.growing.as_ref().is_some_and(KvCopy::is_usable);
        let exposed = grows && self.is_exposed(run);
        if !grows && !self.gateway.settings.policy.remade_copies {
            return;
        }
        if (grows && !exposed) || self.making.is_some() || now < self.not_before {
            return;
        }
        let holder = match &self.made {
            Some((copy, at)) if copy.is_usable() => {
                if now.since(*at) < RENEWED_AFTER {
                    return;
                }
                // Only new tokens are copied to the same holder.
                Some(copy.holder.clone())
            }
            _ => self.gateway.place_copy(accepted, run),
        };
        let Some(holder) = holder else {
            return;
        };
        if exposed && holder.zone != self.gateway.settings.zone {
            return;
        }
        let order = CopyOrder {
            source: run.clone(),
            call: accepted.call.id.clone(),
            holder: holder.clone(),
        };
        self.making = Some(Making {
            holder,
            answer: (self.gateway.transport.copy)(order),
        });
    }
}
