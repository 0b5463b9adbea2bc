//! Selection of what goes into a heartbeat that does not fit into a datagram.
//!
//! Load pattern: after the crash of a zone, a VM has dozens of loads, suspects and crashes to advertise at once, and
//! dispatches every few milliseconds. Its heartbeat must still be sent, since other VMs would otherwise send their
//! prompts to the same upstreams and count the VM as lost.
//!
//! A heartbeat that fits is sent complete. Otherwise it is sent as one or two partial heartbeats, and the lists rotate:
//! what was sent longest ago goes first. Each kind of item has a share of the space, so that a long list does not keep
//! later ones out.

use super::*;
use std::{
    cmp::Reverse,
    collections::{HashMap, HashSet},
    hash::{DefaultHasher, Hash, Hasher},
};

/// Change of the remaining prefill time, beyond the time that has passed, from which on a load counts as changed.
/// A shorter one makes little difference beside the second that a prompt takes.
const MIN_PREFILL_CHANGE_MS: u32 = 100;

/// How long a crash that was left out is kept for the next heartbeats.
const CRASH_RETENTION: Duration = Duration::from_secs(5);

/// Maximum number of crashes that are kept for the next heartbeats.
const MAX_KEPT_CRASHES: usize = 64;

/// Bytes reserved for the name and the length of each list, and for a longer sequence number.
const RESERVED_BYTES: usize = 48;

/// Why a heartbeat is sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HeartbeatTrigger {
    /// The interval has passed.
    Interval,
    /// A dispatch or a crash. The heartbeat may go to other VMs than the periodic one.
    Event,
}

impl HeartbeatTrigger {
    /// Maximum number of datagrams of a heartbeat. One that is sent at an event reports mainly what has changed.
    const fn max_datagrams(self) -> usize {
        match self {
            Self::Interval => 2,
            Self::Event => 1,
        }
    }
}

/// Kind of an item of a heartbeat.
#[derive(Clone, Copy, Debug, Eq, Hash, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum HeartbeatItem {
    /// Load that has changed since it was last sent.
    ChangedLoad,
    /// Service to which the VM's path is in doubt.
    Doubtful,
    /// Demand for a service.
    Demand,
    /// Limit of an upstream.
    Limit,
    /// Upstream that does not respond.
    Suspect,
    /// Crash under a body.
    Crash,
    /// Load that has not changed since it was last sent.
    OtherLoad,
    /// Rollout.
    Rollout,
    /// Status of another VM.
    Member,
}

impl HeartbeatItem {
    /// All kinds in order of precedence.
    const ALL: [Self; 9] = [
        Self::ChangedLoad,
        Self::Doubtful,
        Self::Demand,
        Self::Limit,
        Self::Suspect,
        Self::Crash,
        Self::OtherLoad,
        Self::Rollout,
        Self::Member,
    ];

    /// Share of the space in percent that items of higher precedence leave to this kind. Both kinds of loads have one
    /// share together: other VMs drop a load that is not repeated within [`PEER_TIMEOUT`], and of 60 loads, 45 fit into
    /// this share of two datagrams.
    const fn share(self) -> usize {
        match self {
            Self::ChangedLoad | Self::OtherLoad => 68,
            Self::Crash => 12,
            Self::Suspect => 5,
            Self::Doubtful | Self::Demand | Self::Limit | Self::Rollout | Self::Member => 3,
        }
    }
}

/// What was sent lately, from which the order of the next heartbeat's items follows.
#[derive(Clone, Debug, Default)]
pub struct HeartbeatRotation {
    /// One for each trigger, since the recipients differ.
    rotations: [Rotation; 2],
    /// Crashes that were left out, with the time at which they were to be sent.
    crashes: Vec<(BodyCrash, Instant)>,
}

#[derive(Clone, Debug, Default)]
struct Rotation {
    /// Number of the last heartbeat.
    round: u64,
    /// Last sent loads, by upstream.
    loads: HashMap<UpstreamIncarnation, SentLoad>,
    /// Last heartbeat with each other item, by the kind and the hash of the item's id.
    rounds: HashMap<(HeartbeatItem, u64), u64>,
    /// Kinds of which the last heartbeat had items but no space for any, longest skipped first. One item of each goes
    /// first in the next heartbeat.
    skipped: Vec<HeartbeatItem>,
}

