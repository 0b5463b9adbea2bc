use super::*;
use crate::lease_row::{LEASES_TABLE, lease_row, lease_value};
use catkin_decisions::{
    Lease, LeaseHolder, LeaseSettings, LeaseStep, LeaseWrite, LeaseWriteResult, OrderPermit,
    rendezvous_rank,
};

/// Delay before the next call after a failed call of the table service.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Number of VMs that compete for the lease of a scope. If all of 400 VMs competed for 17 scopes, the
/// reads of the rows alone would exceed the rate of the table service. Three candidates tolerate any
/// two simultaneous crashes.
const MAX_CANDIDATES: usize = 3;

/// Interval between reads of the platform's list of VMs, from which the candidates are selected.
const VM_LIST_POLL_INTERVAL: Duration = Duration::from_secs(10);

/// The leases service. For each scope that this VM competes for, a task acquires and renews the lease.
pub struct Leases {
    platform: Arc<Platform>,
    timer: Arc<Timer>,
    holder: LeaseHolder,
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
    call_lock: tokio::sync::Mutex<()>,
    step_requested: Notify,
    stopped: AtomicBool,
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
        holder: LeaseHolder,
        cfg: LeaseSettings,
    ) -> Arc<Self> {
        let leases = Arc::new(Self {
            platform,
            timer,
            holder,
            cfg,
            handles: Mutex::default(),
            routers: Mutex::default(),
        });
        tokio::spawn(poll_routers(leases.clone()));
        leases
    }

    /// Starts to compete for the lease of a scope, whenever this VM is among the candidates.
    pub fn compete(&self, scope: &str) -> Arc<LeaseHandle> {
        let mut handles = self.handles.lock();
        let position = handles.binary_search_by(|handle| handle.scope.as_ref().cmp(scope));
        match position {
            Ok(i) => handles[i].clone(),
            Err(i) => {
                let handle = Arc::new(LeaseHandle {
                    scope: scope.into(),
                    platform: self.platform.clone(),
                    timer: self.timer.clone(),
                    lease: Mutex::new(Lease::new(self.holder.clone(), self.cfg)),
                    call_lock: tokio::sync::Mutex::default(),
                    step_requested: Notify::new(),
                    stopped: AtomicBool::new(false),
                });
                handle.set_candidate(self.is_candidate(scope));
                handles.insert(i, handle.clone());
                tokio::spawn(handle.clone().run());
                handle
            }
        }
    }

    /// Stops competing for the lease of a scope. A held lease is not released but expires.
    pub fn stop_competing(&self, scope: &str) {
        let mut handles = self.handles.lock();
        let position = handles.binary_search_by(|handle| handle.scope.as_ref().cmp(scope));
        if let Ok(i) = position {
            let handle = handles.remove(i);
            handle.stopped.store(true, Ordering::Relaxed);
            handle.step_requested.notify_one();
        }
    }

    /// Returns whether this VM is among the [`MAX_CANDIDATES`] that rank first for a scope. This VM counts
    /// even if the list lacks it, so that after a replacement of all VMs none waits for the list.
    fn is_candidate(&self, scope: &str) -> bool {
        let mut vms = self.routers.lock().clone();
        if vms.is_empty() {
            return true;
        }
        if !vms.contains(&self.holder.vm) {
            vms.push(self.holder.vm.clone());
        }
        let ranked = rendezvous_rank(scope, vms, ToString::to_string);
        ranked[..MAX_CANDIDATES.min(ranked.len())].contains(&self.holder.vm)
    }

    async fn refresh_routers(&self) {
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
            handle.set_candidate(self.is_candidate(&handle.scope));
        }
    }

    /// Releases all leases, so that other VMs need not wait for their expiry.
    pub async fn release_all(&self) {
        let handles = std::mem::take(&mut *self.handles.lock());
        futures::future::join_all(handles.iter().map(|handle| handle.release())).await;
    }
}

impl LeaseHandle {
    /// Returns the current term while this VM holds the lease and the lease has not expired.
    #[must_use]
    pub fn held(&self) -> Option<Term> {
        self.lease.lock().held_term(self.timer.now())
    }

    /// Raises the next term above one that an engine has reported.
    pub fn raise_term_above(&self, term: Term) {
        self.lease.lock().observe_term(term);
        self.step_requested.notify_one();
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
        let _call_guard = self.call_lock.lock().await;
        self.read().await.map_err(PermitError::Unconfirmed)?;
        let permit = self.lease.lock().permit(self.timer.now());
        permit.ok_or(PermitError::NotHeld)
    }

    fn set_candidate(&self, candidate: bool) {
        self.lease.lock().set_wanted(candidate);
    }

    async fn run(self: Arc<Self>) {
        while !self.stopped.load(Ordering::Relaxed) {
            let wait = self.step().await;
            tokio::select! {
                () = tokio::time::sleep(wait) => {}
                () = self.step_requested.notified() => {}
            }
        }
    }

    /// Performs the next step of the lease and returns the delay until the following one.
    async fn step(&self) -> Duration {
        let _call_guard = self.call_lock.lock().await;
        let step = self.lease.lock().next_step(self.timer.now());
        let result = match step {
            LeaseStep::Wait(wait) => return wait,
            LeaseStep::Read => self.read().await,
            LeaseStep::Write(write) => self.write(write).await,
        };
        match result {
            Ok(()) => Duration::ZERO,
            Err(error) => {
                tracing::debug!(scope = %self.scope, fault = %error, "lease call failed");
                RETRY_DELAY
            }
        }
    }

    async fn release(&self) {
        self.stopped.store(true, Ordering::Relaxed);
        self.step_requested.notify_one();
        let _call_guard = self.call_lock.lock().await;
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
            table: LEASES_TABLE.to_owned(),
        };
        let rows = (self.platform.read)(vec![key]).await?;
        let row = rows.first().map(lease_row).unwrap_or_default();
        self.lease.lock().apply_row(self.timer.now(), row);
        Ok(())
    }

    async fn write(&self, write: LeaseWrite) -> Result<(), PlatformError> {
        let sent = self.timer.now();
        let reply = (self.platform.transact)(self.transaction(&write)).await;
        let (write_result, error) = match reply {
            Ok(reply) if reply.committed => (LeaseWriteResult::Written, None),
            Ok(reply) => {
                let row = reply.conflicts.first().map(lease_row);
                (LeaseWriteResult::Conflict(row.unwrap_or_default()), None)
            }
            Err(error @ PlatformError::Unknown) => (LeaseWriteResult::Unknown, Some(error)),
            Err(error) => (LeaseWriteResult::NotRun, Some(error)),
        };
        self.lease
            .lock()
            .apply_write_result(sent, self.timer.now(), write, write_result);
        error.map_or(Ok(()), Err)
    }

    fn transaction(&self, write: &LeaseWrite) -> platform_api::TransactRequest {
        platform_api::TransactRequest {
            conditions: vec![platform_api::Condition {
                key: self.scope.to_string(),
                table: LEASES_TABLE.to_owned(),
                version: write.expected,
            }],
            writes: vec![platform_api::Write {
                key: self.scope.to_string(),
                table: LEASES_TABLE.to_owned(),
                value: Some(lease_value(&write.record)),
            }],
        }
    }
}

async fn poll_routers(leases: Arc<Leases>) {
    let mut ticks = leases.timer.subscribe(VM_LIST_POLL_INTERVAL);
    loop {
        leases.refresh_routers().await;
        if ticks.recv().await.is_none() {
            return;
        }
    }
}
