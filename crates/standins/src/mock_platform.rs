use super::*;
use catkinward::{Platform, PlatformError};
use std::collections::VecDeque;

/// Scripted outcome of one transaction of a [`MockPlatform`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TransactOutcome {
    /// The transaction runs and its reply arrives.
    Answered,
    /// The transaction runs, but its reply is lost; the client sees an unknown outcome.
    LostAfterEffect,
    /// The transaction is lost before it runs; the client sees an unknown outcome.
    LostBeforeEffect,
    /// The client sees an unknown outcome, and the transaction runs right before the next one.
    Late,
    /// The transaction is refused as not run.
    NotRun,
    /// The transaction is refused because of the rate limit.
    Throttled,
}

/// In-memory platform whose transactions have scripted outcomes.
#[derive(Clone, Default)]
pub struct MockPlatform {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Default)]
struct Inner {
    store: PlatformStore,
    outcomes: VecDeque<TransactOutcome>,
    late: Vec<catkin_border::platform::TransactRequest>,
    outage: bool,
}

impl MockPlatform {
    /// Appends outcomes for the next transactions. Transactions beyond the script are answered.
    pub fn script(&self, outcomes: impl IntoIterator<Item = TransactOutcome>) {
        self.inner.lock().outcomes.extend(outcomes);
    }

    /// Discards the remaining scripted outcomes, so that all further transactions are answered.
    pub fn clear_script(&self) {
        self.inner.lock().outcomes.clear();
    }

    /// Starts or ends an outage, in which every call is refused as not run.
    pub fn set_outage(&self, outage: bool) {
        self.inner.lock().outage = outage;
    }

    /// Gives access to the stored state regardless of scripted outcomes and outages.
    pub fn with_store<T>(&self, f: impl FnOnce(&mut PlatformStore) -> T) -> T {
        f(&mut self.inner.lock().store)
    }

    /// Returns the platform client that is passed to parts of the router.
    #[must_use]
    pub fn platform(&self) -> Platform {
        let client = || self.clone();
        let (transact, read, scan) = (client(), client(), client());
        let (put_object, get_object, vms) = (client(), client(), client());
        Platform {
            transact: Box::new(move |req| ready(transact.transact(req))),
            read: Box::new(move |keys| ready(read.unless_outage(|store| store.read(&keys)))),
            scan: Box::new(move |req| ready(scan.unless_outage(|store| store.scan(&req)))),
            put_object: Box::new(move |(name, body)| {
                ready(put_object.unless_outage(|store| store.put_object(&name, body)))
            }),
            get_object: Box::new(move |name| {
                ready(get_object.unless_outage(|store| store.get_object(&name)))
            }),
            vms: Box::new(move |()| {
                let latest = catkin_decisions::Instant(Duration::MAX);
                ready(vms.unless_outage(|store| store.vms(latest)))
            }),
        }
    }

    fn transact(
        &self,
        req: catkin_border::platform::TransactRequest,
    ) -> Result<catkin_border::platform::TransactReply, PlatformError> {
        let mut guard = self.inner.lock();
        let inner = &mut *guard;
        for late in std::mem::take(&mut inner.late) {
            inner.store.transact(late);
        }
        if inner.outage {
            return Err(PlatformError::NotRun);
        }
        match inner
            .outcomes
            .pop_front()
            .unwrap_or(TransactOutcome::Answered)
        {
            TransactOutcome::Answered => Ok(inner.store.transact(req)),
            TransactOutcome::LostAfterEffect => {
                inner.store.transact(req);
                Err(PlatformError::Unknown)
            }
            TransactOutcome::LostBeforeEffect => Err(PlatformError::Unknown),
            TransactOutcome::Late => {
                inner.late.push(req);
                Err(PlatformError::Unknown)
            }
            TransactOutcome::NotRun => Err(PlatformError::NotRun),
            TransactOutcome::Throttled => Err(PlatformError::Throttled),
        }
    }

    fn unless_outage<T>(
        &self,
        f: impl FnOnce(&mut PlatformStore) -> T,
    ) -> Result<T, PlatformError> {
        let mut inner = self.inner.lock();
        if inner.outage {
            return Err(PlatformError::NotRun);
        }
        Ok(f(&mut inner.store))
    }
}

fn ready<T: Send + 'static>(value: T) -> futures::future::BoxFuture<'static, T> {
    Box::pin(std::future::ready(value))
}
