use super::*;

/// Time after the signal during which callers still arrive: the platform takes a VM out of rotation after
/// two failed readiness checks, one a second, and a caller's connection may take a little longer.
const LEAVES_ROTATION: Duration = Duration::from_millis(2600);

/// Idle time that ends the shutdown early. Requests that were on the network when the last one ended have
/// normally arrived by then: they take about a millisecond, and a connection attempt that takes up to its
/// timeout of one second is rare.
const QUIET: Duration = Duration::from_millis(150);

/// Margin before the end of the grace time at which the process ends what is still in flight, so that it
/// exits by itself and can log what it interrupted.
const LAST_MOMENT: Duration = Duration::from_millis(150);

/// Times of a shutdown in progress.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Shutdown {
    /// Until this time all calls are accepted, because callers may not know of the shutdown yet.
    served_until: Instant,
    /// Latest time at which the process ends.
    ends: Instant,
}

impl Shutdown {
    /// Whether a call that takes up to `needs` may still be accepted.
    ///
    /// If most VMs of an availability zone shut down together, the platform sends callers to them for as
    /// long as they respond. A stream accepted near the end would be cut in the middle, so it is refused
    /// as not run and its caller can retry on another VM at once.
    fn takes(&self, needs: Duration, now: Instant) -> bool {
        now < self.served_until || now.after(needs) < self.ends
    }
}

impl Gateway {
    /// Whether a call that takes up to `needs` may be accepted now.
    pub(crate) fn takes(&self, needs: Duration) -> bool {
        let now = self.timer.now();
        self.leaving
            .lock()
            .is_none_or(|leaving| leaving.takes(needs, now))
    }

    /// Shuts down gracefully. Readiness ends at once; callers are served until the VM is out of rotation;
    /// then `close_idle` is called, and calls in flight may finish within `grace`.
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
        if tokio::time::timeout_at(end, self.drain.finished(QUIET))
            .await
            .is_err()
        {
            tracing::error!(in_flight = self.drain.in_flight(), "shutdown cut calls");
        }
        tracing::info!("shutdown ended");
    }
}
