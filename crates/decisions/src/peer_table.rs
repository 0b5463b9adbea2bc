use super::*;

/// The other VMs, sorted by id, with the results of the latest calls to each.
///
/// The platform's list of VMs lags and may be unreachable. So it is merged with what peers advertise, and
/// a VM that does not respond is skipped for a while even if it is listed.
#[derive(Debug)]
pub struct PeerTable {
    own: VmId,
    own_zone: AvailabilityZone,
    peers: Vec<Peer>,
}

#[derive(Debug)]
struct Peer {
    entry: PeerEntry,
    last_seen: Instant,
    /// Time of its last response.
    last_response: Option<Instant>,
    /// Time of the last failed connection; `None` if it has responded since.
    last_failure: Option<Instant>,
    /// Time of the last request that it did not answer in time; `None` if it has responded since.
    last_late_reply: Option<Instant>,
}

/// How long a VM that did not respond is skipped.
const SKIPPED_AFTER_FAILURE: Duration = Duration::from_secs(2);

/// How long after its last response a VM that does not respond may still serve callers.
const SERVING_AFTER_RESPONSE: Duration = Duration::from_secs(5);

/// How long a VM is retained that no peer advertises any more.
const PEER_RETENTION: Duration = Duration::from_secs(120);

/// Number of VMs that keep the progress replicas of a VM.
const HOLDERS: usize = 2;

/// Number of neighbours of a VM in its own availability zone.
const OWN_ZONE_NEIGHBOURS: usize = 4;

/// Number of neighbours of a VM outside its availability zone.
const OTHER_ZONES_NEIGHBOURS: usize = 2;

impl PeerTable {
    /// Creates an empty table for the VM `own`.
    #[must_use]
    pub fn new(own: VmId, own_zone: AvailabilityZone) -> Self {
        Self {
            own,
            own_zone,
            peers: Vec::new(),
        }
    }

    /// Records that a VM was alive at `at`. Peers advertise a VM together with the age of that
    /// observation: if each advertisement counted as a sign of life, VMs would advertise a crashed VM to
    /// each other forever.
    pub fn record_seen(&mut self, at: Instant, entry: PeerEntry) {
        if entry.vm == self.own {
            return;
        }
        match self.position(&entry.vm) {
            Ok(i) if self.peers[i].last_seen >= at => {}
            Ok(i) => {
                let peer = &mut self.peers[i];
                peer.last_seen = at;
                if peer.entry.address != entry.address {
                    (peer.last_failure, peer.last_late_reply) = (None, None);
                }
                peer.entry = entry;
            }
            Err(i) => self.peers.insert(
                i,
                Peer {
                    entry,
                    last_seen: at,
                    last_response: None,
                    last_failure: None,
                    last_late_reply: None,
                },
            ),
        }
    }

    /// Records a response of a VM.
    pub fn record_response(&mut self, now: Instant, vm: &VmId) {
        if let Ok(i) = self.position(vm) {
            let peer = &mut self.peers[i];
            (peer.last_failure, peer.last_late_reply) = (None, None);
            peer.last_response = Some(now);
            peer.last_seen = now;
        }
    }

    /// Records that no connection to a VM could be opened, or that one broke. Returns whether the VM counted
    /// as responsive until now.
    pub fn record_failure(&mut self, now: Instant, vm: &VmId) -> bool {
        let Ok(i) = self.position(vm) else {
            return false;
        };
        let peer = &mut self.peers[i];
        let was_responsive = peer.is_responsive(now);
        peer.last_failure = Some(now);
        was_responsive
    }

    /// Records that a VM did not answer a request in time: it, this VM or the network may only be slow.
    /// Returns whether the VM counted as responsive until now.
    pub fn record_late_reply(&mut self, now: Instant, vm: &VmId) -> bool {
        let Ok(i) = self.position(vm) else {
            return false;
        };
        let peer = &mut self.peers[i];
        let was_responsive = peer.is_responsive(now);
        peer.last_late_reply = Some(now);
        was_responsive
    }

    /// Whether no call to a VM has failed or been answered late since its last response.
    #[must_use]
    pub fn answered_last_call(&self, vm: &VmId) -> bool {
        let peer = self.position(vm).ok().map(|i| &self.peers[i]);
        peer.is_some_and(|peer| peer.last_failure.is_none() && peer.last_late_reply.is_none())
    }

