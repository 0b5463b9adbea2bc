use super::*;

/// Registers gossip callbacks by which VMs advertise leaving upstreams and crash records of
/// requests, and divide the probation runs of suspect requests among the VMs of an availability
/// zone.
pub(crate) fn gossip_upstreams(peers: &Arc<Peers>, upstreams: &Arc<Upstreams>) {
    let telling = upstreams.clone();
    peers.gossip.tell(move |gossip| {
        gossip.leaving.extend(telling.leaving_deltas());
        gossip.poison.extend(telling.poison_deltas());
    });
    let answering = upstreams.clone();
    peers.gossip.answer(move |heard, gossip| {
        gossip.poison.extend(answering.culprits(&heard.poison));
        let conflicts = answering.suspect_conflicts(&heard.suspects);
        gossip.suspects.extend(conflicts.waiting);
        gossip.running.extend(conflicts.running);
    });
    let (hearing, table) = (upstreams.clone(), Arc::downgrade(peers));
    peers.gossip.hear(move |gossip, sender| {
        for (id, incarnation) in &gossip.leaving {
            hearing.note_leaving(id, *incarnation, LeavingSource::Peer);
        }
        hearing.merge_poison(&gossip.poison, sender);
        hearing.suspects_announced(&gossip.suspects, sender);
        hearing.suspects_run_elsewhere(&gossip.running, sender);
        hearing.suspects_withdrawn(&gossip.withdrawn, sender);
        if let Some(peers) = table.upgrade() {
            hearing.set_watchers(watchers(&peers));
        }
    });
}

/// Returns the VMs of the own availability zone, including this one.
fn watchers(peers: &Peers) -> Vec<VmId> {
    let own = peers.own();
    let entries = peers.entries().into_iter().chain([own.clone()]);
    entries
        .filter(|entry| entry.zone == own.zone)
        .map(|entry| entry.vm)
        .collect()
}
