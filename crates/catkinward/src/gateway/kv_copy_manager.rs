//! Keeps a copy of a run's memory somewhere, whatever becomes of its holders.
//!
//! A run's memory is copied as it grows to a holder that is named at its start. When that one dies the
//! run goes on without a copy, and if its own upstream dies some seconds later, all that was read and
//! made must be read again: a pause of one to four seconds in place of 20 ms. So a new copy is made
//! as soon as the holder is lost, and renewed, since such a copy neither grows nor lasts.
//!
//! A run may be in another availability zone and its copy in a third, as after the loss of the own zone's
//! upstreams. When the own zone is cut off then, its caller is still here, and both are out of reach. So such
//! a run gets a second copy, in the own zone.

use super::{accepted_call::AcceptedCall, kv_copy::KvCopy, *};

/// How often the holder is looked at.
const COPY_LOOK: Duration = Duration::from_millis(200);

/// Age at which a copy that does not grow is renewed: engines keep one for four seconds, and what is
/// missing in it (some hundred tokens) is read again in some ten milliseconds.
const RENEWED_AFTER: Duration = Duration::from_millis(2500);

/// Wait after a copy could not be made.
const FAULT_WAIT: Duration = Duration::from_millis(400);

/// The copies of one run.
pub(crate) struct KvCopyManager {
    gateway: Arc<Gateway>,
    /// Grows with the run.
    growing: Option<KvCopy>,
    /// Was made later, with its time.
    made: Option<(KvCopy, Instant)>,
    making: Option<Making>,
    not_before: Instant,
    /// When to look again. Kept, since waits are cut short by every event of the stream.
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

    /// The best copy that there is: the one that grew with the run, which lacks least. After a silence, in
    /// which the own zone may have been cut off, one in the own zone goes first.
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

    /// Whether a run and the copy that grows with it are both out of reach if the own zone is cut off.
    fn is_exposed(&self, run: &UpstreamEntry) -> bool {
        let own = &self.gateway.settings.zone;
        let second = self.gateway.settings.policy.second_copy;
        let copy_elsewhere = self.growing.as_ref().is_some_and(|c| c.holder.zone != *own);
        second && run.zone != *own && copy_elsewhere
    }

    /// Waits until there is something to look at: the end of an order to copy, or some time.
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
                tracing::info!(handle = &*source.handle, holder = %holder.id, "memory copied");
                if let Some((before, _)) = &mut self.made
                    && before.source == source
                {
                    before.keep();
                }
                let copy = KvCopy::ordered(&self.gateway, holder, source);
                self.made = Some((copy, now));
            }
            Err(fault) => {
                let fault_name: &str = fault.into();
                tracing::warn!(holder = %holder.id, fault = fault_name, "memory not copied");
                self.not_before = now.after(FAULT_WAIT);
            }
        }
    }

    /// Orders a copy if there is none that will do.
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
                // To the same holder only what is new is copied.
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
        let order = KvCopyRequest {
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
