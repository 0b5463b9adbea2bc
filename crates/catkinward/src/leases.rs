use super::*;
use crate::lease_row::{LEASES, lease_row, lease_value};
use catkin_decisions::{
    Lease, LeaseHolder, LeaseSettings, LeaseStep, LeaseWrite, LeaseWriteResult, OrderPermit,
    rendezvous_rank,
};

/// Delay before the next call after a failed call of the table service.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Number of VMs that compete for the lease of a scope. If all of 400 VMs competed for 17 scopes, the
/// reads of the rows alone would exceed the rate of the table service. Three candidates tolerate any
/// two simultaneous crashes.
const CANDIDATES: usize = 3;

/// Interval between reads of the platform's list of VMs, from which the candidates are selected.
const CANDIDATES_PERIOD: Duration = Duration::from_secs(10);

/// The leases service. For each scope that this VM competes for, a task acquires and renews the lease.
pub struct Leases {
    platform: Arc<Platform>,
    timer: Arc<Timer>,
    me: LeaseHolder,
    cfg: LeaseSettings,
    handles: Mutex<Vec<Arc<LeaseHandle>>>,
    /// Routers that the platform lists as live; empty if the list has not been read or names none.
    routers: Mutex<Vec<VmId>>,
}

/// Handle to a lease that this VM competes for.
pub struct LeaseHandle {
    scope: Arc<str>,
    platform: Arc<Platform>,
    timer: Arc<Timer>,
    lease: Mutex<Lease>,
    /// Locked during a call for the lease's row, so that responses are applied in the order of their
    /// calls.
    calling: tokio::sync::Mutex<()>,
    woken: Notify,
    ended: AtomicBool,
}

/// Reason why no order may be sent.
#[derive(Clone, Debug, Display, PartialEq, StdError)]
pub enum PermitError {
    /// The lease's row cannot be read, so another VM may hold the lease by now.
    #[display("the lease cannot be confirmed: {_0}")]
    Unconfirmed(PlatformError),
    /// This VM does not hold the lease, or holds it for too short a remaining time.
    #[display("the lease is not held")]
    NotHeld,
}

impl Leases {
    /// Starts the service without any lease to compete for.
    pub fn start(
        platform: Arc<Platform>,
        timer: Arc<Timer>,
        me: LeaseHolder,
        cfg: LeaseSettings,
    ) -> Arc<Self> {
        let leases = Arc::new(Self {
            platform,
            timer,
            me,
            cfg,
            handles: Mutex::default(),
            routers: Mutex::default(),
        });
        tokio::spawn(follow_routers(leases.clone()));
        leases
    }

    /// Starts to compete for the lease of a scope, whenever this VM is among the candidates.
    pub fn compete(&self, scope: &str) -> Arc<LeaseHandle> {
        let mut handles = self.handles.lock();
        let place = handles.binary_search_by(|handle| handle.scope.as_ref().cmp(scope));
        match place {
            Ok(i) => handles[i].clone(),
            Err(i) => {
                let handle = Arc::new(LeaseHandle {
                    scope: scope.into(),
                    platform: self.platform.clone(),
                    timer: self.timer.clone(),
                    lease: Mutex::new(Lease::new(self.me.clone(), self.cfg)),
                    calling: tokio::sync::Mutex::default(),
                    woken: Notify::new(),
                    ended: AtomicBool::new(false),
                });
                handle.want(self.is_candidate(scope));
                handles.insert(i, handle.clone());
                tokio::spawn(handle.clone().run());
                handle
            }
        }
    }

    /// Stops competing for the lease of a scope. A held lease is not released but expires.
    pub fn leave(&self, scope: &str) {
        let mut handles = self.handles.lock();
        let place = handles.binary_search_by(|handle| handle.scope.as_ref().cmp(scope));
        if let Ok(i) = place {
            let handle = handles.remove(i);
            handle.ended.store(true, Ordering::Relaxed);
            handle.woken.notify_one();
        }
    }

    /// Returns whether this VM is among the [`CANDIDATES`] that rank first for a scope. This VM counts
    /// even if the list lacks it, so that after a replacement of all VMs none waits for the list.
    fn is_candidate(&self, scope: &str) -> bool {
        let mut vms = self.routers.lock().clone();
        if vms.is_empty() {
            return true;
        }
        if !vms.contains(&self.me.vm) {
            vms.push(self.me.vm.clone());
        }
        let ranked = rendezvous_rank(scope, vms, ToString::to_string);
        ranked[..CANDIDATES.min(ranked.len())].contains(&self.me.vm)
    }

    async fn look_at_routers(&self) {
        let Ok(vms) = (self.platform.vms)(()).await else {
            return;
        };
        let routers = vms
            .iter()
            .filter(|vm| vm.kind == platform_api::VmKind::Router)
            .filter(|vm| vm.state == platform_api::VmState::Live)
            .filter_map(|vm| vm.id.parse().ok());
        *self.routers.lock() = routers.collect();
        for handle in self.handles.lock().clone() {
            handle.want(self.is_candidate(&handle.scope));
        }
    }

