use super::*;

/// Interval between readiness checks of each router.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Mock of the platform's load balancer: round robin over the routers that report ready.
pub(crate) struct Balancer {
    ready: Vec<AtomicBool>,
    next: AtomicUsize,
}

impl Balancer {
    pub(crate) fn new(routers: usize) -> Self {
        Self {
            ready: (0..routers).map(|_| AtomicBool::new(true)).collect(),
            next: AtomicUsize::new(0),
        }
    }

    /// Selects the router of the next call; avoids `avoid` if another router is ready.
    pub(crate) fn pick(&self, avoid: Option<usize>) -> usize {
        let first = self.next.fetch_add(1, Ordering::Relaxed);
        let count = self.ready.len();
        (0..count)
            .map(|i| (first + i) % count)
            .find(|i| Some(*i) != avoid && self.ready[*i].load(Ordering::Relaxed))
            .unwrap_or(first % count)
    }

    /// Polls the readiness of all routers until the future is dropped.
    pub(crate) async fn poll_readiness(&self, fleet: &Fleet) {
        loop {
            let checks = fleet.routers.iter().zip(&self.ready);
            join_all(checks.map(|(router, ready)| async {
                let now = fleet.is_ready(router.address()).await;
                ready.store(now, Ordering::Relaxed);
            }))
            .await;
            tokio::time::sleep(HEALTH_CHECK_INTERVAL).await;
        }
    }
}
