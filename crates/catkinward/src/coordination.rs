//! Starts the services that coordinate VMs through the platform store: claims, leases and orders.

use super::*;
use catkin_decisions::{LeaseHolder, LeaseSettings, OrderSettings};

/// Maximum wait at shutdown for unrecorded claim outcomes to be written and leases to be released.
/// A VM that is being replaced must not wait for the end of a platform outage.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);

/// Scope of the lease under which expired claims are swept.
const SWEEP_SCOPE: &str = "claims-sweep";

/// Dependencies of the coordination services.
pub(crate) struct CoordinationParts {
    pub(crate) platform: Arc<Platform>,
    pub(crate) timer: Arc<Timer>,
    pub(crate) timeline: Arc<Timeline>,
    pub(crate) connections: Arc<Connections>,
    pub(crate) bundle: Arc<BundleInForce>,
}

/// Starts claims, leases and orders, and returns the claims service.
pub(crate) fn start_coordination(
    registry: &ServiceRegistry,
    settings: &Settings,
    parts: CoordinationParts,
) -> Result<Arc<Claims>> {
    let CoordinationParts {
        platform,
        timer,
        timeline,
        connections,
        bundle,
    } = parts;
    let holder = LeaseHolder {
        vm: settings.vm.clone(),
        incarnation: Incarnation(rand::random::<u64>() >> 1),
    };
    let claims = Claims::start(
        platform.clone(),
        timer.clone(),
        timeline.clone(),
        holder.incarnation,
        ClaimSettings::default(),
    );
    let leases = Leases::start(platform, timer.clone(), holder, LeaseSettings::default());
    let orders = Orders::start(
        leases.clone(),
        timer,
        timeline,
        connections,
        bundle,
        settings.orders,
        OrderSettings::default(),
    );
    let sweep_lease = leases.compete(SWEEP_SCOPE);
    let sweep = claims
        .clone()
        .sweep_periodically(move || sweep_lease.held().is_some());
    tokio::spawn(sweep);
    registry.register(ServiceName::Leases, leases.clone())?;
    registry.register(ServiceName::Orders, orders)?;
    let stopping_claims = claims.clone();
    registry.on_stop(move || async move {
        let stop = async { tokio::join!(stopping_claims.flush(), leases.release_all()) };
        if tokio::time::timeout(STOP_TIMEOUT, stop).await.is_err() {
            tracing::warn!("stopped with unrecorded claim outcomes or unreleased leases");
        }
    });
    registry.register(ServiceName::Claims, claims)
}