    /// Releases all leases, so that other VMs need not wait for their expiry.
    pub async fn give_back(&self) {
        let handles = std::mem::take(&mut *self.handles.lock());
        futures::future::join_all(handles.iter().map(|handle| handle.give_back())).await;
    }
}

impl LeaseHandle {
    /// Returns the current term while this VM holds the lease and the lease has not expired.
    #[must_use]
    pub fn held(&self) -> Option<Term> {
        self.lease.lock().held_term(self.timer.now())
    }

    /// Raises the next term above one that an engine has reported.
    pub fn exceed(&self, term: Term) {
        self.lease.lock().observe_term(term);
        self.woken.notify_one();
    }

    /// Returns the permission to send one order, after a read of the lease's row.
    ///
    /// # Errors
    ///
    /// Returns an error if the row cannot be read or this VM does not hold the lease.
    pub async fn permit(&self) -> Result<OrderPermit, PermitError> {
        if self.held().is_none() {
            return Err(PermitError::NotHeld);
        }
        let _calling = self.calling.lock().await;
        self.read().await.map_err(PermitError::Unconfirmed)?;
        let permit = self.lease.lock().permit(self.timer.now());
        permit.ok_or(PermitError::NotHeld)
    }

    fn want(&self, wanted: bool) {
        self.lease.lock().set_wanted(wanted);
    }

    async fn run(self: Arc<Self>) {
        while !self.ended.load(Ordering::Relaxed) {
            let wait = self.step().await;
            tokio::select! {
                () = tokio::time::sleep(wait) => {}
                () = self.woken.notified() => {}
            }
        }
    }

    /// Performs the next step of the lease and returns the delay until the following one.
    async fn step(&self) -> Duration {
        let _calling = self.calling.lock().await;
        let step = self.lease.lock().next_step(self.timer.now());
        let done = match step {
            LeaseStep::Wait(wait) => return wait,
            LeaseStep::Read => self.read().await,
            LeaseStep::Write(write) => self.write(write).await,
        };
        match done {
            Ok(()) => Duration::ZERO,
            Err(fault) => {
                tracing::debug!(scope = %self.scope, %fault, "lease call failed");
                RETRY_PAUSE
            }
        }
    }

    async fn give_back(&self) {
        self.ended.store(true, Ordering::Relaxed);
        self.woken.notify_one();
        let _calling = self.calling.lock().await;
        let step = {
            let mut lease = self.lease.lock();
            lease.set_wanted(false);
            lease.next_step(self.timer.now())
        };
        if let LeaseStep::Write(write) = step {
            // If the write fails, the lease expires by itself.
            let _ = self.write(write).await;
        }
    }

    async fn read(&self) -> Result<(), PlatformError> {
        let key = platform_api::RowKey {
            key: self.scope.to_string(),
            table: LEASES.to_owned(),
        };
        let rows = (self.platform.read)(vec![key]).await?;
        let row = rows.first().map(lease_row).unwrap_or_default();
        self.lease.lock().apply_row(self.timer.now(), row);
        Ok(())
    }

    async fn write(&self, write: LeaseWrite) -> Result<(), PlatformError> {
        let sent = self.timer.now();
        let reply = (self.platform.transact)(self.transaction(&write)).await;
        let (answer, fault) = match reply {
            Ok(reply) if reply.committed => (LeaseWriteResult::Written, None),
            Ok(reply) => {
                let row = reply.conflicts.first().map(lease_row);
                (LeaseWriteResult::Conflict(row.unwrap_or_default()), None)
            }
            Err(fault @ PlatformError::Unknown) => (LeaseWriteResult::Unknown, Some(fault)),
            Err(fault) => (LeaseWriteResult::NotRun, Some(fault)),
        };
        self.lease
            .lock()
            .apply_write_result(sent, self.timer.now(), write, answer);
        fault.map_or(Ok(()), Err)
    }

    fn transaction(&self, write: &LeaseWrite) -> platform_api::TransactRequest {
        platform_api::TransactRequest {
            conditions: vec![platform_api::Condition {
                key: self.scope.to_string(),
                table: LEASES.to_owned(),
                version: write.expected,
            }],
            writes: vec![platform_api::Write {
                key: self.scope.to_string(),
                table: LEASES.to_owned(),
                value: Some(lease_value(&write.record)),
            }],
        }
    }
}

async fn follow_routers(leases: Arc<Leases>) {
    let mut ticks = leases.timer.subscribe(CANDIDATES_PERIOD);
    loop {
        leases.look_at_routers().await;
        if ticks.recv().await.is_none() {
            return;
        }
    }
}
