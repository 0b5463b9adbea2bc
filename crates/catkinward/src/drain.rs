use super::*;

/// The state of a graceful shutdown: whether it has begun, what is still in flight, and whether the
/// door is shut.
#[derive(Default)]
pub struct Drain {
    draining: AtomicBool,
    state: watch::Sender<DrainState>,
}

#[derive(Default)]
struct DrainState {
    in_flight: usize,
    shut: bool,
}

/// A request in flight, counted until it is dropped.
pub struct InFlight {
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

    /// Waits until the shutdown has ended.
    pub(crate) async fn ended(&self) {
        // The sender lives as long as this does.
        let _ = self.state.subscribe().wait_for(|state| state.shut).await;
    }

    /// Requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.state.borrow().in_flight
    }

    /// Waits until nothing has been in flight for `grace`, and shuts the door.
    pub async fn finished(&self, grace: Duration) {
        let mut state = self.state.subscribe();
        loop {
            // The sender lives as long as this does, so neither wait can fail.
            let _ = state.wait_for(|state| state.in_flight == 0).await.is_ok();
            let busy = state.wait_for(|state| state.in_flight > 0);
            let stayed_idle = tokio::time::timeout(grace, busy).await.is_err();
            if stayed_idle && self.shut() {
                return;
            }
        }
    }

    /// Counts a request in; `None` once the door is shut.
    ///
    /// After the drain the library cuts what is still open half a minute later. A generation that
    /// came in between would be cut; so none comes in, and its caller is told that it did not run.
    #[must_use]
    pub fn enter(self: &Arc<Self>) -> Option<InFlight> {
        let entered = self.state.send_if_modified(|state| {
            if !state.shut {
                state.in_flight += 1;
            }
            !state.shut
        });
        entered.then(|| InFlight {
            drain: self.clone(),
        })
    }

    fn shut(&self) -> bool {
        self.state.send_if_modified(|state| {
            state.shut = state.in_flight == 0;
            state.shut
        })
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.drain.state.send_modify(|state| state.in_flight -= 1);
    }
}
