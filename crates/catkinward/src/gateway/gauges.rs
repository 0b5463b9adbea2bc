//! Gauges of the state that this VM has observed.

use super::*;
use std::sync::Weak;

/// Interval at which the gauges are set: short enough for an endpoint that is scraped every few
/// seconds.
const INTERVAL: Duration = Duration::from_secs(1);

/// Sets the gauges until the gateway is dropped.
pub(crate) async fn update_gauges(gateway: Weak<Gateway>) {
    let Some(mut ticks) = gateway.upgrade().map(|g| g.timer.subscribe(INTERVAL)) else {
        return;
    };
    let mut last_role = None;
    while let Some(now) = ticks.recv().await {
        let Some(gateway) = gateway.upgrade() else {
            return;
        };
        let role = gateway.zone_role();
        if last_role.replace(role) != Some(role) {
            let zone_vms = gateway.zone_vms().len();
            tracing::info!(%role, zone_vms, "role in the zone changed");
        }
        gateway.remove_ended_back_offs(now);
        gateway.set_gauges(role, now);
        gateway.set_room_gauges(now);
    }
}

impl Gateway {
    fn set_gauges(&self, role: ZoneRole, now: Instant) {
        self.set_queue_gauges();
        let mut state = self.state.lock();
        let usable = state.directory.usable_count(now);
        let suspects = state
            .upstreams_mut()
            .filter(|upstream| upstream.health.is_suspect())
            .count();
        state.peer_suspicions.remove_old(now);
        let peers = state.peers.live_count(now);
        let crashing_parts = state.crashes.blamed_count();
        let backing_off = state.back_offs.count_in_force(now);
        let age = state
            .gossip
            .store_age(now)
            .or(state.table_read.map(|at| now.since(at)));
        let era = usize::try_from(state.table.position().era.0).unwrap_or(usize::MAX);
        drop(state);
        gauge("catkin_store_era", era);
        gauge("catkin_upstreams_usable", usable);
        gauge("catkin_upstreams_suspect", suspects);
        gauge("catkin_upstreams_backing_off", backing_off);
        gauge("catkin_peers", peers);
        gauge("catkin_crashing_parts", crashing_parts);
        gauge("catkin_reads_for_zone", usize::from(role.polls_store()));
        if let Some(age) = age {
            metrics::gauge!("catkin_table_age_seconds").set(age.as_secs_f64());
        }
    }
}

fn gauge(name: &'static str, count: usize) {
    #[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
    metrics::gauge!(name).set(count as f64);
}
