use super::*;

/// The other VMs, sorted by id, and how each one's connection fared.
///
/// The platform's list lags and may be out of reach; so what peers say is joined with it, and a VM
/// that does not answer is passed over for a while whatever the list says.
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
    /// Its last answer.
    answered: Option<Instant>,
    /// The last call that it did not answer, unless it has answered since.
    failed: Option<Instant>,
}

/// How long a VM that did not answer is passed over.
const FAILED_FOR: Duration = Duration::from_secs(2);

/// How long after its last answer a VM that does not answer may still serve callers.
const SERVES_FOR: Duration = Duration::from_secs(5);

/// How long a VM is remembered of which nobody speaks any more.
const FORGET_AFTER: Duration = Duration::from_secs(120);

/// Neighbours of a VM in its own availability zone.
const ZONE_NEIGHBOURS: usize = 4;

/// Neighbours of a VM outside its availability zone.
const OTHER_NEIGHBOURS: usize = 2;

impl PeerTable {
    /// A table of a VM that knows no other.
    #[must_use]
    pub fn new(own: VmId, own_zone: AvailabilityZone) -> Self {
        Self {
            own,
            own_zone,
            peers: Vec::new(),
        }
    }

    /// Notes that a VM was there at `at`. What others tell comes with its age: were each mention
    /// taken for a sign of life, VMs would tell each other of a dead one for ever.
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

    /// Notes that a VM answered.
    pub fn answered(&mut self, now: Instant, vm: &VmId) {
        if let Ok(i) = self.position(vm) {
            self.peers[i].failed = None;
            self.peers[i].answered = Some(now);
            self.peers[i].heard_of = now;
        }
    }

    /// Notes that a VM did not answer.
    pub fn failed(&mut self, now: Instant, vm: &VmId) {
        if let Ok(i) = self.position(vm) {
            self.peers[i].failed = Some(now);
        }
    }

    /// Forgets VMs of which nobody has spoken for long.
    pub fn expire(&mut self, now: Instant) {
        self.peers
            .retain(|peer| now.since(peer.heard_of) <= FORGET_AFTER);
    }

    /// The entry of a VM.
    #[must_use]
    pub fn find(&self, vm: &VmId) -> Option<&PeerEntry> {
        self.position(vm).ok().map(|i| &self.peers[i].entry)
    }

    /// VMs from place `skip` on, going round, each with the age of what is known of it.
    #[must_use]
    pub fn told(&self, now: Instant, skip: usize, most: usize) -> Vec<(PeerEntry, Duration)> {
        let count = self.peers.len().min(most);
        let peers = self.peers.iter().cycle().skip(skip).take(count);
        peers
            .map(|peer| (peer.entry.clone(), now.since(peer.heard_of)))
            .collect()
    }

    /// VMs that somebody has heard of within `bound`.
    #[must_use]
    pub fn heard_within(&self, now: Instant, bound: Duration) -> Vec<PeerEntry> {
        let lately = |peer: &&Peer| now.since(peer.heard_of) <= bound;
        let peers = self.peers.iter().filter(lately);
        peers.map(|peer| peer.entry.clone()).collect()
    }

    /// All VMs known, sorted by id.
    pub fn entries(&self) -> impl Iterator<Item = &PeerEntry> {
        self.peers.iter().map(|peer| &peer.entry)
    }

    /// The few VMs that this one talks with now and then: most of its own availability zone, some
    /// of others, so that news crosses availability zones and no VM has more than a handful of
    /// connections, however many VMs there are.
    #[must_use]
    pub fn neighbours(&self, now: Instant) -> Vec<PeerEntry> {
        let (inside, outside) = self.ranked(now, &self.own, &self.own_zone);
        let mut chosen = inside.into_iter().take(ZONE_NEIGHBOURS).collect::<Vec<_>>();
        chosen.extend(outside.into_iter().take(OTHER_NEIGHBOURS));
        chosen
    }

    /// The VMs that keep copies of what `vm` runs: the best of its availability zone and the best
    /// outside, among those that answer. Every VM computes the same from the same list, so one
    /// that knows which VM ran a generation knows whom to ask.
    #[must_use]
    pub fn holders(&self, now: Instant, vm: &VmId, zone: &AvailabilityZone) -> Vec<PeerEntry> {
        let (inside, outside) = self.ranked(now, vm, zone);
        let (mut inside, mut outside) = (inside.into_iter(), outside.into_iter());
        let first = inside.next();
        let second = outside.next().or_else(|| inside.next());
        let first = first.or_else(|| outside.next());
        first.into_iter().chain(second).collect()
    }

    /// VMs that may keep a copy of what `vm` ran, the most likely first: views of who answers
    /// differ, so more are asked than hold one.
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

    /// Some VMs that answer, the own availability zone's first, for a caller who cannot say where it was.
    #[must_use]
    pub fn nearest(&self, now: Instant, most: usize) -> Vec<PeerEntry> {
        let (inside, outside) = self.ranked(now, &self.own, &self.own_zone);
        inside.into_iter().chain(outside).take(most).collect()
    }

    /// As [`Self::nearest`], followed by VMs that did not answer lately: one may only have been slow, and serves
    /// callers all the while.
    #[must_use]
    pub fn nearest_of_all(&self, now: Instant, most: usize) -> Vec<PeerEntry> {
        let mut nearest = self.nearest(now, most);
        let silent = self.peers.iter().filter(|peer| !peer.answers(now));
        nearest.extend(silent.map(|peer| peer.entry.clone()));
        nearest.truncate(most);
        nearest
    }

    /// Whether a VM may serve callers, as far as is known: it was not found silent, or answered lately.
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
    /// Whether it has answered lately, or was not asked.
    fn answers(&self, now: Instant) -> bool {
        self.failed.is_none_or(|at| now.since(at) > FAILED_FOR)
    }
}
