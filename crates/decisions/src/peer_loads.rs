//! What the other VMs say of their own dispatches.
//!
//! Load pattern: a zone's upstreams crash together, and within milliseconds several VMs send the long
//! prompts that were lost to the upstreams that look idle to each of them: the same ones. Four prompts
//! of 8,000 tokens then wait for each other on one upstream, the last for 5 s and more, while others
//! are idle. Upstreams' own reports are a few hundred milliseconds late. So each VM tells the others at
//! once where its prompts go.
//!
//! A note holds all of the sender's load, so a lost one is made good by the next, and notes that
//! overtake each other are told apart by their number.

use super::*;

/// How long a VM counts as live after its last note: several heartbeats, so that lost datagrams do
/// not make it dead.
pub const PEER_LIVES: Duration = Duration::from_millis(1500);

/// How often a VM tells its load when nothing changes.
pub const NOTE_PERIOD: Duration = Duration::from_millis(400);

/// VMs of the own zone that are told; more divide the upstreams among them as they are.
const MOST_IN_ZONE: usize = 16;

/// VMs of other zones that are told.
const MOST_ELSEWHERE: usize = 8;

/// Addresses kept that were named but not heard of.
const MOST_NAMED: usize = 64;

/// A VM's word on itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerNote {
    /// Its name.
    #[serde(rename = "v")]
    pub vm: Arc<str>,
    /// Its availability zone.
    #[serde(rename = "z")]
    pub zone: AvailabilityZone,
    /// Tells one life of its process from another.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Counts its notes.
    #[serde(rename = "n")]
    pub number: u64,
    /// Upstreams on which it has streams.
    #[serde(rename = "l")]
    pub loads: Vec<PeerLoad>,
    /// Upstreams that do not answer it.
    #[serde(rename = "s")]
    pub suspects: Vec<UpstreamId>,
    /// Calls under which upstreams died.
    #[serde(rename = "c")]
    pub crashes: Vec<Crash>,
    /// A few other VMs that it knows.
    #[serde(rename = "m")]
    pub members: Vec<SocketAddr>,
}

/// A VM's load on one upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerLoad {
    /// The upstream.
    #[serde(rename = "u")]
    pub upstream: UpstreamId,
    /// The VM's streams there, and copies of the memory of others.
    #[serde(rename = "c")]
    pub calls: u32,
    /// Milliseconds until the prompts that it has sent there will have been read.
    #[serde(rename = "r")]
    pub reading_ms: u32,
}

/// The latest notes of other VMs.
#[derive(Clone, Debug, Default)]
pub struct PeerLoads {
    /// Sorted by VM.
    peers: Vec<Peer>,
    /// Addresses that others have named and that were not heard of yet.
    named: Vec<SocketAddr>,
}

#[derive(Clone, Debug)]
struct Peer {
    note: PeerNote,
    address: SocketAddr,
    heard: Instant,
}

impl PeerLoads {
    /// Takes in a note; tells whether it was news.
    pub fn take(&mut self, note: PeerNote, address: SocketAddr, now: Instant) -> bool {
        self.named.retain(|named| *named != address);
        for member in &note.members {
            let known = self.peers.iter().any(|peer| peer.address == *member);
            if !known && !self.named.contains(member) && self.named.len() < MOST_NAMED {
                self.named.push(*member);
            }
        }
        let peer = |note| Peer {
            note,
            address,
            heard: now,
        };
        match self.peers.binary_search_by(|p| p.note.vm.cmp(&note.vm)) {
            Ok(index) => {
                let known = &self.peers[index].note;
                let old = known.incarnation == note.incarnation && note.number <= known.number;
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

    /// Streams of other VMs on an upstream.
    #[must_use]
    pub fn calls(&self, upstream: &UpstreamId, now: Instant) -> u32 {
        self.loads(upstream, now).map(|(load, _)| load.calls).sum()
    }

    /// Time until the prompts of other VMs on an upstream are read. Prompts are read one after the
    /// other, so the times add up.
    #[must_use]
    pub fn reading_left(&self, upstream: &UpstreamId, now: Instant) -> Duration {
        self.loads(upstream, now)
            .map(|(load, age)| {
                Duration::from_millis(u64::from(load.reading_ms)).saturating_sub(age)
            })
            .sum()
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

    /// Whether any other VM is heard of.
    #[must_use]
    pub fn any_live(&self, now: Instant) -> bool {
        self.live(now).next().is_some()
    }

    /// Names of the live VMs of a zone.
    pub fn live_in(&self, zone: &AvailabilityZone, now: Instant) -> impl Iterator<Item = Arc<str>> {
        self.live(now)
            .filter(move |peer| peer.note.zone == *zone)
            .map(|peer| peer.note.vm.clone())
    }

    /// Number of live VMs besides this one.
    #[must_use]
    pub fn live_count(&self, now: Instant) -> usize {
        self.live(now).count()
    }

    /// Addresses of a few live VMs, others each time.
    #[must_use]
    pub fn some_addresses(&self, most: usize, number: u64, now: Instant) -> Vec<SocketAddr> {
        let live = self.live(now).map(|peer| peer.address).collect::<Vec<_>>();
        if live.is_empty() {
            return live;
        }
        let start = usize::try_from(number).unwrap_or(0) % live.len();
        let (before, after) = live.split_at(start);
        after.iter().chain(before).take(most).copied().collect()
    }

    /// Addresses to tell. Those that were only named are told once: if they live they answer.
    #[must_use]
    pub fn told(&mut self, zone: &AvailabilityZone, now: Instant) -> Vec<SocketAddr> {
        let live = self
            .peers
            .iter()
            .filter(|peer| now.since(peer.heard) < PEER_LIVES);
        let (own, other): (Vec<_>, Vec<_>) = live.partition(|peer| peer.note.zone == *zone);
        let own = own.into_iter().take(MOST_IN_ZONE);
        let other = other.into_iter().take(MOST_ELSEWHERE);
        let mut told = own
            .chain(other)
            .map(|peer| peer.address)
            .collect::<Vec<_>>();
        told.append(&mut self.named);
        told
    }

    /// Whether any other VM gets no answer from an upstream.
    #[must_use]
    pub fn is_suspect(&self, upstream: &UpstreamId, now: Instant) -> bool {
        self.live(now)
            .any(|peer| peer.note.suspects.contains(upstream))
    }

    fn loads(
        &self,
        upstream: &UpstreamId,
        now: Instant,
    ) -> impl Iterator<Item = (&PeerLoad, Duration)> {
        self.live(now).flat_map(move |peer| {
            let age = now.since(peer.heard);
            peer.note
                .loads
                .iter()
                .filter(move |load| load.upstream == *upstream)
                .map(move |load| (load, age))
        })
    }

    fn live(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        self.peers
            .iter()
            .filter(move |peer| now.since(peer.heard) < PEER_LIVES)
    }
}