#[derive(Clone, Copy, Debug)]
struct SentLoad {
    round: u64,
    calls: u32,
    reading_ms: u32,
    at: Instant,
    /// When the load ended. The end is repeated until other VMs would drop the load anyway.
    ended_at: Option<Instant>,
}

impl SentLoad {
    /// Whether receivers would compute another load at `now` than the current one.
    fn differs(&self, load: &PeerLoad, now: Instant) -> bool {
        let elapsed = u32::try_from(now.since(self.at).as_millis()).unwrap_or(u32::MAX);
        let known = self.reading_ms.saturating_sub(elapsed);
        self.calls != load.calls || known.abs_diff(load.reading_ms) > MIN_PREFILL_CHANGE_MS
    }
}

/// A heartbeat as it is sent.
#[derive(Clone, Debug)]
pub struct PackedHeartbeat {
    /// The complete heartbeat, or the partial ones.
    pub heartbeats: Vec<PeerHeartbeat>,
    /// Encoded datagrams with these heartbeats.
    pub datagrams: Vec<Vec<u8>>,
    /// Whether the heartbeats are partial.
    pub is_partial: bool,
    /// Number of items of each kind that were left out.
    pub left_out: Vec<(HeartbeatItem, usize)>,
}

/// Divides a heartbeat into datagrams of at most `max_bytes`: the complete heartbeat if it fits, and otherwise partial
/// ones, whose sequence numbers follow that of the heartbeat. `max_bytes` must leave space for the sender's name
/// and zone and for one item.
#[must_use]
pub fn pack(
    mut heartbeat: PeerHeartbeat,
    rotation: &mut HeartbeatRotation,
    trigger: HeartbeatTrigger,
    max_bytes: usize,
    now: Instant,
) -> PackedHeartbeat {
    rotation.add_kept_crashes(&mut heartbeat, now);
    let index = usize::from(trigger == HeartbeatTrigger::Event);
    let sent = &mut rotation.rotations[index];
    sent.round += 1;
    sent.expire_ended_loads(&heartbeat.loads, now);
    let complete = PeerDatagram::Note(heartbeat);
    let bytes = encode(&complete);
    let PeerDatagram::Note(heartbeat) = complete else {
        unreachable!("the datagram was built as a heartbeat");
    };
    if bytes.len() <= max_bytes {
        for load in &heartbeat.loads {
            sent.record_load(load, now);
        }
        sent.record_ends(now);
        sent.skipped.clear();
        rotation.crashes.clear();
        return PackedHeartbeat {
            heartbeats: vec![heartbeat],
            datagrams: vec![bytes],
            is_partial: false,
            left_out: Vec::new(),
        };
    }
    let packed = Packing::new(heartbeat, sent, now).pack(sent, trigger, max_bytes, now);
    let (packed, crashes) = packed;
    rotation.crashes = crashes;
    packed
}

impl HeartbeatRotation {
    /// Adds crashes that were left out of earlier heartbeats.
    fn add_kept_crashes(&mut self, heartbeat: &mut PeerHeartbeat, now: Instant) {
        self.crashes
            .retain(|(_, at)| now.since(*at) < CRASH_RETENTION);
        // Those of the new heartbeat are the current ones: a crash may have been cleared meanwhile.
        let mut new = std::mem::take(&mut heartbeat.crashes);
        for (kept, _) in &self.crashes {
            let is_same =
                |crash: &BodyCrash| crash.digest == kept.digest && crash.upstream == kept.upstream;
            let current = new.iter().position(is_same).map(|index| new.remove(index));
            heartbeat
                .crashes
                .push(current.unwrap_or_else(|| kept.clone()));
        }
        heartbeat.crashes.append(&mut new);
    }
}

impl Rotation {
    /// Marks loads that are no longer listed as ended, and removes those that other VMs have dropped by now.
    fn expire_ended_loads(&mut self, current: &[PeerLoad], now: Instant) {
        let current = current.iter().map(|load| &load.upstream);
        let current = current.collect::<HashSet<_>>();
        self.loads.retain(|upstream, sent| {
            if current.contains(upstream) {
                sent.ended_at = None;
                return true;
            }
            let ended_at = *sent.ended_at.get_or_insert(now);
            now.since(ended_at) < PEER_TIMEOUT
        });
    }

