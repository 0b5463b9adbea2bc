//! The other VMs, and what they say of their own dispatches.
//!
//! Load pattern: a zone's upstreams crash together, and within milliseconds several VMs send the long
//! prompts that were lost to the upstreams that look idle to each of them: the same ones. Four prompts
//! of 8,000 tokens then wait for each other on one upstream, the last for 5 s and more, while others
//! are idle. Upstreams' own reports are a few hundred milliseconds late. So a VM tells others at once
//! where its prompts go.
//!
//! A note holds all of the sender's load, so a lost one is made good by the next, and notes that
//! overtake each other are told apart by their number.
//!
//! A few VMs tell each other all. Where there are more, each upstream is shared by a few VMs of its zone
//! ([`SHARERS_PER_UPSTREAM`]), and whoever has calls there tells them; and who lives is passed on, a few members in
//! each note to a few others. So what a VM sends does not grow with their number, and those who use an
//! upstream most know its load.

use super::*;

/// How long a VM counts as live after its last note, where all tell each other: several heartbeats, so
/// that lost datagrams do not make it dead.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(1500);

/// The same, where it is passed on who lives. With four notes a period to a zone of 30 VMs, each naming
/// eight, news of a VM reaches the last one after about six periods.
const PASSED_ON_LIVES: Duration = Duration::from_secs(6);

/// How often a VM tells its load when nothing changes.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);

/// Other VMs up to which all tell each other.
const MOST_TOLD: usize = 24;

/// VMs of the own zone that are told in a period besides, where there are more.
const TOLD_IN_ZONE: usize = 4;

/// VMs of other zones that are told in a period, where there are more.
const TOLD_ELSEWHERE: usize = 1;

/// VMs of a zone that share an upstream: each has it in its part, or next to it.
pub const SHARERS_PER_UPSTREAM: usize = 4;

/// Members of the own zone, and of others, that a note names.
const NAMED: (usize, usize) = (8, 2);

/// How long a VM is remembered.
const MEMORY: Duration = Duration::from_secs(60);

/// The other VMs and their latest notes.
#[derive(Clone, Debug, Default)]
pub struct PeerLoads {
    /// This VM, of which others speak as well.
    own: Arc<str>,
    /// Sorted by VM.
    peers: Vec<Peer>,
}

#[derive(Clone, Debug)]
struct Peer {
    vm: Arc<str>,
    zone: AvailabilityZone,
    address: SocketAddr,
    /// When it was heard, by itself or by the word of others.
    heard: Instant,
    /// Its own latest word.
    note: Option<Heard>,
}

#[derive(Clone, Debug)]
struct Heard {
    note: PeerHeartbeat,
    at: Instant,
}

impl PeerLoads {
    /// A VM that knows no other one yet.
    #[must_use]
    pub fn new(own: Arc<str>) -> Self {
        Self {
            own,
            peers: Vec::new(),
        }
    }

    /// Takes in a note; tells whether it was news.
    pub fn take(&mut self, note: PeerHeartbeat, address: SocketAddr, now: Instant) -> bool {
        self.peers.retain(|peer| now.since(peer.heard) < MEMORY);
        self.take_members(&note.members, &note.zone, now);
        let peer = |note: PeerHeartbeat| Peer {
            vm: note.vm.clone(),
            zone: note.zone.clone(),
            address,
            heard: now,
            note: Some(Heard { note, at: now }),
        };
        match self.position(&note.vm) {
            Ok(index) => {
                let known = self.peers[index].note.as_ref().map(|heard| &heard.note);
                let old = known
                    .is_some_and(|k| k.incarnation == note.incarnation && note.number <= k.number);
                if !old {
                    self.peers[index] = peer(note);
                }
                !old
            }
            Err(index) => {
                self.peers.insert(index, peer(note));
                true
            }
        }
    }

    /// Takes in words on VMs; those without a zone are of `zone`.
    pub fn take_members(
        &mut self,
        members: &[MemberStatus],
        zone: &AvailabilityZone,
        now: Instant,
    ) {
        for member in members {
            if member.vm == self.own {
                continue;
            }
            self.heard_of(member, member.zone.as_ref().unwrap_or(zone), now);
        }
    }

