use super::*;
use crate::admission_pool::AdmissionPool;

/// How often queues are dispatched when no other event triggers it: an upstream may have recovered,
/// or the latest start time of a request may have passed. A due refusal is sent at most this much
/// later.
const DISPATCH_INTERVAL: Duration = Duration::from_millis(10);

/// How often the load reports of upstreams are applied to the pools.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Admission control: every request waits here for a slot at an upstream, or is refused.
pub struct Admission {
    timer: Arc<Timer>,
    bundle: Arc<BundleInForce>,
    upstreams: Arc<Upstreams>,
    vm: VmId,
    /// Number of router VMs that share the capacity of the upstreams.
    sharers: u32,
    /// Sorted by service.
    pools: RwLock<Vec<Arc<AdmissionPool>>>,
}

impl Admission {
    /// Starts the dispatch loop and the task that applies bundle changes and upstream load reports.
    pub fn start(
        timer: &Arc<Timer>,
        bundle: &Arc<BundleInForce>,
        upstreams: &Arc<Upstreams>,
        settings: &Settings,
    ) -> Arc<Self> {
        let admission = Arc::new(Self {
            timer: timer.clone(),
            bundle: bundle.clone(),
            upstreams: upstreams.clone(),
            vm: settings.vm.clone(),
            sharers: settings.entry_vms,
            pools: RwLock::default(),
        });
        tokio::spawn(dispatch_periodically(admission.clone()));
        tokio::spawn(follow_changes_and_load(admission.clone()));
        admission
    }

    /// Returns the pool of a service, which is created on first use.
    pub(crate) fn pool(&self, service: &ServiceId) -> Arc<AdmissionPool> {
        if let Some(pool) = find_pool(&self.pools.read(), service) {
            return pool;
        }
        let mut pools = self.pools.write();
        if let Some(pool) = find_pool(&pools, service) {
            return pool;
        }
        let pool = Arc::new(AdmissionPool::new(service.clone(), self.timer.clone()));
        let i = pools.partition_point(|other| other.service < *service);
        pools.insert(i, pool.clone());
        drop(pools);
        self.apply_reports();
        pool
    }

    /// Returns the number of queued requests of a service.
    #[must_use]
    pub fn queued_count(&self, service: &ServiceId) -> usize {
        self.pool(service).queued_count()
    }

    /// Returns the number of coalesced reads of a service that wait for the response of an
    /// identical read.
    #[must_use]
    pub fn waiting_read_count(&self, service: &ServiceId) -> usize {
        self.pool(service).reads.lock().follower_count()
    }

    fn apply_reports(&self) {
        let bundle = self.bundle.current();
        let reports = self.upstreams.capacity_reports();
        for pool in self.pools.read().iter() {
            let pool_reports = reports.iter().filter(|(id, _)| {
                bundle
                    .upstream(id)
                    .is_some_and(|upstream| upstream.services.binary_search(&pool.service).is_ok())
            });
            pool.apply_reports(pool_reports, |id| {
                CapacityShare::of(&self.vm, id, self.sharers)
            });
        }
    }
}

fn find_pool(pools: &[Arc<AdmissionPool>], service: &ServiceId) -> Option<Arc<AdmissionPool>> {
    let i = pools
        .binary_search_by(|pool| pool.service.cmp(service))
        .ok()?;
    pools.get(i).cloned()
}

async fn dispatch_periodically(admission: Arc<Admission>) {
    let mut ticks = admission.timer.subscribe(DISPATCH_INTERVAL);
    while ticks.recv().await.is_some() {
        let pools = admission.pools.read().clone();
        for pool in pools {
            pool.dispatch();
        }
    }
}

async fn follow_changes_and_load(admission: Arc<Admission>) {
    let mut ticks = admission.timer.subscribe(REPORT_INTERVAL);
    let mut changes = admission.bundle.changes();
    loop {
        admission.apply_reports();
        tokio::select! {
            tick = ticks.recv() => if tick.is_none() { return },
            change = changes.changed() => if change.is_err() { return },
        }
    }
}
