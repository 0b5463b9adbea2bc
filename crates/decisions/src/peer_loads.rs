//! Membership of the other VMs, and the loads that they advertise in heartbeats.
//!
//! Load pattern: a zone's upstreams crash together, and within milliseconds several VMs send the long
//! prompts that were lost to the upstreams that look idle to each of them: the same ones. Four prompts
//! of 8,000 tokens then queue on one upstream, the last for 5 s and more, while others are idle. The
//! upstreams' own reports are a few hundred milliseconds late. So a VM notifies others at once where it
//! sends its prompts.
//!
//! A heartbeat holds the complete load of its sender, so the next one makes up for a lost one. Sequence
//! numbers detect heartbeats that arrive out of order.
//!
//! In a small system each VM sends its heartbeats to all others. In a larger one each upstream is shared by
//! a few VMs of its zone, and every VM with calls on the upstream sends its heartbeats to these. Membership
//! spreads by gossip: each heartbeat lists a few members and goes to a few other VMs. So the traffic
//! of a VM does not grow with the number of VMs, and the VMs that use an upstream most know its load.

use super::*;

/// How long a VM is considered alive after its last heartbeat, if each VM sends to all others. This is
/// several heartbeat intervals, so that lost datagrams do not make a VM look dead.
pub const PEER_LIVES: Duration = Duration::from_millis(1500);

/// How long a VM is considered alive after it was last seen, if membership spreads by gossip. With four
/// heartbeats per interval in a zone of 30 VMs, each listing eight members, an update on a VM reaches the
/// last one after about six intervals.
const PASSED_ON_LIVES: Duration = Duration::from_secs(6);

/// Interval of heartbeats while the load does not change.
pub const NOTE_PERIOD: Duration = Duration::from_millis(400);

/// Maximum number of other VMs at which each VM sends its heartbeats to all others.
const MOST_TOLD: usize = 24;

/// Number of VMs of the own zone that receive a heartbeat per interval whatever upstreams they share, in a
/// larger system.
const TOLD_IN_ZONE: usize = 4;

/// Number of VMs of other zones that receive a heartbeat per interval, in a larger system.
const TOLD_ELSEWHERE: usize = 1;

/// Number of VMs of a zone that share an upstream: those with the highest ranks for it.
pub const SHARERS: usize = 4;

/// Number of members of the own zone, and of other zones, that a heartbeat lists.
const NAMED: (usize, usize) = (8, 2);

/// How long a VM is retained after it was last seen.
const MEMORY: Duration = Duration::from_secs(60);

/// The other VMs and the latest heartbeat of each.
#[derive(Clone, Debug, Default)]
pub struct PeerLoads {
    /// Name of this VM. Others list it as a member, and it must not become its own peer.
    own: Arc<str>,
    /// Sorted by VM.
    peers: Vec<Peer>,
}

#[derive(Clone, Debug)]
struct Peer {
    vm: Arc<str>,
    zone: AvailabilityZone,
    address: SocketAddr,
    /// When the VM was last seen, by its own heartbeat or as advertised by others.
    heard: Instant,
    /// Its latest heartbeat; `None` if others have advertised it only.
    note: Option<Heard>,
}

#[derive(Clone, Debug)]
struct Heard {
    note: PeerNote,
    at: Instant,
}

impl PeerLoads {
    /// Creates an empty state for the VM `own`.
    #[must_use]
    pub fn new(own: Arc<str>) -> Self {
        Self {
            own,
            peers: Vec::new(),
        }
    }

