use super::*;

/// Registers gossip callbacks by which VMs advertise leaving upstreams and crash records of
/// requests, and divide the probation runs of suspect requests among the VMs of an availability
/// zone.
pub(crate) fn gossip_upstreams(peers: &Arc<Peers>, upstreams: &Arc<Upstreams>) {
    let advertising = upstreams.clone();
    peers.gossip.on_send(move |gossip| {
        gossip.leaving.extend(advertising.leaving_deltas());
        gossip.poison.extend(advertising.poison_deltas());
    });
    let replying = upstreams.clone();
    peers.gossip.on_reply(move |received, gossip| {
        gossip
            .poison
            .extend(replying.explaining_records(&received.poison));
        let conflicts = replying.suspect_conflicts(&received.suspects);
        gossip.suspects.extend(conflicts.waiting);
        gossip.running.extend(conflicts.running);
    });
    let (receiving, table) = (upstreams.clone(), Arc::downgrade(peers));
    peers.gossip.on_receive(move |gossip, sender| {
        for (id, incarnation) in &gossip.leaving {
            receiving.record_leaving(id, *incarnation, LeavingSource::Peer);
        }
        receiving.merge_poison(&gossip.poison, sender);
        receiving.suspects_announced(&gossip.suspects, sender);
        receiving.suspects_running_on_peer(&gossip.running, sender);
        receiving.suspects_withdrawn(&gossip.withdrawn, sender);
        if let Some(peers) = table.upgrade() {
            receiving.set_probation_vms(probation_vms(&peers));
        }
    });
}

/// Returns the VMs of the own availability zone, including this one.
fn probation_vms(peers: &Peers) -> Vec<VmId> {
    let own = peers.own();
    let entries = peers.entries().into_iter().chain([own.clone()]);
    entries
        .filter(|entry| entry.zone == own.zone)
        .map(|entry| entry.vm)
        .collect()
}
