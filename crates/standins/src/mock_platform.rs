use super::*;
use catkinward::{Platform, PlatformError};
use std::collections::VecDeque;

/// Fate of one transaction of a [`MockPlatform`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TransactOutcome {
    /// It runs and is answered.
    Answered,
    /// It runs, but its answer is lost.
    LostAfterEffect,
    /// It is lost on its way, and its sender cannot tell.
    LostBeforeEffect,
    /// Its sender hears nothing; it runs right before the next transaction.
    Late,
    /// It is refused.
    NotRun,
    /// It is refused for the rate limit.
    Throttled,
}

/// A platform in memory whose transactions meet scripted fates.
#[derive(Clone, Default)]
pub struct MockPlatform {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Default)]
struct Inner {
    store: PlatformStore,
    fates: VecDeque<TransactOutcome>,
    late: Vec<catkin_border::platform::TransactRequest>,
    out: bool,
}

impl MockPlatform {
    /// Gives the next transactions these fates; those after them are answered.
    pub fn script(&self, fates: impl IntoIterator<Item = TransactOutcome>) {
        self.inner.lock().fates.extend(fates);
    }

    /// Forgets the fates that are left: what comes now is answered.
    pub fn forget_script(&self) {
        self.inner.lock().fates.clear();
    }

    /// Begins or ends an outage in which every call is refused.
    pub fn outage(&self, out: bool) {
        self.inner.lock().out = out;
    }

    /// Looks at the state or changes it, past all faults.
    pub fn with_store<T>(&self, f: impl FnOnce(&mut PlatformStore) -> T) -> T {
        f(&mut self.inner.lock().store)
    }

    /// The closures by which a part of the router uses it.
    #[must_use]
    pub fn platform(&self) -> Platform {
        let call = || self.clone();
        let (transact, read, scan) = (call(), call(), call());
        let (put_object, get_object, vms) = (call(), call(), call());
        Platform {
            transact: Box::new(move |req| ready(transact.transact(req))),
            read: Box::new(move |keys| ready(read.up(|store| store.read(&keys)))),
            scan: Box::new(move |req| ready(scan.up(|store| store.scan(&req)))),
            put_object: Box::new(move |(name, body)| {
                ready(put_object.up(|store| store.put_object(&name, body)))
            }),
            get_object: Box::new(move |name| ready(get_object.up(|store| store.get_object(&name)))),
            vms: Box::new(move |()| {
                let latest = catkin_decisions::Instant(Duration::MAX);
                ready(vms.up(|store| store.vms(latest)))
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
        if inner.out {
            return Err(PlatformError::NotRun);
        }
        match inner.fates.pop_front().unwrap_or(TransactOutcome::Answered) {
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

    fn up<T>(&self, f: impl FnOnce(&mut PlatformStore) -> T) -> Result<T, PlatformError> {
        let mut inner = self.inner.lock();
        if inner.out {
            return Err(PlatformError::NotRun);
        }
        Ok(f(&mut inner.store))
    }
}

fn ready<T: Send + 'static>(value: T) -> futures::future::BoxFuture<'static, T> {
    Box::pin(std::future::ready(value))
}
