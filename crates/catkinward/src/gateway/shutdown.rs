use super::*;

/// Time after the signal during which callers still arrive: the platform takes a VM out of rotation after
/// two failed readiness checks, one a second, and a caller's connection may take a little longer.
const OUT_OF_ROTATION_DELAY: Duration = Duration::from_millis(2600);

/// Idle time that ends the shutdown early. Requests that were on the network when the last one ended have
/// normally arrived by then: they take about a millisecond, and a connection attempt that takes up to its
/// timeout of one second is rare.
const IDLE_BEFORE_EXIT: Duration = Duration::from_millis(150);

/// Margin before the end of the grace time at which the process ends what is still in flight, so that it
/// exits by itself and can log what it interrupted.
const EXIT_MARGIN: Duration = Duration::from_millis(150);

/// Time before that within which calls that are cut are answered.
const ANSWER_MARGIN: Duration = Duration::from_millis(100);

/// Times of a shutdown in progress.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Shutdown {
    /// Until this time all calls are accepted, because callers may not know of the shutdown yet.
    accept_all_until: Instant,
    /// Time at which calls in flight are cut.
    ends_at: Instant,
}

impl Shutdown {
    /// Whether a call that takes up to `max_duration` may still be accepted.
    ///
    /// If most VMs of an availability zone shut down together, the platform sends callers to them for as
    /// long as they respond. A stream accepted near the end would be cut in the middle, so it is refused
    /// as not run and its caller can retry on another VM at once.
    fn accepts(&self, max_duration: Duration, now: Instant) -> bool {
        now < self.accept_all_until || now.after(max_duration) < self.ends_at
    }
}

impl Gateway {
    /// Whether a call that takes up to `max_duration` may be accepted now.
    pub(crate) fn accepts(&self, max_duration: Duration) -> bool {
        let now = self.timer.now();
        self.leaving
            .lock()
            .is_none_or(|leaving| leaving.accepts(max_duration, now))
    }

    /// Shuts down gracefully. Readiness ends at once; callers are served until the VM is out of rotation;
    /// then `close_idle` is called, and calls in flight may finish within `grace`. Those that do not, and whose response
    /// has not begun, are answered as [`Reply::TimedOut`].
    pub async fn shut_down(&self, grace: Duration, close_idle: impl FnOnce()) {
        tracing::info!(in_flight = self.drain.in_flight(), "shutdown begun");
        self.drain.begin();
        let limit = grace.saturating_sub(EXIT_MARGIN);
        let work_time = limit.saturating_sub(ANSWER_MARGIN);
        let ends_at = self.timer.now().after(work_time);
        *self.leaving.lock() = Some(Shutdown {
            accept_all_until: self.timer.now().after(OUT_OF_ROTATION_DELAY),
            ends_at,
        });
        self.refuse_waiting_calls();
        let begun = tokio::time::Instant::now();
        tokio::time::sleep(OUT_OF_ROTATION_DELAY.min(grace)).await;
        close_idle();
        let idle = self.drain.close_when_idle(IDLE_BEFORE_EXIT);
        if tokio::time::timeout_at(begun + work_time, idle)
            .await
            .is_err()
        {
            tracing::error!(in_flight = self.drain.in_flight(), "shutdown cut calls");
            self.drain.cut();
            // Streams that have begun end with the process.
            let answered = self.drain.close_when_idle(Duration::ZERO);
            let _ = tokio::time::timeout_at(begun + limit, answered).await;
        }
        tracing::info!("shutdown ended");
    }
}