    fn record_load(&mut self, load: &PeerLoad, now: Instant) {
        let ended_at = self.loads.get(&load.upstream).and_then(|l| l.ended_at);
        let sent = SentLoad {
            round: self.round,
            calls: load.calls,
            reading_ms: load.reading_ms,
            at: now,
            ended_at,
        };
        self.loads.insert(load.upstream.clone(), sent);
    }

    /// Records that a complete heartbeat has told the ends of loads.
    fn record_ends(&mut self, now: Instant) {
        let ended = self.loads.values_mut().filter(|l| l.ended_at.is_some());
        for sent in ended {
            (sent.round, sent.calls, sent.reading_ms, sent.at) = (self.round, 0, 0, now);
        }
    }

    fn round_of(&self, kind: HeartbeatItem, id: &impl Hash) -> u64 {
        let key = (kind, hash_of(id));
        self.rounds.get(&key).copied().unwrap_or(0)
    }
}

/// The items of a heartbeat in the order in which they are sent.
struct Packing {
    /// The heartbeat without its lists.
    fixed: PeerHeartbeat,
    /// The lists.
    lists: PeerHeartbeat,
    /// Number of items of `lists.loads` that have changed; they come first.
    changed_loads: usize,
}

/// Progress of the selection among the items of one kind.
#[derive(Clone, Debug)]
struct Selected {
    kind: HeartbeatItem,
    /// Index in its list of the first item.
    first: usize,
    /// Number of items.
    count: usize,
    /// The datagram of each selected item.
    datagrams: Vec<usize>,
    bytes: usize,
}

impl Packing {
    fn new(mut heartbeat: PeerHeartbeat, sent: &Rotation, now: Instant) -> Self {
        let fixed = PeerHeartbeat {
            loads: Vec::new(),
            suspects: Vec::new(),
            crashes: Vec::new(),
            members: Vec::new(),
            rollouts: Vec::new(),
            demands: Vec::new(),
            limits: Vec::new(),
            doubtful: Vec::new(),
            vm: heartbeat.vm.clone(),
            zone: heartbeat.zone.clone(),
            ..heartbeat
        };
        let ended = sent.loads.iter().filter(|(_, l)| l.ended_at.is_some());
        heartbeat.loads.extend(ended.map(|(upstream, _)| PeerLoad {
            upstream: upstream.clone(),
            calls: 0,
            reading_ms: 0,
            hundred_tokens: None,
        }));
        let is_changed = |load: &PeerLoad| {
            let known = sent.loads.get(&load.upstream);
            known.is_none_or(|known| known.differs(load, now))
        };
        let changed_loads = heartbeat.loads.iter().filter(|l| is_changed(l)).count();
        heartbeat.loads.sort_by_cached_key(|load| {
            let round = sent.loads.get(&load.upstream).map_or(0, |l| l.round);
            let size = Reverse((load.reading_ms, load.calls));
            // The id makes the order independent of that of the map.
            (!is_changed(load), round, size, load.upstream.clone())
        });
        let lists = &mut heartbeat;
        (lists.suspects).sort_by_cached_key(|id| sent.round_of(HeartbeatItem::Suspect, id));
        (lists.doubtful).sort_by_cached_key(|id| sent.round_of(HeartbeatItem::Doubtful, id));
        (lists.demands).sort_by_cached_key(|d| sent.round_of(HeartbeatItem::Demand, &d.service));
        (lists.limits).sort_by_cached_key(|l| sent.round_of(HeartbeatItem::Limit, &l.upstream));
        lists
            .rollouts
            .sort_by_cached_key(|r| sent.round_of(HeartbeatItem::Rollout, &r.order.service));
        Self {
            fixed,
            lists: heartbeat,
            changed_loads,
        }
    }

