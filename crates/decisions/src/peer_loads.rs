//! Membership of the other VMs, and the loads that they advertise in heartbeats.
//!
//! Load pattern: a zone's upstreams crash together, and within milliseconds several VMs resend the
//! lost long prompts to the upstreams that appear idle to each of them: the same ones. Four prompts
//! of 8,000 tokens then queue on one upstream, the last for 5 s and more, while others are idle. The
//! upstreams' own reports are a few hundred milliseconds late. So a VM notifies others at once where it
//! sends its prompts.
//!
//! A heartbeat holds the complete load of its sender, so the next one makes up for a lost one. Sequence
//! numbers detect heartbeats that arrive out of order. A heartbeat that does not fit into a datagram is partial
//! ([`pack`](crate::pack)): what it does not list keeps its value and age, and is dropped after [`PEER_TIMEOUT`].
//!
//! In a small system each VM sends its heartbeats to all others. In a larger one each upstream is shared by
//! a few VMs of its zone ([`SHARERS_PER_UPSTREAM`]), and every VM with calls on the upstream sends its
//! heartbeats to these. Membership spreads by gossip: each heartbeat lists a few members and goes to a few
//! other VMs. So the traffic of a VM does not grow with the number of VMs, and the VMs that use an upstream
//! most know its load.
//!
//! In a zone of more than [`MAX_GOSSIPED_ZONE`] VMs, the status of a VM takes too long to reach all others that
//! way: each VM receives the status of a fixed number of others in an interval. There, all VMs send their
//! heartbeats to those that read for the zone, and these relay the status of all members in turn with what
//! they advertise.

use super::*;

/// How long a VM is considered alive after its last heartbeat, if each VM sends to all others. This is
/// several heartbeat intervals, so that a VM is not considered lost because of lost datagrams.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(1500);

/// How long a VM is considered alive after it was last seen, if membership spreads by gossip. In a zone of
/// 30 VMs, if each VM sends four heartbeats per interval and each heartbeat lists eight members, news of a
/// VM reaches all others after about six intervals.
const GOSSIPED_PEER_TIMEOUT: Duration = Duration::from_secs(6);

/// Interval of heartbeats while the load does not change.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);

/// Maximum number of other VMs at which each VM sends its heartbeats to all others.
const MAX_FULL_MESH_PEERS: usize = 24;

/// Number of VMs of the own zone that receive a heartbeat per interval whatever upstreams they share, in a
/// larger system.
const OWN_ZONE_FANOUT: usize = 4;

/// Number of VMs of other zones that receive a heartbeat per interval, in a larger system.
const OTHER_ZONES_FANOUT: usize = 1;

/// Number of VMs of a zone that share an upstream: those with the highest rendezvous scores for it. The first
/// of them has the upstream in its partition.
pub const SHARERS_PER_UPSTREAM: usize = 4;

/// Number of members of the own zone, and of other zones, that a heartbeat lists.
const MEMBERS_PER_HEARTBEAT: (usize, usize) = (8, 2);

/// Maximum number of VMs of a zone at which the status of a VM reaches all others by heartbeats alone within
/// [`GOSSIPED_PEER_TIMEOUT`]: some `ln(n) / ln(1 + 32 / n)` intervals.
const MAX_GOSSIPED_ZONE: usize = 64;

/// Number of intervals in which a VM that reads for its zone relays the status of all members: with the
/// two intervals that a heartbeat may be old, below [`GOSSIPED_PEER_TIMEOUT`].
const RELAY_INTERVALS: u64 = 10;

/// Maximum number of members relayed in one datagram: some 60 bytes each of 1,400.
const MAX_RELAYED_MEMBERS: usize = 18;

/// Number of VMs that collect the crashes under a part of prompts, in a larger system.
const CRASH_COLLECTORS: usize = 3;

/// How long a demand stays known that partial heartbeats do not list. A demand that a VM advertises no more
/// concerns a service without limits, so a late end changes nothing.
const DEMAND_TIMEOUT: Duration = Duration::from_secs(6);

