use super::*;

/// How often the VMs that share the watching of suspects are counted anew.
const PERIOD: Duration = Duration::from_secs(1);

/// VMs that nobody has heard of for this long watch nothing.
const SILENT_FOR: Duration = Duration::from_secs(30);

/// Shares the watching of suspected requests among the VMs of the own availability zone.
pub(crate) fn share_watching(peers: &Arc<Peers>, upstreams: &Arc<Upstreams>, timer: &Arc<Timer>) {
    let mut ticks = timer.subscribe(PERIOD);
    let (peers, upstreams) = (peers.clone(), upstreams.clone());
    tokio::spawn(async move {
        while ticks.recv().await.is_some() {
            let own = peers.own();
            let mut vms = peers.heard_within(SILENT_FOR);
            vms.retain(|entry| entry.zone == own.zone);
            vms.push(own.clone());
            upstreams.set_watchers(vms.into_iter().map(|entry| entry.vm).collect());
        }
    });
}
