use super::*;

/// Time after the signal in which callers still come: the platform takes a VM out after two questions
/// for readiness, one a second, and a caller's connection may take some more to arrive.
const LEAVES_ROTATION: Duration = Duration::from_millis(2600);

/// Quiet time that ends the shutdown early: requests on their way when the last one ended have come
/// by then (a millisecond away, and one second of a connection's patience at most is rare).
const QUIET: Duration = Duration::from_millis(150);

/// Part of the grace time after which the process ends whatever is in flight, so that it ends by
/// itself and can say what it cut.
const LAST_MOMENT: Duration = Duration::from_millis(150);

/// A shutdown that has begun.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Shutdown {
    /// Until when callers still come that could not know of it.
    served_until: Instant,
    /// When the process ends at the latest.
    ends: Instant,
}

impl Shutdown {
    /// Whether a call may still be taken that takes up to `needs`.
    ///
    /// Where most VMs of an availability zone shut down together, the platform sends callers to them
    /// for as long as they answer. A stream taken near the end would be cut in the middle; its caller
    /// is better off elsewhere at once, and so it is told that it has not run.
    fn takes(&self, needs: Duration, now: Instant) -> bool {
        now < self.served_until || now.after(needs) < self.ends
    }
}

impl Gateway {
    /// Whether a call that takes up to `needs` may be taken now.
    pub(crate) fn takes(&self, needs: Duration) -> bool {
        let now = self.timer.now();
        self.leaving
            .lock()
            .is_none_or(|leaving| leaving.takes(needs, now))
    }

    /// Shuts down gracefully: not ready at once, callers are served until they are sent elsewhere,
    /// then `close_idle` is called, and what is in flight runs to its end within `grace`.
    pub async fn shut_down(&self, grace: Duration, close_idle: impl FnOnce()) {
        tracing::info!(in_flight = self.drain.in_flight(), "shutdown begun");
        self.drain.begin();
        let ends = self.timer.now().after(grace.saturating_sub(LAST_MOMENT));
        *self.leaving.lock() = Some(Shutdown {
            served_until: self.timer.now().after(LEAVES_ROTATION),
            ends,
        });
        let end = tokio::time::Instant::now() + grace.saturating_sub(LAST_MOMENT);
        tokio::time::sleep(LEAVES_ROTATION.min(grace)).await;
        close_idle();
        if tokio::time::timeout_at(end, self.drain.close_when_idle(QUIET))
            .await
            .is_err()
        {
            tracing::error!(in_flight = self.drain.in_flight(), "shutdown cut calls");
        }
        tracing::info!("shutdown ended");
    }
}