/// How long a VM is retained after it was last seen.
const PEER_RETENTION: Duration = Duration::from_secs(60);

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
    link: Option<LinkRate>,
    /// When the VM was last seen, by its own heartbeat or as advertised by others.
    last_seen: Instant,
    /// Its latest heartbeat; `None` if others have advertised it only.
    heartbeat: Option<Received>,
}

impl Peer {
    /// Status of the VM for a message from a VM in `zone`.
    fn status(&self, zone: &AvailabilityZone, now: Instant) -> MemberStatus {
        MemberStatus {
            vm: self.vm.clone(),
            zone: (self.zone != *zone).then(|| self.zone.clone()),
            address: self.address,
            age_ms: u32::try_from(now.since(self.last_seen).as_millis()).unwrap_or(u32::MAX),
            link: self.link,
        }
    }
}

/// The state that a VM advertises, merged from its latest heartbeats.
#[derive(Clone, Debug)]
struct Received {
    heartbeat: PeerHeartbeat,
    at: Instant,
    /// When the items of the heartbeat's lists were received, in the same order; empty if all were received with the
    /// latest heartbeat.
    times: ItemTimes,
}

/// Times at which the items of each list were received.
#[derive(Clone, Debug, Default)]
struct ItemTimes {
    loads: Vec<Instant>,
    suspects: Vec<Instant>,
    demands: Vec<Instant>,
    doubtful: Vec<Instant>,
}

impl Received {
    fn complete(heartbeat: PeerHeartbeat, at: Instant) -> Self {
        Self {
            heartbeat,
            at,
            times: ItemTimes::default(),
        }
    }

    /// Adds what this state has and a partial heartbeat does not list, with its age.
    fn merge_into(self, partial: &mut Self) {
        let (at, now) = (self.at, partial.at);
        let (old, new) = (self.heartbeat, &mut partial.heartbeat);
        let (old_times, times) = (self.times, &mut partial.times);
        let kept = keep(&new.loads, old.loads, &old_times.loads, |load| {
            &load.upstream
        });
        add(
            &mut new.loads,
            &mut times.loads,
            kept,
            at,
            now,
            PEER_TIMEOUT,
        );
        let kept = keep(&new.suspects, old.suspects, &old_times.suspects, |id| id);
        add(
            &mut new.suspects,
            &mut times.suspects,
            kept,
            at,
            now,
            PEER_TIMEOUT,
        );
        let kept = keep(&new.doubtful, old.doubtful, &old_times.doubtful, |id| id);
        add(
            &mut new.doubtful,
            &mut times.doubtful,
            kept,
            at,
            now,
            PEER_TIMEOUT,
        );
        let kept = keep(&new.demands, old.demands, &old_times.demands, |demand| {
            &demand.service
        });
        add(
            &mut new.demands,
            &mut times.demands,
            kept,
            at,
            now,
            DEMAND_TIMEOUT,
        );
    }

    /// Loads that are recent enough to be used, with their ages.
    fn loads(&self, now: Instant) -> impl Iterator<Item = (&PeerLoad, Duration)> {
        let ages = ages(&self.times.loads, self.at, now);
        let loads = self.heartbeat.loads.iter().zip(ages);
        loads.filter(|(_, age)| *age < PEER_TIMEOUT)
    }

    /// Suspects that are recent enough to be used.
    fn suspects(&self, now: Instant) -> impl Iterator<Item = &UpstreamIncarnation> {
        let ages = ages(&self.times.suspects, self.at, now);
        let suspects = self.heartbeat.suspects.iter().zip(ages);
        suspects
            .filter(|(_, age)| *age < PEER_TIMEOUT)
            .map(|(upstream, _)| upstream)
    }

    /// Whether the VM's path to a service is in doubt.
    fn is_doubtful(&self, service: &ServiceId, now: Instant) -> bool {
        let ages = ages(&self.times.doubtful, self.at, now);
        let mut doubtful = self.heartbeat.doubtful.iter().zip(ages);
        doubtful.any(|(id, age)| id == service && age < PEER_TIMEOUT)
    }
}

/// Ages of the items of a list of which `times` are known, and which were received at `at` otherwise.
fn ages(times: &[Instant], at: Instant, now: Instant) -> impl Iterator<Item = Duration> {
    let times = times.iter().copied().chain(std::iter::repeat(at));
    times.map(move |time| now.since(time))
}