    /// Whether a call to a VM has failed or been answered late since `since`.
    #[must_use]
    pub fn has_failed_since(&self, vm: &VmId, since: Instant) -> bool {
        let peer = self.position(vm).ok().map(|i| &self.peers[i]);
        peer.is_some_and(|peer| {
            let failures = [peer.last_failure, peer.last_late_reply];
            failures.into_iter().flatten().any(|at| at > since)
        })
    }

    /// Removes VMs that have not been seen by any peer for the retention time.
    pub fn expire(&mut self, now: Instant) {
        self.peers
            .retain(|peer| now.since(peer.last_seen) <= PEER_RETENTION);
    }

    /// The entry of a VM; `None` if it is not in the table.
    #[must_use]
    pub fn find(&self, vm: &VmId) -> Option<&PeerEntry> {
        self.position(vm).ok().map(|i| &self.peers[i].entry)
    }

    /// Up to `limit` VMs to advertise, from index `skip` on with wrap-around, each with the time since it
    /// was last seen.
    #[must_use]
    pub fn to_advertise(
        &self,
        now: Instant,
        skip: usize,
        limit: usize,
    ) -> Vec<(PeerEntry, Duration)> {
        let count = self.peers.len().min(limit);
        let peers = self.peers.iter().cycle().skip(skip).take(count);
        peers
            .map(|peer| (peer.entry.clone(), now.since(peer.last_seen)))
            .collect()
    }

    /// VMs that this one or a peer has seen within `max_age`.
    #[must_use]
    pub fn seen_within(&self, now: Instant, max_age: Duration) -> Vec<PeerEntry> {
        let seen_recently = |peer: &&Peer| now.since(peer.last_seen) <= max_age;
        let peers = self.peers.iter().filter(seen_recently);
        peers.map(|peer| peer.entry.clone()).collect()
    }

    /// All VMs of the table, sorted by id.
    pub fn entries(&self) -> impl Iterator<Item = &PeerEntry> {
        self.peers.iter().map(|peer| &peer.entry)
    }

    /// The VMs with which this one exchanges updates periodically. Most are in its own availability zone
    /// and some in others, so that updates reach all zones, while the number of connections per VM does
    /// not grow with the number of VMs.
    #[must_use]
    pub fn neighbours(&self, now: Instant) -> Vec<PeerEntry> {
        let (inside, outside) = self.ranked_responsive(now, &self.own, &self.own_zone);
        let mut chosen = inside
            .into_iter()
            .take(OWN_ZONE_NEIGHBOURS)
            .collect::<Vec<_>>();
        chosen.extend(outside.into_iter().take(OTHER_ZONES_NEIGHBOURS));
        chosen
    }

    /// The VMs that keep the progress replicas of `vm`: the highest ranked that respond in its availability
    /// zone and outside. Every VM computes the same from the same list, so one that knows which VM ran a
    /// generation knows which to query. Where fewer than two respond, VMs that were only late are holders
    /// too: otherwise a short stall would leave tokens without any replica.
    #[must_use]
    pub fn holders(&self, now: Instant, vm: &VmId, zone: &AvailabilityZone) -> Vec<PeerEntry> {
        let (inside, outside) = self.ranked_responsive(now, vm, zone);
        let (mut inside, mut outside) = (inside.into_iter(), outside.into_iter());
        let first = inside.next();
        let second = outside.next().or_else(|| inside.next());
        let first = first.or_else(|| outside.next());
        let late = |peer: &Peer| !peer.is_responsive(now) && peer.is_reachable(now);
        let (late_inside, late_outside) = self.ranked(vm, zone, late);
        let holders = first.into_iter().chain(second);
        let holders = holders.chain(late_inside).chain(late_outside);
        holders.take(HOLDERS).collect()
    }

    /// VMs that may keep a progress replica of `vm`. VMs differ in which others they consider reachable,
    /// so more are queried than hold a replica; those of the availability zone of `vm` come first, and
    /// within each half the most likely ones.
    #[must_use]
    pub fn likely_holders(&self, now: Instant, vm: &VmId, limit: usize) -> Vec<PeerEntry> {
        let Some(zone) = self.zone_of(vm) else {
            return Vec::new();
        };
        let (inside, outside) = self.ranked_responsive(now, vm, &zone);
        let half = limit.div_ceil(2);
        inside
            .into_iter()
            .take(half)
            .chain(outside.into_iter().take(half))
            .collect()
    }

