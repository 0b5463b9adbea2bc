use super::*;
use crate::admission_pool::AdmissionPool;

/// How often queues are dispatched when no other event triggers it: an upstream may have recovered,
/// or the latest start time of a request may have passed. A due refusal is sent at most this much
/// later.
const PUMP_PERIOD: Duration = Duration::from_millis(10);

/// How often the load reports of upstreams are applied to the pools.
const REPORT_PERIOD: Duration = Duration::from_millis(500);

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
        tokio::spawn(pump(admission.clone()));
        tokio::spawn(follow(admission.clone()));
        admission
    }

    /// Returns the pool of a service, which is created on first use.
    pub(crate) fn pool(&self, service: &ServiceId) -> Arc<AdmissionPool> {
        if let Some(pool) = find(&self.pools.read(), service) {
            return pool;
        }
        let mut pools = self.pools.write();
        if let Some(pool) = find(&pools, service) {
            return pool;
        }
        let pool = Arc::new(AdmissionPool::new(service.clone(), self.timer.clone()));
        let i = pools.partition_point(|other| other.service < *service);
        pools.insert(i, pool.clone());
        drop(pools);
        self.take_reports();
        pool
    }

    /// Returns the number of queued requests of a service.
    #[must_use]
    pub fn waiting(&self, service: &ServiceId) -> usize {
        self.pool(service).waiting()
    }

    /// Returns the number of coalesced reads of a service that wait for the response of an
    /// identical read.
    #[must_use]
    pub fn waiting_reads(&self, service: &ServiceId) -> usize {
        self.pool(service).reads.lock().follower_count()
    }

    fn take_reports(&self) {
        let bundle = self.bundle.current();
        let reports = self.upstreams.capacity_reports();
        for pool in self.pools.read().iter() {
            let of_pool = reports.iter().filter(|(id, _)| {
                bundle
                    .upstream(id)
                    .is_some_and(|upstream| upstream.services.binary_search(&pool.service).is_ok())
            });
            pool.take_reports(of_pool, |id| CapacityShare::of(&self.vm, id, self.sharers));
        }
    }
}

fn find(pools: &[Arc<AdmissionPool>], service: &ServiceId) -> Option<Arc<AdmissionPool>> {
    let i = pools
        .binary_search_by(|pool| pool.service.cmp(service))
        .ok()?;
    pools.get(i).cloned()
}

async fn pump(admission: Arc<Admission>) {
    let mut ticks = admission.timer.subscribe(PUMP_PERIOD);
    while ticks.recv().await.is_some() {
        let pools = admission.pools.read().clone();
        for pool in pools {
            pool.pump();
        }
    }
}

async fn follow(admission: Arc<Admission>) {
    let mut ticks = admission.timer.subscribe(REPORT_PERIOD);
    let mut changes = admission.bundle.changes();
    loop {
        admission.take_reports();
        tokio::select! {
            tick = ticks.recv() => if tick.is_none() { return },
            news = changes.changed() => if news.is_err() { return },
        }
    }
}