/// The items of the old list that the new one does not contain, with their times if these are known.
fn keep<T, K: Ord>(
    new: &[T],
    old: Vec<T>,
    old_times: &[Instant],
    key: impl Fn(&T) -> &K,
) -> Vec<(T, Option<Instant>)> {
    let mut listed = new.iter().map(&key).collect::<Vec<_>>();
    listed.sort_unstable();
    let times = old_times.iter().copied().map(Some);
    let times = times.chain(std::iter::repeat(None));
    old.into_iter()
        .zip(times)
        .filter(|(item, _)| listed.binary_search(&key(item)).is_err())
        .collect()
}

/// Adds kept items that are younger than `timeout`. Those without a time of their own were received at `at`.
fn add<T>(
    items: &mut Vec<T>,
    times: &mut Vec<Instant>,
    kept: Vec<(T, Option<Instant>)>,
    at: Instant,
    now: Instant,
    timeout: Duration,
) {
    times.resize(items.len(), now);
    for (item, time) in kept {
        let time = time.unwrap_or(at);
        if now.since(time) < timeout {
            items.push(item);
            times.push(time);
        }
    }
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

    /// Applies a complete heartbeat, which replaces all that the VM advertised before. Returns false for a duplicate or
    /// an older one; its members are applied all the same.
    pub fn apply_heartbeat(
        &mut self,
        heartbeat: PeerHeartbeat,
        address: SocketAddr,
        now: Instant,
    ) -> bool {
        self.apply(Received::complete(heartbeat, now), address, false)
    }

    /// Applies a partial heartbeat. What it does not list keeps its value and age, unless the sender has
    /// restarted. Returns false for a duplicate or an older one.
    pub fn apply_partial_heartbeat(
        &mut self,
        heartbeat: PeerHeartbeat,
        address: SocketAddr,
        now: Instant,
    ) -> bool {
        self.apply(Received::complete(heartbeat, now), address, true)
    }

    fn apply(&mut self, mut received: Received, address: SocketAddr, is_partial: bool) -> bool {
        let now = received.at;
        self.peers
            .retain(|peer| now.since(peer.last_seen) < PEER_RETENTION);
        let heartbeat = &received.heartbeat;
        self.apply_members(&heartbeat.members, &heartbeat.zone, now);
        let position = self.position(&heartbeat.vm);
        if let Ok(index) = position
            && let Some(known) = &self.peers[index].heartbeat
            && known.heartbeat.incarnation == heartbeat.incarnation
        {
            if heartbeat.number <= known.heartbeat.number {
                return false;
            }
            if is_partial && let Some(known) = self.peers[index].heartbeat.take() {
                known.merge_into(&mut received);
            }
        }
        let peer = Peer {
            vm: received.heartbeat.vm.clone(),
            zone: received.heartbeat.zone.clone(),
            address,
            link: received.heartbeat.link,
            last_seen: now,
            heartbeat: Some(received),
        };
        match position {
            Ok(index) => self.peers[index] = peer,
            Err(index) => self.peers.insert(index, peer),
        }
        true
    }

    /// Applies what a peer advertises of other VMs; those without a zone are in `zone`.
    pub fn apply_members(
        &mut self,
        members: &[MemberStatus],
        zone: &AvailabilityZone,
        now: Instant,
    ) {
        for member in members {
            if member.vm == self.own {
                continue;
            }
            self.apply_member(member, member.zone.as_ref().unwrap_or(zone), now);
        }
    }

    /// What the other VMs advertise of upstreams at `now`.
    #[must_use]
    pub fn view(&self, now: Instant) -> PeerView<'_> {
        let recent = || self.recent_heartbeats(now);
        PeerView::new(
            recent().flat_map(|received| received.loads(now)),
            recent().flat_map(|received| received.suspects(now)),
            self.live(now).next().is_some(),
            self.is_full_mesh(now),
        )
    }

    /// Number of other VMs that were seen within `window`.
    #[must_use]
    pub fn count_within(&self, window: Duration, now: Instant) -> usize {
        let seen = self
            .peers
            .iter()
            .filter(|peer| now.since(peer.last_seen) < window);
        seen.count()
    }

    /// Names of the other live VMs of a zone.
    pub fn live_in(&self, zone: &AvailabilityZone, now: Instant) -> impl Iterator<Item = Arc<str>> {
        self.live(now)
            .filter(move |peer| peer.zone == *zone)
            .map(|peer| peer.vm.clone())
    }

    /// The other live VMs of a zone.
    pub fn zone_vms(&self, zone: &AvailabilityZone, now: Instant) -> impl Iterator<Item = ZoneVm> {
        self.live(now)
            .filter(move |peer| peer.zone == *zone)
            .map(|peer| ZoneVm {
                vm: peer.vm.clone(),
                link: peer.link,
            })
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

    /// Addresses of up to `limit` live VMs; `random` selects them.
    #[must_use]
    pub fn sample_addresses(&self, limit: usize, random: u64, now: Instant) -> Vec<SocketAddr> {
        sample(self.live(now), limit, random)
            .map(|peer| peer.address)
            .collect()
    }

    /// Addresses that receive the heartbeat in each interval: all other VMs in a small system, and a few
    /// selected by `random` in a larger one.
    #[must_use]
    pub fn heartbeat_receivers(
        &self,
        zone: &AvailabilityZone,
        random: u64,
        now: Instant,
    ) -> Vec<SocketAddr> {
        if self.is_full_mesh(now) {
            return self.live(now).map(|peer| peer.address).collect();
        }
        let own = self.live(now).filter(|peer| peer.zone == *zone);
        let other = self.live(now).filter(|peer| peer.zone != *zone);
        sample(own, OWN_ZONE_FANOUT, random)
            .chain(sample(other, OTHER_ZONES_FANOUT, random))
            .map(|peer| peer.address)
            .collect()
    }

    /// Addresses to notify of calls on an upstream: the VMs that share it in its own zone, and the VMs of
    /// this VM's `zone` that would fail over to it first if they lost the upstreams of their own zone.
    #[must_use]
    pub fn dispatch_receivers(
        &self,
        upstream: &UpstreamEntry,
        zone: &AvailabilityZone,
        now: Instant,
    ) -> Vec<SocketAddr> {
        if self.is_full_mesh(now) {
            return self.live(now).map(|peer| peer.address).collect();
        }
        let mut receivers = self.sharers(upstream, &upstream.zone, now);
        if upstream.zone != *zone {
            receivers.extend(self.sharers(upstream, zone, now));
        }
        receivers
    }

    /// Addresses of the VMs that collect the crashes under a part of prompts: all others in a small system, and a few
    /// in a larger one, on which the VMs agree as far as they know the same ones.
    #[must_use]
    pub fn crash_collectors(&self, part: &PartId, now: Instant) -> Vec<SocketAddr> {
        let peers = self.live(now).collect::<Vec<_>>();
        if self.is_full_mesh(now) {
            return peers.into_iter().map(|peer| peer.address).collect();
        }
        rendezvous_rank(&part.to_string(), peers, |peer| peer.vm.clone())
            .into_iter()
            .take(CRASH_COLLECTORS)
            .map(|peer| peer.address)
            .collect()
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

    /// Addresses of the other VMs of a zone that are not known to be gone for long. In a large zone the
    /// status of some live VMs is older than the time after which they count as lost.
    #[must_use]
    pub fn addresses_in(&self, zone: &AvailabilityZone, now: Instant) -> Vec<SocketAddr> {
        self.peers
            .iter()
            .filter(|peer| peer.zone == *zone && now.since(peer.last_seen) < PEER_RETENTION)
            .map(|peer| peer.address)
            .collect()
    }

    /// Address of another VM.
    #[must_use]
    pub fn address_of(&self, vm: &str) -> Option<SocketAddr> {
        Some(self.peers[self.position(vm).ok()?].address)
    }

    /// A few live VMs to list in a heartbeat that a VM in `zone` sends.
    #[must_use]
    pub fn members(&self, zone: &AvailabilityZone, random: u64, now: Instant) -> Vec<MemberStatus> {
        let own = self.live(now).filter(|peer| peer.zone == *zone);
        let other = self.live(now).filter(|peer| peer.zone != *zone);
        sample(own, MEMBERS_PER_HEARTBEAT.0, random)
            .chain(sample(other, MEMBERS_PER_HEARTBEAT.1, random))
            .map(|peer| peer.status(zone, now))
            .collect()
    }

    /// The live VMs of a large zone that a VM which reads for it relays in an interval, divided into datagrams;
    /// nothing in a smaller zone. All are relayed within [`RELAY_INTERVALS`] consecutive intervals.
    #[must_use]
    pub fn relayed_members(
        &self,
        zone: &AvailabilityZone,
        interval: u64,
        now: Instant,
    ) -> Vec<Vec<MemberStatus>> {
        let own = self.live(now).filter(|peer| peer.zone == *zone);
        let own = own.collect::<Vec<_>>();
        if own.len() < MAX_GOSSIPED_ZONE {
            return Vec::new();
        }
        let turn = usize::try_from(interval % RELAY_INTERVALS).unwrap_or(0);
        let step = usize::try_from(RELAY_INTERVALS).unwrap_or(1);
        let due = own.iter().skip(turn).step_by(step);
        let due = due.map(|peer| peer.status(zone, now)).collect::<Vec<_>>();
        due.chunks(MAX_RELAYED_MEMBERS).map(<[_]>::to_vec).collect()
    }

    /// Whether this VM knows so few others in its `zone` that it should request members.
    #[must_use]
    pub fn wants_members(&self, zone: &AvailabilityZone, now: Instant) -> bool {
        self.live_in(zone, now).count() < OWN_ZONE_FANOUT
    }

    /// Members to send to the VM that requested some in its heartbeat; none if each VM sends its heartbeats
    /// to all others anyway.
    #[must_use]
    pub fn requested_members(
        &self,
        heartbeat: &PeerHeartbeat,
        random: u64,
        now: Instant,
    ) -> Vec<MemberStatus> {
        if !heartbeat.wants_members || self.is_full_mesh(now) {
            return Vec::new();
        }
        let mut members = self.members(&heartbeat.zone, random, now);
        members.retain(|member| member.vm != heartbeat.vm);
        members
    }

    /// Discards the heartbeats of all peers. Called when this VM resumes after a suspension, since their
    /// content is then older than their time of arrival suggests.
    pub fn discard_heartbeats(&mut self) {
        for peer in &mut self.peers {
            peer.heartbeat = None;
        }
    }

    /// Whether an upstream does not respond to some other VM.
    #[must_use]
    pub fn is_suspect(&self, upstream: &UpstreamIncarnation, now: Instant) -> bool {
        self.recent_heartbeats(now)
            .any(|received| received.suspects(now).any(|suspect| suspect == upstream))
    }

    /// Addresses of other VMs whose path to a service is not in doubt, those of `zone` first; `random` spreads the
    /// choice.
    #[must_use]
    pub fn paths_to(
        &self,
        service: &ServiceId,
        zone: &AvailabilityZone,
        random: u64,
        now: Instant,
    ) -> Vec<SocketAddr> {
        let reaching = self.live(now).filter(|peer| {
            let recent = peer
                .heartbeat
                .as_ref()
                .filter(|received| now.since(received.at) < PEER_TIMEOUT);
            recent.is_some_and(|received| !received.is_doubtful(service, now))
        });
        let (mut own, mut other) = reaching.partition::<Vec<_>, _>(|peer| peer.zone == *zone);
        for peers in [&mut own, &mut other] {
            let start = random.checked_rem(u64::try_from(peers.len()).unwrap_or(0));
            peers.rotate_left(usize::try_from(start.unwrap_or(0)).unwrap_or(0));
        }
        own.into_iter()
            .chain(other)
            .map(|peer| peer.address)
            .collect()
    }

    /// Applies what a peer advertises of one VM, if it was seen more recently than recorded here.
    fn apply_member(&mut self, member: &MemberStatus, zone: &AvailabilityZone, now: Instant) {
        let age = Duration::from_millis(member.age_ms.into());
        let last_seen = Instant(now.0.saturating_sub(age));
        if age >= PEER_RETENTION {
            return;
        }
        match self.position(&member.vm) {
            Ok(index) if self.peers[index].last_seen < last_seen => {
                let peer = &mut self.peers[index];
                peer.last_seen = last_seen;
                peer.address = member.address;
                peer.zone = zone.clone();
                peer.link = member.link.or(peer.link);
            }
            Ok(_) => {}
            Err(index) => {
                let peer = Peer {
                    vm: member.vm.clone(),
                    zone: zone.clone(),
                    address: member.address,
                    link: member.link,
                    last_seen,
                    heartbeat: None,
                };
                self.peers.insert(index, peer);
            }
        }
    }

    /// Demand for a service at each other VM, if all of them advertise it to this VM. One whose
    /// last heartbeat is old counts with its last demand, and with the mean of the others at least: it may
    /// only be unreachable.
    #[must_use]
    pub fn demands(&self, service: &ServiceId, now: Instant) -> Option<Vec<VmDemand>> {
        if !self.is_full_mesh(now) {
            return None;
        }
        let advertised = self.peers.iter().map(|peer| {
            let received = peer.heartbeat.as_ref();
            let rate = received.map(|received| received.heartbeat.demand(service));
            let fresh = received.is_some_and(|received| now.since(received.at) < PEER_TIMEOUT);
            (peer, rate.unwrap_or(0.0), fresh)
        });
        let advertised = advertised
            .filter(|(peer, ..)| now.since(peer.last_seen) < PEER_RETENTION)
            .collect::<Vec<_>>();
        let fresh = advertised.iter().filter(|(.., fresh)| *fresh);
        let (sum, count) = fresh.fold((0.0, 0.0), |(sum, count), (_, rate, _)| {
            (sum + rate, count + 1.0)
        });
        let mean = sum / f64::max(count, 1.0);
        let demands = advertised.into_iter().map(|(peer, rate, fresh)| VmDemand {
            vm: peer.vm.clone(),
            rate: if fresh { rate } else { rate.max(mean) },
        });
        Some(demands.collect())
    }

    /// Number of availability zones with VMs, including this VM's.
    #[must_use]
    pub fn zone_count(&self, own: &AvailabilityZone) -> usize {
        let mut zones = self.peers.iter().map(|peer| &peer.zone).collect::<Vec<_>>();
        zones.push(own);
        zones.sort_unstable();
        zones.dedup();
        zones.len()
    }

    /// Whether there are so few VMs that each sends its heartbeats to all others.
    #[must_use]
    pub fn is_full_mesh(&self, now: Instant) -> bool {
        self.count_within(GOSSIPED_PEER_TIMEOUT, now) <= MAX_FULL_MESH_PEERS
    }

    /// Heartbeats that are recent enough for their loads and suspects to be used.
    fn recent_heartbeats(&self, now: Instant) -> impl Iterator<Item = &Received> {
        self.peers
            .iter()
            .filter_map(|peer| peer.heartbeat.as_ref())
            .filter(move |received| now.since(received.at) < PEER_TIMEOUT)
    }

    fn live(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        let timeout = if self.is_full_mesh(now) {
            PEER_TIMEOUT
        } else {
            GOSSIPED_PEER_TIMEOUT
        };
        self.peers
            .iter()
            .filter(move |peer| now.since(peer.last_seen) < timeout)
    }

    fn position(&self, vm: &str) -> Result<usize, usize> {
        self.peers.binary_search_by(|peer| peer.vm.as_ref().cmp(vm))
    }
}

/// Selects up to `limit` peers, evenly spaced over all of them, with a random offset. Adjacent peers in the
/// order of names are mostly of one zone, so a contiguous range would not cover the zones.
fn sample<'a>(
    peers: impl Iterator<Item = &'a Peer>,
    limit: usize,
    random: u64,
) -> impl Iterator<Item = &'a Peer> {
    let mut peers = peers.collect::<Vec<_>>();
    if !peers.is_empty() {
        let start = random % u64::try_from(peers.len()).unwrap_or(1);
        peers.rotate_left(usize::try_from(start).unwrap_or(0));
    }
    let (len, taken) = (peers.len(), limit.min(peers.len()));
    (0..taken).map(move |n| peers[n * len / taken])
}