    /// Builds the partial heartbeats; also returns the crashes that are left out.
    fn pack(
        self,
        sent: &mut Rotation,
        trigger: HeartbeatTrigger,
        max_bytes: usize,
        now: Instant,
    ) -> (PackedHeartbeat, Vec<(BodyCrash, Instant)>) {
        let mut selected = HeartbeatItem::ALL.map(|kind| self.none_of(kind));
        let base = encoded_len(&self.fixed) + RESERVED_BYTES;
        let mut free = vec![max_bytes.saturating_sub(base); trigger.max_datagrams()];
        let space = free.iter().sum::<usize>();
        for skipped in &sent.skipped {
            let mut kinds = selected.iter_mut();
            if let Some(kind) = kinds.find(|kind| kind.kind == *skipped) {
                self.select(kind, &mut free, 1);
            }
        }
        let mut load_bytes = 0;
        for kind in &mut selected {
            let mut share = space * kind.kind.share() / 100;
            if kind.kind == HeartbeatItem::OtherLoad {
                share = share.saturating_sub(load_bytes);
            }
            self.select(kind, &mut free, share);
            if kind.kind == HeartbeatItem::ChangedLoad {
                load_bytes = kind.bytes;
            }
        }
        for kind in &mut selected {
            self.select(kind, &mut free, usize::MAX);
        }
        self.record(&selected, sent, now);
        let mut heartbeats = (0..free.len())
            .map(|datagram| self.heartbeat(&selected, datagram))
            .collect::<Vec<_>>();
        // The last of several is empty if a single one has space for all that were selected.
        if heartbeats.len() > 1 && selected.iter().all(|kind| !kind.datagrams.contains(&1)) {
            heartbeats.truncate(1);
        }
        let mut datagrams = Vec::new();
        for (heartbeat, number) in heartbeats.iter_mut().zip(self.fixed.number..) {
            heartbeat.number = number;
            let datagram = PeerDatagram::Partial(heartbeat.clone());
            datagrams.push(encode(&datagram));
        }
        let left_out = selected.iter().map(|kind| (kind.kind, kind.left()));
        let left_out = left_out.filter(|(_, left)| *left > 0).collect();
        let sent_crashes = selected
            .iter()
            .find(|kind| kind.kind == HeartbeatItem::Crash);
        let sent_crashes = sent_crashes.map_or(0, |kind| kind.datagrams.len());
        let crashes = self.lists.crashes.into_iter().skip(sent_crashes);
        let crashes = crashes.take(MAX_KEPT_CRASHES).map(|crash| (crash, now));
        let packed = PackedHeartbeat {
            heartbeats,
            datagrams,
            is_partial: true,
            left_out,
        };
        (packed, crashes.collect())
    }

    fn none_of(&self, kind: HeartbeatItem) -> Selected {
        let lists = &self.lists;
        let (first, count) = match kind {
            HeartbeatItem::ChangedLoad => (0, self.changed_loads),
            HeartbeatItem::Doubtful => (0, lists.doubtful.len()),
            HeartbeatItem::Demand => (0, lists.demands.len()),
            HeartbeatItem::Limit => (0, lists.limits.len()),
            HeartbeatItem::Suspect => (0, lists.suspects.len()),
            HeartbeatItem::Crash => (0, lists.crashes.len()),
            HeartbeatItem::OtherLoad => {
                (self.changed_loads, lists.loads.len() - self.changed_loads)
            }
            HeartbeatItem::Rollout => (0, lists.rollouts.len()),
            HeartbeatItem::Member => (0, lists.members.len()),
        };
        Selected {
            kind,
            first,
            count,
            datagrams: Vec::new(),
            bytes: 0,
        }
    }

    /// Selects items of a kind until they take `share` bytes or the next one does not fit.
    fn select(&self, selected: &mut Selected, free: &mut [usize], share: usize) {
        while selected.left() > 0 && selected.bytes < share {
            let index = selected.first + selected.datagrams.len();
            let size = self.size_of(selected.kind, index);
            let Some(datagram) = free.iter().position(|free| *free >= size) else {
                return;
            };
            free[datagram] -= size;
            selected.bytes += size;
            selected.datagrams.push(datagram);
        }
    }

    fn size_of(&self, kind: HeartbeatItem, index: usize) -> usize {
        let lists = &self.lists;
        match kind {
            HeartbeatItem::ChangedLoad | HeartbeatItem::OtherLoad => {
                encoded_len(&lists.loads[index])
            }
            HeartbeatItem::Doubtful => encoded_len(&lists.doubtful[index]),
            HeartbeatItem::Demand => encoded_len(&lists.demands[index]),
            HeartbeatItem::Limit => encoded_len(&lists.limits[index]),
            HeartbeatItem::Suspect => encoded_len(&lists.suspects[index]),
            HeartbeatItem::Crash => encoded_len(&lists.crashes[index]),
            HeartbeatItem::Rollout => encoded_len(&lists.rollouts[index]),
            HeartbeatItem::Member => encoded_len(&lists.members[index]),
        }
    }

