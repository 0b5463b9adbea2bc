use super::*;

/// State of a graceful shutdown: whether it has begun, how many requests are in flight, and whether
/// new requests are rejected.
#[derive(Default)]
pub struct Drain {
    draining: AtomicBool,
    state: watch::Sender<DrainState>,
    /// Whether the time for requests in flight is over. Apart from `state`, whose changes would wake all of them.
    cut: watch::Sender<bool>,
}

#[derive(Default)]
struct DrainState {
    in_flight: usize,
    closed: bool,
}

/// A guard that counts a request as in flight until it is dropped.
pub struct InFlight {
    drain: Arc<Drain>,
}

impl Drain {
    /// Begins the shutdown: the readiness check fails, but requests are still served.
    pub fn begin(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Returns whether the shutdown has begun.
    #[must_use]
    pub fn has_begun(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Waits until the drain has ended and new requests are rejected.
    pub(crate) async fn wait_until_closed(&self) {
        // The sender lives as long as `self`, so the wait cannot fail.
        let _ = self.state.subscribe().wait_for(|state| state.closed).await;
    }

    /// Ends the requests in flight, and those that still arrive.
    pub(crate) fn cut(&self) {
        self.cut.send_replace(true);
    }

    /// Waits until requests in flight are to end.
    pub(crate) async fn wait_until_cut(&self) {
        // The sender lives as long as `self`, so the wait cannot fail.
        let _ = self.cut.subscribe().wait_for(|cut| *cut).await;
    }

    /// Returns the number of requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.state.borrow().in_flight
    }

    /// Waits until no request has been in flight for `grace`, then rejects new requests.
    pub async fn close_when_idle(&self, grace: Duration) {
        let mut state = self.state.subscribe();
        loop {
            // The sender lives as long as `self`, so neither wait can fail.
            let _ = state.wait_for(|state| state.in_flight == 0).await.is_ok();
            let next_request = state.wait_for(|state| state.in_flight > 0);
            let stayed_idle = tokio::time::timeout(grace, next_request).await.is_err();
            if stayed_idle && self.close_if_idle() {
                return;
            }
        }
    }

    /// Counts a request as in flight; `None` once the drain has ended.
    ///
    /// Half a minute after the drain, the HTTP library closes the connections that are still open.
    /// A generation that started in between would be interrupted, so it is rejected and its caller
    /// is told that it did not run.
    #[must_use]
    pub fn enter(self: &Arc<Self>) -> Option<InFlight> {
        let entered = self.state.send_if_modified(|state| {
            if !state.closed {
                state.in_flight += 1;
            }
            !state.closed
        });
        entered.then(|| InFlight {
            drain: self.clone(),
        })
    }

    fn close_if_idle(&self) -> bool {
        self.state.send_if_modified(|state| {
            state.closed = state.in_flight == 0;
            state.closed
        })
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.drain.state.send_modify(|state| state.in_flight -= 1);
    }
}
