use super::*;

/// The state of a graceful shutdown: whether it has begun, and what is still in flight.
#[derive(Default)]
pub struct Drain {
    draining: AtomicBool,
    in_flight: watch::Sender<usize>,
    ended: watch::Sender<bool>,
}

/// A request in flight, counted until it is dropped.
pub(crate) struct InFlight {
    drain: Arc<Drain>,
}

impl Drain {
    /// Begins the shutdown: readiness goes false, requests go on being served.
    pub fn begin(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Whether the shutdown has begun.
    #[must_use]
    pub fn has_begun(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Ends the shutdown: nothing is in flight, and the servers may close.
    pub(crate) fn end(&self) {
        self.ended.send_replace(true);
    }

    /// Waits until the shutdown has ended.
    pub(crate) async fn ended(&self) {
        // The sender lives as long as this does.
        let _ = self.ended.subscribe().wait_for(|ended| *ended).await;
    }

    /// Requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        *self.in_flight.borrow()
    }

    /// Waits until nothing has been in flight for `grace`.
    pub async fn finished(&self, grace: Duration) {
        let mut in_flight = self.in_flight.subscribe();
        loop {
            if in_flight.wait_for(|count| *count == 0).await.is_err() {
                return;
            }
            let busy = in_flight.wait_for(|count| *count > 0);
            if tokio::time::timeout(grace, busy).await.is_err() {
                return;
            }
        }
    }

    pub(crate) fn enter(self: &Arc<Self>) -> InFlight {
        self.in_flight.send_modify(|count| *count += 1);
        InFlight {
            drain: self.clone(),
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.drain.in_flight.send_modify(|count| *count -= 1);
    }
}