    /// What the other VMs say of upstreams now.
    #[must_use]
    pub fn view(&self, now: Instant) -> PeerView<'_> {
        let notes = self
            .notes(now)
            .map(|heard| (&heard.note, now.since(heard.at)));
        let has_peers = self.live(now).next().is_some();
        PeerView::new(notes, has_peers, self.tells_all(now))
    }

    /// Number of VMs besides this one that were heard of within `memory`.
    #[must_use]
    pub fn count_within(&self, memory: Duration, now: Instant) -> usize {
        let recent = self
            .peers
            .iter()
            .filter(|peer| now.since(peer.heard) < memory);
        recent.count()
    }

    /// Names of the live VMs of a zone.
    pub fn live_in(&self, zone: &AvailabilityZone, now: Instant) -> impl Iterator<Item = Arc<str>> {
        self.live(now)
            .filter(move |peer| peer.zone == *zone)
            .map(|peer| peer.vm.clone())
    }

    /// Names of the live VMs besides this one.
    #[must_use]
    pub fn live_names(&self, now: Instant) -> Vec<Arc<str>> {
        self.live(now).map(|peer| peer.vm.clone()).collect()
    }

    /// Addresses of the live VMs besides this one.
    #[must_use]
    pub fn live_addresses(&self, now: Instant) -> Vec<SocketAddr> {
        self.live(now).map(|peer| peer.address).collect()
    }

    /// Number of live VMs besides this one.
    #[must_use]
    pub fn live_count(&self, now: Instant) -> usize {
        self.live(now).count()
    }

    /// Addresses of a few live VMs, others each time.
    #[must_use]
    pub fn some_addresses(&self, most: usize, random: u64, now: Instant) -> Vec<SocketAddr> {
        some(self.live(now), most, random)
            .map(|peer| peer.address)
            .collect()
    }

    /// Addresses of a few VMs to tell in each period, whatever they use; all where there are few.
    #[must_use]
    pub fn told(&self, zone: &AvailabilityZone, random: u64, now: Instant) -> Vec<SocketAddr> {
        if self.tells_all(now) {
            return self.live(now).map(|peer| peer.address).collect();
        }
        let own = self.live(now).filter(|peer| peer.zone == *zone);
        let other = self.live(now).filter(|peer| peer.zone != *zone);
        some(own, TOLD_IN_ZONE, random)
            .chain(some(other, TOLD_ELSEWHERE, random))
            .map(|peer| peer.address)
            .collect()
    }

    /// Addresses to tell of the calls on an upstream: those who share it in its own zone, and those of
    /// this VM's `zone` who would send there first if their own were lost.
    #[must_use]
    pub fn told_of(
        &self,
        upstream: &UpstreamEntry,
        zone: &AvailabilityZone,
        now: Instant,
    ) -> Vec<SocketAddr> {
        if self.tells_all(now) {
            return self.live(now).map(|peer| peer.address).collect();
        }
        let mut told = self.sharers(upstream, &upstream.zone, now);
        if upstream.zone != *zone {
            told.extend(self.sharers(upstream, zone, now));
        }
        told
    }

    fn sharers(
        &self,
        upstream: &UpstreamEntry,
        zone: &AvailabilityZone,
        now: Instant,
    ) -> Vec<SocketAddr> {
        let peers = self.live(now).filter(|peer| peer.zone == *zone).collect();
        rendezvous_rank(upstream.id.as_str(), peers, |peer| peer.vm.clone())
            .into_iter()
            .take(SHARERS_PER_UPSTREAM)
            .map(|peer| peer.address)
            .collect()
    }

    /// Addresses of the live VMs of a zone.
    #[must_use]
    pub fn addresses_in(&self, zone: &AvailabilityZone, now: Instant) -> Vec<SocketAddr> {
        self.live(now)
            .filter(|peer| peer.zone == *zone)
            .map(|peer| peer.address)
            .collect()
    }

    /// Words on a few live VMs, for a note of a VM in `zone`.
    #[must_use]
    pub fn members(&self, zone: &AvailabilityZone, random: u64, now: Instant) -> Vec<MemberStatus> {
        let word = |peer: &Peer| MemberStatus {
            vm: peer.vm.clone(),
            zone: (peer.zone != *zone).then(|| peer.zone.clone()),
            address: peer.address,
            age_ms: u32::try_from(now.since(peer.heard).as_millis()).unwrap_or(u32::MAX),
        };
        let own = self.live(now).filter(|peer| peer.zone == *zone);
        let other = self.live(now).filter(|peer| peer.zone != *zone);
        some(own, NAMED.0, random)
            .chain(some(other, NAMED.1, random))
            .map(word)
            .collect()
    }

    /// Whether a VM of `zone` knows so few others there that it should ask for members.
    #[must_use]
    pub fn wants_members(&self, zone: &AvailabilityZone, now: Instant) -> bool {
        self.live_in(zone, now).count() < TOLD_IN_ZONE
    }

    /// Members to tell a VM that wants some; none where all tell each other anyway.
    #[must_use]
    pub fn wanted_members(
        &self,
        note: &PeerHeartbeat,
        random: u64,
        now: Instant,
    ) -> Vec<MemberStatus> {
        if !note.wants_members || self.tells_all(now) {
            return Vec::new();
        }
        let mut members = self.members(&note.zone, random, now);
        members.retain(|member| member.vm != note.vm);
        members
    }

    /// Forgets what others said of their loads; it is older than it seems.
    pub fn forget_loads(&mut self) {
        for peer in &mut self.peers {
            peer.note = None;
        }
    }

    /// Whether any other VM gets no answer from an upstream.
    #[must_use]
    pub fn is_suspect(&self, upstream: &UpstreamIncarnation, now: Instant) -> bool {
        self.notes(now)
            .any(|heard| heard.note.suspects.contains(upstream))
    }

    /// Takes in the word on a VM. It counts only if it is later than what is known.
    fn heard_of(&mut self, member: &MemberStatus, zone: &AvailabilityZone, now: Instant) {
        let age = Duration::from_millis(member.age_ms.into());
        let heard = Instant(now.0.saturating_sub(age));
        if age >= MEMORY {
            return;
        }
        match self.position(&member.vm) {
            Ok(index) if self.peers[index].heard < heard => {
                let peer = &mut self.peers[index];
                peer.heard = heard;
                peer.address = member.address;
                peer.zone = zone.clone();
            }
            Ok(_) => {}
            Err(index) => {
                let peer = Peer {
                    vm: member.vm.clone(),
                    zone: zone.clone(),
                    address: member.address,
                    heard,
                    note: None,
                };
                self.peers.insert(index, peer);
            }
        }
    }

    /// Whether there are so few VMs that all tell each other.
    fn tells_all(&self, now: Instant) -> bool {
        self.count_within(PASSED_ON_LIVES, now) <= MOST_TOLD
    }

    /// Notes that are new enough for what they say of loads.
    fn notes(&self, now: Instant) -> impl Iterator<Item = &Heard> {
        self.peers
            .iter()
            .filter_map(|peer| peer.note.as_ref())
            .filter(move |heard| now.since(heard.at) < PEER_TIMEOUT)
    }

    fn live(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        let lives = if self.tells_all(now) {
            PEER_TIMEOUT
        } else {
            PASSED_ON_LIVES
        };
        self.peers
            .iter()
            .filter(move |peer| now.since(peer.heard) < lives)
    }

    fn position(&self, vm: &str) -> Result<usize, usize> {
        self.peers.binary_search_by(|peer| peer.vm.as_ref().cmp(vm))
    }
}

/// At most so many, spread over all of them, others each time: neighbours in the order of names are mostly of
/// one zone.
fn some<'a>(
    peers: impl Iterator<Item = &'a Peer>,
    most: usize,
    random: u64,
) -> impl Iterator<Item = &'a Peer> {
    let mut peers = peers.collect::<Vec<_>>();
    if !peers.is_empty() {
        let start = random % u64::try_from(peers.len()).unwrap_or(1);
        peers.rotate_left(usize::try_from(start).unwrap_or(0));
    }
    let (len, taken) = (peers.len(), most.min(peers.len()));
    (0..taken).map(move |n| peers[n * len / taken])
}