    /// The partial heartbeat in one of the datagrams.
    fn heartbeat(&self, selected: &[Selected], datagram: usize) -> PeerHeartbeat {
        let mut heartbeat = self.fixed.clone();
        let lists = &self.lists;
        for kind in selected {
            let items = (kind.first..).zip(&kind.datagrams);
            let items = items.filter(|(_, of)| **of == datagram);
            for (index, _) in items {
                match kind.kind {
                    HeartbeatItem::ChangedLoad | HeartbeatItem::OtherLoad => {
                        heartbeat.loads.push(lists.loads[index].clone());
                    }
                    HeartbeatItem::Doubtful => {
                        heartbeat.doubtful.push(lists.doubtful[index].clone());
                    }
                    HeartbeatItem::Demand => heartbeat.demands.push(lists.demands[index].clone()),
                    HeartbeatItem::Limit => heartbeat.limits.push(lists.limits[index].clone()),
                    HeartbeatItem::Suspect => {
                        heartbeat.suspects.push(lists.suspects[index].clone());
                    }
                    HeartbeatItem::Crash => heartbeat.crashes.push(lists.crashes[index].clone()),
                    HeartbeatItem::Rollout => {
                        heartbeat.rollouts.push(lists.rollouts[index].clone());
                    }
                    HeartbeatItem::Member => heartbeat.members.push(lists.members[index].clone()),
                }
            }
        }
        heartbeat
    }

    /// Records what is sent, and forgets what the heartbeat no longer contains.
    fn record(&self, selected: &[Selected], sent: &mut Rotation, now: Instant) {
        let mut rounds = HashMap::new();
        for kind in selected {
            for index in kind.first..kind.first + kind.count {
                let is_sent = index - kind.first < kind.datagrams.len();
                let id = match kind.kind {
                    HeartbeatItem::ChangedLoad | HeartbeatItem::OtherLoad => {
                        if is_sent {
                            sent.record_load(&self.lists.loads[index], now);
                        }
                        continue;
                    }
                    HeartbeatItem::Doubtful => hash_of(&self.lists.doubtful[index]),
                    HeartbeatItem::Demand => hash_of(&self.lists.demands[index].service),
                    HeartbeatItem::Limit => hash_of(&self.lists.limits[index].upstream),
                    HeartbeatItem::Suspect => hash_of(&self.lists.suspects[index]),
                    HeartbeatItem::Rollout => hash_of(&self.lists.rollouts[index].order.service),
                    // Crashes that are left out are kept, and members are drawn at random.
                    HeartbeatItem::Crash | HeartbeatItem::Member => continue,
                };
                let key = (kind.kind, id);
                let known = sent.rounds.get(&key).copied();
                if let Some(round) = is_sent.then_some(sent.round).or(known) {
                    rounds.insert(key, round);
                }
            }
        }
        sent.rounds = rounds;
        let is_skipped = |kind: &&Selected| kind.count > 0 && kind.datagrams.is_empty();
        let skipped = selected.iter().filter(is_skipped).map(|kind| kind.kind);
        let skipped = skipped.collect::<Vec<_>>();
        // Those that were skipped before stay ahead, so that each is the first at some time.
        sent.skipped.retain(|kind| skipped.contains(kind));
        for kind in skipped {
            if !sent.skipped.contains(&kind) {
                sent.skipped.push(kind);
            }
        }
    }
}

impl Selected {
    fn left(&self) -> usize {
        self.count - self.datagrams.len()
    }
}

fn hash_of(id: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}

fn encode(datagram: &PeerDatagram) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(1400);
    ciborium::into_writer(datagram, &mut bytes).expect("datagrams can be written as CBOR");
    bytes
}

/// Size of an encoded value; nothing is stored.
fn encoded_len(value: &impl Serialize) -> usize {
    let mut counter = ByteCounter(0);
    ciborium::into_writer(value, &mut counter).expect("datagrams can be written as CBOR");
    counter.0
}

struct ByteCounter(usize);

impl std::io::Write for ByteCounter {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0 += bytes.len();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}
