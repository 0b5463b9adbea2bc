use super::*;

/// The other VMs, sorted by id, with the results of the latest calls to each.
///
/// The platform's list of VMs lags and may be unreachable. So it is merged with what peers advertise, and
/// a VM that does not answer is skipped for a while even if it is listed.
#[derive(Debug)]
pub struct PeerTable {
    own: VmId,
    own_zone: AvailabilityZone,
    peers: Vec<Peer>,
}

#[derive(Debug)]
struct Peer {
    entry: PeerEntry,
    heard_of: Instant,
    /// Time of its last answer.
    answered: Option<Instant>,
    /// Time of the last call that it did not answer; `None` if it has answered since.
    failed: Option<Instant>,
}

/// How long a VM that did not answer is skipped.
const FAILED_FOR: Duration = Duration::from_secs(2);

/// How long after its last answer a VM that does not answer may still serve callers.
const SERVES_FOR: Duration = Duration::from_secs(5);

/// How long a VM is retained that no peer advertises any more.
const FORGET_AFTER: Duration = Duration::from_secs(120);

/// Number of neighbours of a VM in its own availability zone.
const ZONE_NEIGHBOURS: usize = 4;

/// Number of neighbours of a VM outside its availability zone.
const OTHER_NEIGHBOURS: usize = 2;

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
    /// observation: if each advertisement counted as a sign of life, VMs would advertise a dead VM to each
    /// other forever.
    pub fn heard_of(&mut self, at: Instant, entry: PeerEntry) {
        if entry.vm == self.own {
            return;
        }
        match self.position(&entry.vm) {
            Ok(i) if self.peers[i].heard_of >= at => {}
            Ok(i) => {
                let peer = &mut self.peers[i];
                peer.heard_of = at;
                if peer.entry.address != entry.address {
                    peer.failed = None;
                }
                peer.entry = entry;
            }
            Err(i) => self.peers.insert(
                i,
                Peer {
                    entry,
                    heard_of: at,
                    answered: None,
                    failed: None,
                },
            ),
        }
    }

    /// Records that a VM answered.
    pub fn answered(&mut self, now: Instant, vm: &VmId) {
        if let Ok(i) = self.position(vm) {
            self.peers[i].failed = None;
            self.peers[i].answered = Some(now);
            self.peers[i].heard_of = now;
        }
    }

    /// Records that a VM did not answer.
    pub fn failed(&mut self, now: Instant, vm: &VmId) {
        if let Ok(i) = self.position(vm) {
            self.peers[i].failed = Some(now);
        }
    }

    /// Removes VMs that have not been seen by any peer for [`FORGET_AFTER`].
    pub fn expire(&mut self, now: Instant) {
        self.peers
            .retain(|peer| now.since(peer.heard_of) <= FORGET_AFTER);
    }

    /// The entry of a VM; `None` if it is not in the table.
    #[must_use]
    pub fn find(&self, vm: &VmId) -> Option<&PeerEntry> {
        self.position(vm).ok().map(|i| &self.peers[i].entry)
    }

    /// Up to `most` VMs to advertise, from index `skip` on with wrap-around, each with the time since it
    /// was last seen.
    #[must_use]
    pub fn told(&self, now: Instant, skip: usize, most: usize) -> Vec<(PeerEntry, Duration)> {
        let count = self.peers.len().min(most);
        let peers = self.peers.iter().cycle().skip(skip).take(count);
        peers
            .map(|peer| (peer.entry.clone(), now.since(peer.heard_of)))
            .collect()
    }

    /// VMs that this one or a peer has seen within `bound`.
    #[must_use]
    pub fn heard_within(&self, now: Instant, bound: Duration) -> Vec<PeerEntry> {
        let lately = |peer: &&Peer| now.since(peer.heard_of) <= bound;
        let peers = self.peers.iter().filter(lately);
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
        let (inside, outside) = self.ranked(now, &self.own, &self.own_zone);
        let mut chosen = inside.into_iter().take(ZONE_NEIGHBOURS).collect::<Vec<_>>();
        chosen.extend(outside.into_iter().take(OTHER_NEIGHBOURS));
        chosen
    }

    /// The VMs that keep the progress replicas of `vm`: among those that answer, the highest ranked in its
    /// availability zone and the highest ranked outside. Every VM computes the same result from the same
    /// list, so a VM that knows which one ran a generation knows which ones to query.
    #[must_use]
    pub fn holders(&self, now: Instant, vm: &VmId, zone: &AvailabilityZone) -> Vec<PeerEntry> {
        let (inside, outside) = self.ranked(now, vm, zone);
        let (mut inside, mut outside) = (inside.into_iter(), outside.into_iter());
        let first = inside.next();
        let second = outside.next().or_else(|| inside.next());
        let first = first.or_else(|| outside.next());
        first.into_iter().chain(second).collect()
    }

    /// VMs that may keep a progress replica of `vm`. VMs differ in which others they consider reachable,
    /// so more are queried than hold a replica; those of the availability zone of `vm` come first, and
    /// within each half the most likely ones.
    #[must_use]
    pub fn likely_holders(&self, now: Instant, vm: &VmId, most: usize) -> Vec<PeerEntry> {
        let Some(zone) = self.zone_of(vm) else {
            return Vec::new();
        };
        let (inside, outside) = self.ranked(now, vm, &zone);
        let half = most.div_ceil(2);
        inside
            .into_iter()
            .take(half)
            .chain(outside.into_iter().take(half))
            .collect()
    }

    /// Up to `most` VMs that answer, those of the own availability zone first. They are queried for a caller
    /// that cannot name the VM that served it.
    #[must_use]
    pub fn nearest(&self, now: Instant, most: usize) -> Vec<PeerEntry> {
        let (inside, outside) = self.ranked(now, &self.own, &self.own_zone);
        inside.into_iter().chain(outside).take(most).collect()
    }

    /// As [`Self::nearest`], followed by VMs that recently did not answer: such a VM may only be slow and
    /// still serve callers.
    #[must_use]
    pub fn nearest_of_all(&self, now: Instant, most: usize) -> Vec<PeerEntry> {
        let mut nearest = self.nearest(now, most);
        let silent = self.peers.iter().filter(|peer| !peer.answers(now));
        nearest.extend(silent.map(|peer| peer.entry.clone()));
        nearest.truncate(most);
        nearest
    }

    /// Whether a VM may still serve callers: its last call did not fail, or it answered recently.
    #[must_use]
    pub fn may_serve(&self, now: Instant, vm: &VmId) -> bool {
        let peer = self.position(vm).ok().map(|i| &self.peers[i]);
        peer.is_some_and(|peer| {
            let answered = peer.answered.is_some_and(|at| now.since(at) <= SERVES_FOR);
            peer.failed.is_none() || answered
        })
    }

    fn zone_of(&self, vm: &VmId) -> Option<AvailabilityZone> {
        if *vm == self.own {
            return Some(self.own_zone.clone());
        }
        self.find(vm).map(|entry| entry.zone.clone())
    }

    fn ranked(
        &self,
        now: Instant,
        vm: &VmId,
        zone: &AvailabilityZone,
    ) -> (Vec<PeerEntry>, Vec<PeerEntry>) {
        let answering = self
            .peers
            .iter()
            .filter(|peer| peer.answers(now))
            .map(|peer| peer.entry.clone())
            .filter(|entry| entry.vm != *vm)
            .collect();
        rendezvous_rank(vm.as_str(), answering, |entry: &PeerEntry| {
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
    /// Whether no call to the VM has failed since its last answer, or within [`FAILED_FOR`].
    fn answers(&self, now: Instant) -> bool {
        self.failed.is_none_or(|at| now.since(at) > FAILED_FOR)
    }
}