    /// Applies a heartbeat. Returns false for a duplicate or an older one; its members are applied all the
    /// same.
    pub fn take(&mut self, note: PeerNote, address: SocketAddr, now: Instant) -> bool {
        self.peers.retain(|peer| now.since(peer.heard) < MEMORY);
        self.take_members(&note.members, &note.zone, now);
        let peer = |note: PeerNote| Peer {
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

    /// Applies what a peer advertises of other VMs; those without a zone are in `zone`.
    pub fn take_members(&mut self, members: &[MemberWord], zone: &AvailabilityZone, now: Instant) {
        for member in members {
            if member.vm == self.own {
                continue;
            }
            self.heard_of(member, member.zone.as_ref().unwrap_or(zone), now);
        }
    }

    /// What the other VMs advertise of upstreams at `now`.
    #[must_use]
    pub fn view(&self, now: Instant) -> PeerView<'_> {
        let notes = self
            .notes(now)
            .map(|heard| (&heard.note, now.since(heard.at)));
        let has_peers = self.live(now).next().is_some();
        PeerView::new(notes, has_peers, self.tells_all(now))
    }

    /// Number of other VMs that were seen within `memory`.
    #[must_use]
    pub fn count_within(&self, memory: Duration, now: Instant) -> usize {
        let recent = self
            .peers
            .iter()
            .filter(|peer| now.since(peer.heard) < memory);
        recent.count()
    }

    /// Names of the other live VMs of a zone.
    pub fn live_in(&self, zone: &AvailabilityZone, now: Instant) -> impl Iterator<Item = Arc<str>> {
        self.live(now)
            .filter(move |peer| peer.zone == *zone)
            .map(|peer| peer.vm.clone())
    }

    /// Names of all other live VMs.
    #[must_use]
    pub fn live_names(&self, now: Instant) -> Vec<Arc<str>> {
        self.live(now).map(|peer| peer.vm.clone()).collect()
    }

    /// Addresses of all other live VMs.
    #[must_use]
    pub fn live_addresses(&self, now: Instant) -> Vec<SocketAddr> {
        self.live(now).map(|peer| peer.address).collect()
    }

    /// Number of other live VMs.
    #[must_use]
    pub fn live_count(&self, now: Instant) -> usize {
        self.live(now).count()
    }

    /// Addresses of up to `most` live VMs; `random` selects them.
    #[must_use]
    pub fn some_addresses(&self, most: usize, random: u64, now: Instant) -> Vec<SocketAddr> {
        some(self.live(now), most, random)
            .map(|peer| peer.address)
            .collect()
    }

    /// Addresses that receive the heartbeat in each interval: all other VMs in a small system, and a few
    /// selected by `random` in a larger one.
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

    /// Addresses to notify of calls on an upstream: the VMs that share it in its own zone, and the VMs of
    /// this VM's `zone` that would fail over to it first if they lost the upstreams of their own zone.
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
            .take(SHARERS)
            .map(|peer| peer.address)
            .collect()
    }

    /// Addresses of the other live VMs of a zone.
    #[must_use]
    pub fn addresses_in(&self, zone: &AvailabilityZone, now: Instant) -> Vec<SocketAddr> {
        self.live(now)
            .filter(|peer| peer.zone == *zone)
            .map(|peer| peer.address)
            .collect()
    }

    /// A few live VMs to list in a heartbeat that a VM in `zone` sends.
    #[must_use]
    pub fn members(&self, zone: &AvailabilityZone, random: u64, now: Instant) -> Vec<MemberWord> {
        let word = |peer: &Peer| MemberWord {
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

    /// Whether this VM knows so few others in its `zone` that it should request members.
    #[must_use]
    pub fn wants_members(&self, zone: &AvailabilityZone, now: Instant) -> bool {
        self.live_in(zone, now).count() < TOLD_IN_ZONE
    }

    /// Members to send to the VM that requested some in its heartbeat; none if each VM sends its heartbeats
    /// to all others anyway.
    #[must_use]
    pub fn wanted_members(&self, note: &PeerNote, random: u64, now: Instant) -> Vec<MemberWord> {
        if !note.wants_members || self.tells_all(now) {
            return Vec::new();
        }
        let mut members = self.members(&note.zone, random, now);
        members.retain(|member| member.vm != note.vm);
        members
    }

    /// Discards the heartbeats of all peers. Called when this VM resumes after a suspension, since their
    /// content is then older than their time of arrival suggests.
    pub fn forget_loads(&mut self) {
        for peer in &mut self.peers {
            peer.note = None;
        }
    }

    /// Whether an upstream does not respond to some other VM.
    #[must_use]
    pub fn is_suspect(&self, upstream: &UpstreamIncarnation, now: Instant) -> bool {
        self.notes(now)
            .any(|heard| heard.note.suspects.contains(upstream))
    }

    /// Applies what a peer advertises of one VM, if it was seen more recently than recorded here.
    fn heard_of(&mut self, member: &MemberWord, zone: &AvailabilityZone, now: Instant) {
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

    /// Whether there are so few VMs that each sends its heartbeats to all others.
    fn tells_all(&self, now: Instant) -> bool {
        self.count_within(PASSED_ON_LIVES, now) <= MOST_TOLD
    }

    /// Heartbeats that are recent enough for their loads and suspects to be used.
    fn notes(&self, now: Instant) -> impl Iterator<Item = &Heard> {
        self.peers
            .iter()
            .filter_map(|peer| peer.note.as_ref())
            .filter(move |heard| now.since(heard.at) < PEER_LIVES)
    }

    fn live(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        let lives = if self.tells_all(now) {
            PEER_LIVES
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

/// Selects up to `most` peers, evenly spaced over all of them, with a random offset. Adjacent peers in the
/// order of names are mostly of one zone, so a contiguous range would not cover the zones.
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