    /// As [`Self::likely_holders`], followed by VMs that recently did not respond: such a VM may only be slow
    /// and still hold a replica.
    #[must_use]
    pub fn likely_holders_including_silent(
        &self,
        now: Instant,
        vm: &VmId,
        limit: usize,
    ) -> Vec<PeerEntry> {
        let Some(zone) = self.zone_of(vm) else {
            return Vec::new();
        };
        let silent = |peer: &Peer| !peer.is_responsive(now);
        let (inside, outside) = self.ranked(vm, &zone, silent);
        let likely = self.likely_holders(now, vm, limit).into_iter();
        likely.chain(inside).chain(outside).take(limit).collect()
    }

    /// Up to `limit` VMs that respond, those of the own availability zone first. They are queried for a caller
    /// that cannot name the VM that served it.
    #[must_use]
    pub fn nearest(&self, now: Instant, limit: usize) -> Vec<PeerEntry> {
        let (inside, outside) = self.ranked_responsive(now, &self.own, &self.own_zone);
        inside.into_iter().chain(outside).take(limit).collect()
    }

    /// As [`Self::nearest`], followed by VMs that recently did not respond: such a VM may only be slow and
    /// still serve callers.
    #[must_use]
    pub fn nearest_including_silent(&self, now: Instant, limit: usize) -> Vec<PeerEntry> {
        let mut nearest = self.nearest(now, limit);
        let silent = self.peers.iter().filter(|peer| !peer.is_responsive(now));
        nearest.extend(silent.map(|peer| peer.entry.clone()));
        nearest.truncate(limit);
        nearest
    }

    /// Whether a VM may still serve callers: its last call did not fail, or it responded recently.
    #[must_use]
    pub fn may_serve(&self, now: Instant, vm: &VmId) -> bool {
        let peer = self.position(vm).ok().map(|i| &self.peers[i]);
        peer.is_some_and(|peer| peer.may_serve(now))
    }

    fn zone_of(&self, vm: &VmId) -> Option<AvailabilityZone> {
        if *vm == self.own {
            return Some(self.own_zone.clone());
        }
        self.find(vm).map(|entry| entry.zone.clone())
    }

    fn ranked_responsive(
        &self,
        now: Instant,
        vm: &VmId,
        zone: &AvailabilityZone,
    ) -> (Vec<PeerEntry>, Vec<PeerEntry>) {
        self.ranked(vm, zone, |peer| peer.is_responsive(now))
    }

    /// The VMs for which `is_candidate` holds, ranked for `vm`: those of its availability zone, and the others.
    fn ranked(
        &self,
        vm: &VmId,
        zone: &AvailabilityZone,
        is_candidate: impl Fn(&Peer) -> bool,
    ) -> (Vec<PeerEntry>, Vec<PeerEntry>) {
        let candidates = self
            .peers
            .iter()
            .filter(|peer| is_candidate(peer))
            .map(|peer| peer.entry.clone())
            .filter(|entry| entry.vm != *vm)
            .collect();
        rendezvous_rank(vm.as_str(), candidates, |entry: &PeerEntry| {
            entry.vm.to_string()
        })
        .into_iter()
        .partition(|entry| entry.zone == *zone)
    }

    fn position(&self, vm: &VmId) -> Result<usize, usize> {
        self.peers.binary_search_by(|peer| peer.entry.vm.cmp(vm))
    }
}

impl Peer {
    /// Whether no call to the VM has failed since its last response, or within [`SKIPPED_AFTER_FAILURE`].
    fn is_responsive(&self, now: Instant) -> bool {
        let failures = [self.last_failure, self.last_late_reply];
        failures.into_iter().flatten().all(is_over(now))
    }

    /// Whether the VM responded recently and no connection to it has failed since, or within
    /// [`SKIPPED_AFTER_FAILURE`].
    fn is_reachable(&self, now: Instant) -> bool {
        self.may_serve(now) && self.last_failure.into_iter().all(is_over(now))
    }

    /// Whether the last call to the VM did not fail, or it responded recently.
    fn may_serve(&self, now: Instant) -> bool {
        let responded_recently = self
            .last_response
            .is_some_and(|at| now.since(at) <= SERVING_AFTER_RESPONSE);
        (self.last_failure.is_none() && self.last_late_reply.is_none()) || responded_recently
    }
}

/// Returns a predicate that is true for failures after which a VM is not skipped any more.
fn is_over(now: Instant) -> impl Fn(Instant) -> bool {
    move |failed_at| now.since(failed_at) > SKIPPED_AFTER_FAILURE
}
