//! Zones of VMs that follow a store which comes back from older copies: losses, reordering, late datagrams of earlier
//! eras, reads that hang while the store comes back, and suspended VMs.

use catkin_decisions::{
    GOSSIP_MAX_AGE, GossipState, GossipView, Instant, StoreEra, StorePosition, UpstreamChange,
    UpstreamDirectory, UpstreamEntry, UpstreamId, UpstreamTable, ZoneGossip,
};
use googletest::prelude::*;
use proptest::prelude::*;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use std::{sync::Arc, time::Duration};

/// Time between two steps.
const TICK: u64 = 100;

/// Time after the store's acknowledgement from which an upstream that leaves must get no calls.
const DRAIN: u64 = 2000;

/// Time after an outage of the store, or a suspension of a VM, from which removals must be known: entries that expired
/// may return until then.
const STABLE_WINDOW: u64 = 4000;

/// Time after which the store removes the row of an upstream that does not write it.
const ROW_TIMEOUT: u64 = 3000;

/// Interval at which VMs read the store, and at which upstreams write to it.
const POLL_INTERVAL: u64 = 1100;
const WRITE_INTERVAL: u64 = 1000;

const GOSSIP_INTERVAL: u64 = 400;

/// How long a member that finds the store in a new era waits for its zone.
const ZONE_WAIT: u64 = 800;

/// Upstreams; each of them leaves in the course of a run, or ends without a word, or stays.
const UPSTREAMS: usize = 16;

/// VMs of a zone that read the store for it.
const READERS: usize = 2;

#[derive(Clone, Copy, Debug)]
struct Plan {
    seed: u64,
    zones: usize,
    zone_vms: usize,
    /// Time of the run in milliseconds.
    length: u64,
    /// Outages of the store: the start, the length, and the age of the copy from which it comes back.
    returns: [(u64, u64, u64); 2],
    /// Share of datagrams that are lost.
    loss: f64,
    /// Share of reads that hang for up to a second.
    hangs: f64,
    /// Share of reads from another VM that fail.
    refusals: f64,
    /// Share of steps at which a VM is suspended.
    suspensions: f64,
}

fn plan() -> impl Strategy<Value = Plan> {
    let size = prop_oneof![(1..4_usize, 2..30_usize), (3..5_usize, 90..101_usize)];
    let first = (3000..6000_u64, 100..2500_u64, 500..6000_u64);
    let second = (1000..6000_u64, 100..2500_u64, 500..6000_u64);
    (
        any::<u64>(),
        size,
        first,
        second,
        0.0..0.3,
        0.0..0.3,
        0.0..0.3,
    )
        .prop_map(
            |(seed, (zones, zone_vms), first, (pause, length, age), loss, hangs, refusals)| {
                let second = (first.0 + first.1 + pause, length, age);
                Plan {
                    seed,
                    zones,
                    zone_vms,
                    length: second.0 + second.1 + 7000,
                    returns: [first, second],
                    loss,
                    hangs,
                    refusals,
                    suspensions: 0.001,
                }
            },
        )
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Life {
    Ready,
    Leaving,
    Ended,
}

/// An upstream: when it leaves, or ends without a word, and until when it writes its row as leaving.
struct Upstream {
    leaves_at: Option<u64>,
    ends_at: u64,
    next_write: u64,
}

impl Upstream {
    fn life(&self, now: u64) -> Life {
        if now >= self.ends_at {
            Life::Ended
        } else if self.leaves_at.is_some_and(|at| now >= at) {
            Life::Leaving
        } else {
            Life::Ready
        }
    }
}

#[derive(Clone, Default)]
struct StoreRows {
    version: u64,
    /// For each upstream the version and time of the last write, and the row; `None` if it was removed.
    rows: Vec<Option<(u64, u64, Option<UpstreamEntry>)>>,
}

struct Store {
    era: StoreEra,
    up: bool,
    /// Since when it serves without a pause.
    up_since: u64,
    current: StoreRows,
    /// The rows at each step, for copies.
    past: Vec<StoreRows>,
    /// When it first acknowledged since its return that an upstream leaves or is gone.
    acknowledged: Vec<Option<u64>>,
}

impl Store {
    fn position(&self) -> StorePosition {
        StorePosition::new(self.era, self.current.version)
    }

    fn write(&mut self, index: usize, entry: Option<UpstreamEntry>, now: u64) {
        self.current.version += 1;
        let stays = entry.as_ref().is_some_and(|entry| !entry.leaving);
        if stays {
            self.acknowledged[index] = None;
        } else {
            self.acknowledged[index].get_or_insert(now);
        }
        self.current.rows[index] = Some((self.current.version, now, entry));
    }

    fn is_removed(&self, index: usize) -> bool {
        matches!(self.current.rows[index], Some((_, _, None)))
    }

    fn expire(&mut self, now: u64) {
        for index in 0..self.current.rows.len() {
            if let Some((_, written, Some(_))) = &self.current.rows[index]
                && now >= written + ROW_TIMEOUT
            {
                self.write(index, None, now);
            }
        }
    }

    fn come_back(&mut self, age: u64, now: u64) {
        let steps = usize::try_from(age / TICK).unwrap();
        self.current = self.past[self.past.len().saturating_sub(steps + 1)].clone();
        self.era = self.era.next();
        self.up = true;
        self.up_since = now;
        // Rows are removed by the time since the store serves again.
        for (_, written, _) in self.current.rows.iter_mut().flatten() {
            *written = now;
        }
        for (index, row) in self.current.rows.iter().enumerate() {
            let leaves = |row: &(u64, u64, Option<UpstreamEntry>)| {
                row.2.as_ref().is_none_or(|entry| entry.leaving)
            };
            self.acknowledged[index] = row.as_ref().is_some_and(leaves).then_some(now);
        }
    }

    /// The changes after a position, or the complete table if the store does not have them.
    fn read(&self, after: Option<StorePosition>) -> Response {
        let after =
            after.filter(|after| after.era == self.era && after.version <= self.current.version);
        Response {
            rows: self.rows(after.map_or(0, |after| after.version), after.is_none()),
            complete: after.is_none(),
            position: self.position(),
        }
    }

    fn rows(&self, after: u64, complete: bool) -> Vec<UpstreamChange> {
        let rows = self.current.rows.iter().enumerate();
        let rows = rows.filter_map(|(index, row)| {
            let (written, _, entry) = row.as_ref()?;
            let is_part = *written > after && !(complete && entry.is_none());
            is_part.then(|| UpstreamChange {
                key: name(index).as_str().into(),
                written: *written,
                entry: entry.clone(),
            })
        });
        rows.collect()
    }
}

/// A read of the store that has not ended yet.
struct Read {
    after: Option<StorePosition>,
    /// The response as of the time at which the read began.
    first: Response,
    ends_at: u64,
}

#[derive(Clone)]
struct Response {
    rows: Vec<UpstreamChange>,
    complete: bool,
    position: StorePosition,
}

#[derive(Default)]
struct Vm {
    table: UpstreamTable,
    gossip: GossipView,
    directory: UpstreamDirectory,
    /// Position up to which the table was read; `None` if it has to be read as a whole.
    position: Option<StorePosition>,
    reading: Option<Read>,
    next_poll: u64,
    last_read: Option<u64>,
    suspended_until: u64,
    /// Whether it was suspended and has not read the table since.
    stale: bool,
    advertiser: Option<usize>,
    /// Whether it has waited for its zone to read the table of a new era.
    waited: bool,
    /// Upstreams that it has used, and those of them that it knows to be leaving or gone.
    used: [bool; UPSTREAMS],
    left: [bool; UPSTREAMS],
}

impl Vm {
    fn apply(
        &mut self,
        rows: &[UpstreamChange],
        complete: bool,
        position: StorePosition,
        now: u64,
    ) -> Vec<UpstreamChange> {
        let read = self.table.apply_read(rows, complete, position);
        let entries = complete.then(|| self.entries());
        match (read.left_era_at, entries) {
            (Some(_), Some(entries)) => _ = self.directory.apply_copy(entries, at(now)),
            (None, Some(entries)) => _ = self.directory.apply_snapshot(entries, at(now)),
            (_, None) => self.apply_changes(&read.current, now),
        }
        read.changed
    }

    fn entries(&self) -> Vec<UpstreamEntry> {
        let rows = self.table.entries().into_iter();
        rows.filter_map(|row| row.entry).collect()
    }

    fn apply_changes(&mut self, changes: &[UpstreamChange], now: u64) {
        for change in changes {
            if let Some(entry) = &change.entry {
                self.directory.apply_entry(entry.clone());
            } else {
                let id = change.key.parse::<UpstreamId>().unwrap();
                self.directory.remove_entry(&id, at(now));
            }
        }
    }

    fn receive(&mut self, from: usize, gossip: &ZoneGossip, now: u64) {
        let read = self
            .table
            .apply_update(&gossip.changes, gossip.position, gossip.digest);
        self.gossip.record(gossip, &self.table, at(now));
        if self.table.is_behind(gossip.position, gossip.digest) {
            self.advertiser = Some(from);
        }
        if read.left_era_at.is_some() {
            let entries = self.entries();
            self.directory.apply_copy(entries, at(now));
        } else {
            self.apply_changes(&read.changed, now);
        }
        if matches!(
            self.gossip.state(GOSSIP_MAX_AGE, at(now)),
            GossipState::Fresh(_)
        ) && !self.stale
        {
            self.directory.record_platform_response(at(now));
        }
    }

    /// Whether the table is kept up to date here.
    fn is_current(&self, now: u64) -> bool {
        let max_age = u64::try_from(GOSSIP_MAX_AGE.as_millis()).unwrap();
        let read = self.last_read.is_some_and(|last| now - last < max_age);
        let fresh = matches!(
            self.gossip.state(GOSSIP_MAX_AGE, at(now)),
            GossipState::Fresh(_)
        );
        !self.stale && (read || fresh)
    }

    fn uses(&self, index: usize, now: u64) -> bool {
        let id = name(index).parse::<UpstreamId>().unwrap();
        self.directory.find_usable(&id, at(now)).is_some()
    }
}

/// A datagram on its way.
struct Datagram {
    from: usize,
    to: usize,
    gossip: Arc<ZoneGossip>,
    arrives_at: u64,
    /// Whether it is so late that its age says nothing.
    late: bool,
}

fn at(ms: u64) -> Instant {
    Instant(Duration::from_millis(ms))
}

fn name(index: usize) -> String {
    format!("engine-{index:02}")
}

fn entry(index: usize, leaving: bool) -> UpstreamEntry {
    UpstreamEntry {
        id: name(index).parse().unwrap(),
        service: "engines".parse().unwrap(),
        address: ([127, 0, 0, 1], 80 + u16::try_from(index).unwrap()).into(),
        zone: "a".parse().unwrap(),
        slots: 4,
        leaving,
        version: None,
    }
}

struct Fleet {
    plan: Plan,
    rng: SmallRng,
    now: u64,
    store: Store,
    upstreams: Vec<Upstream>,
    vms: Vec<Vm>,
    sent: Vec<Datagram>,
    /// Reads of the complete table from the store, for each of its eras.
    whole_reads: Vec<usize>,
}

impl Fleet {
    fn new(plan: Plan) -> Self {
        let mut rng = SmallRng::seed_from_u64(plan.seed);
        let upstreams = (0..UPSTREAMS).map(|index| {
            let at = rng.random_range(1000..plan.length);
            let leaves_at = (index % 3 == 0).then_some(at);
            let ends_at = match index % 3 {
                0 => at + 4000,
                1 => at,
                _ => u64::MAX,
            };
            Upstream {
                leaves_at,
                ends_at,
                next_write: rng.random_range(0..WRITE_INTERVAL),
            }
        });
        let upstreams = upstreams.collect::<Vec<_>>();
        let vms = (0..plan.zones * plan.zone_vms).map(|_| Vm {
            next_poll: rng.random_range(0..POLL_INTERVAL),
            ..Vm::default()
        });
        let vms = vms.collect::<Vec<_>>();
        let rows = StoreRows {
            version: 1,
            rows: vec![None; UPSTREAMS],
        };
        let mut store = Store {
            era: StoreEra::default(),
            up: true,
            up_since: 0,
            current: rows,
            past: Vec::new(),
            acknowledged: vec![None; UPSTREAMS],
        };
        for index in 0..UPSTREAMS {
            store.write(index, Some(entry(index, false)), 0);
        }
        Self {
            plan,
            rng,
            now: 0,
            store,
            upstreams,
            vms,
            sent: Vec::new(),
            whole_reads: vec![0; 3],
        }
    }

    fn advance_store(&mut self) {
        let now = self.now;
        for (start, length, age) in self.plan.returns {
            if (start..start + length).contains(&now) {
                self.store.up = false;
            } else if !self.store.up && (start + length..start + length + TICK).contains(&now) {
                self.store.come_back(age, now);
            }
        }
        if !self.store.up {
            return;
        }
        for index in 0..UPSTREAMS {
            let life = self.upstreams[index].life(now);
            let says = self.upstreams[index]
                .leaves_at
                .is_some_and(|at| now.saturating_sub(at) < TICK);
            if life == Life::Ended || (now < self.upstreams[index].next_write && !says) {
                continue;
            }
            self.upstreams[index].next_write = now + WRITE_INTERVAL;
            self.store
                .write(index, Some(entry(index, life == Life::Leaving)), now);
        }
        self.store.expire(now);
        self.store.past.push(self.store.current.clone());
    }

    fn zone_of(&self, vm: usize) -> std::ops::Range<usize> {
        let first = vm / self.plan.zone_vms * self.plan.zone_vms;
        first..first + self.plan.zone_vms
    }

    fn is_reader(&self, vm: usize) -> bool {
        vm - self.zone_of(vm).start < READERS
    }

    /// Starts a read of the store; a read while it is away fails at once.
    fn start_read(&mut self, vm: usize) {
        let now = self.now;
        let hangs = self.rng.random_bool(self.plan.hangs);
        let delay = if hangs {
            self.rng.random_range(0..1000)
        } else {
            0
        };
        let reader = self.is_reader(vm);
        let (store, vm) = (&self.store, &mut self.vms[vm]);
        vm.next_poll = now + POLL_INTERVAL;
        if !store.up {
            vm.directory.record_platform_outage();
            vm.next_poll = now + 300;
            return;
        }
        let is_new_era = vm.position.is_some_and(|position| position.era < store.era);
        if is_new_era && !reader && !std::mem::replace(&mut vm.waited, true) {
            vm.next_poll = now + ZONE_WAIT;
            return;
        }
        vm.waited = false;
        let first = store.read(vm.position);
        if first.complete {
            self.whole_reads[usize::try_from(store.era.0).unwrap()] += 1;
        }
        vm.reading = Some(Read {
            after: vm.position,
            first,
            ends_at: now + delay,
        });
    }

    fn end_read(&mut self, vm: usize) {
        let now = self.now;
        let Some(read) = self.vms[vm].reading.take_if(|read| read.ends_at <= now) else {
            return;
        };
        let reader = self.is_reader(vm);
        let state = &mut self.vms[vm];
        let has_continued = self.store.up && self.store.era == read.first.position.era;
        let known = state.table.position().era;
        if !has_continued && read.first.position.era >= known {
            // The connection was lost while the store was away.
            state.directory.record_platform_outage();
            state.next_poll = now;
            return;
        }
        let Response {
            rows,
            complete,
            position,
        } = if has_continued {
            self.store.read(read.after)
        } else {
            read.first
        };
        let changed = state.apply(&rows, complete, position, now);
        if position.era < known {
            // A late response changes nothing.
            state.position = None;
            state.next_poll = now;
            return;
        }
        state.directory.record_platform_response(at(now));
        state.gossip.record_own_read();
        state.position = Some(position);
        state.last_read = Some(now);
        state.stale = false;
        if reader {
            self.advertise(vm, &changed);
        }
    }

    fn advertise(&mut self, vm: usize, changes: &[UpstreamChange]) {
        let now = self.now;
        let Some(last_read) = self.vms[vm].last_read else {
            return;
        };
        let table = &self.vms[vm].table;
        let gossip = |changes: &[UpstreamChange]| {
            Arc::new(ZoneGossip {
                vm: format!("vm-{vm}").as_str().into(),
                config: None,
                config_from_store: false,
                config_age_ms: None,
                position: table.position(),
                digest: table.digest(),
                age_ms: u32::try_from(now - last_read).unwrap(),
                changes: changes.to_vec(),
                link: None,
                members: Vec::new(),
            })
        };
        let mut parts = changes.chunks(10).map(gossip).collect::<Vec<_>>();
        if parts.is_empty() {
            parts.push(gossip(&[]));
        }
        for to in self.zone_of(vm) {
            for gossip in &parts {
                if to == vm || self.rng.random_bool(self.plan.loss) {
                    continue;
                }
                let late = self.rng.random_bool(0.02);
                let delay = if late {
                    5000
                } else {
                    self.rng.random_range(0..200)
                };
                self.sent.push(Datagram {
                    from: vm,
                    to,
                    gossip: gossip.clone(),
                    arrives_at: now + delay,
                    late,
                });
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        for index in (0..self.sent.len()).rev() {
            if self.sent[index].arrives_at > now {
                continue;
            }
            let datagram = self.sent.swap_remove(index);
            let vm = &mut self.vms[datagram.to];
            if now < vm.suspended_until {
                // It waits in the socket.
                let arrives_at = vm.suspended_until;
                self.sent.push(Datagram {
                    arrives_at,
                    ..datagram
                });
                continue;
            }
            // Late datagrams of the VM's own era are not modelled: the age that they show is too low.
            if !datagram.late || datagram.gossip.position.era < vm.table.position().era {
                vm.receive(datagram.from, &datagram.gossip, now);
            }
        }
    }

    /// A VM that misses changes reads them from the VM that advertised them, or from the store.
    fn catch_up(&mut self, vm: usize) {
        let now = self.now;
        if let GossipState::Behind(_) = self.vms[vm].gossip.state(GOSSIP_MAX_AGE, at(now)) {
            return;
        }
        let missed = self.vms[vm]
            .gossip
            .has_missed_changes(GOSSIP_MAX_AGE, at(now));
        let advertiser = self.vms[vm]
            .advertiser
            .filter(|_| missed && !self.vms[vm].stale);
        let refuses = self.rng.random_bool(self.plan.refusals);
        if let Some(advertiser) =
            advertiser.filter(|from| !refuses && now >= self.vms[*from].suspended_until)
        {
            let after = self.vms[vm].table.position();
            let other = &self.vms[advertiser].table;
            let changes = other.changes_since(after);
            let complete = changes.is_none();
            let rows = changes.unwrap_or_else(|| other.entries());
            let position = other.position();
            let state = &mut self.vms[vm];
            state.apply(&rows, complete, position, now);
            state.gossip.record_catch_up(&state.table);
            state.position = Some(state.table.position());
        } else if !self.vms[vm].is_current(now)
            && self.vms[vm].reading.is_none()
            && now >= self.vms[vm].next_poll
        {
            self.start_read(vm);
        }
    }

    fn step(&mut self) {
        self.advance_store();
        self.deliver();
        for vm in 0..self.vms.len() {
            if self.now < self.vms[vm].suspended_until {
                continue;
            }
            if self.rng.random_bool(self.plan.suspensions) {
                let length = self.rng.random_range(500..5000);
                let state = &mut self.vms[vm];
                state.suspended_until = self.now + length;
                state.stale = true;
                state.reading = None;
                state.next_poll = self.now + length;
                continue;
            }
            self.end_read(vm);
            if self.is_reader(vm) {
                if self.vms[vm].reading.is_none() && self.now >= self.vms[vm].next_poll {
                    self.start_read(vm);
                    self.end_read(vm);
                }
                let due = (self.now / TICK).is_multiple_of(GOSSIP_INTERVAL / TICK);
                let recent = self.vms[vm]
                    .last_read
                    .is_some_and(|last| self.now - last < 1600);
                if due && recent && !self.vms[vm].stale {
                    self.advertise(vm, &[]);
                }
            } else {
                self.catch_up(vm);
                self.end_read(vm);
            }
        }
        self.now += TICK;
    }

    /// Checks that no VM uses an upstream that it must know to be leaving or gone.
    fn check(&mut self) -> std::result::Result<(), TestCaseError> {
        let now = self.now - TICK;
        for (number, vm) in self.vms.iter_mut().enumerate() {
            if now < vm.suspended_until {
                continue;
            }
            for index in 0..UPSTREAMS {
                let acknowledged = self.store.acknowledged[index].filter(|_| self.store.up);
                let is_removed = self.store.is_removed(index);
                let stable_since = self.store.up_since.max(vm.suspended_until) + STABLE_WINDOW;
                let due = acknowledged
                    .map(|at| at + DRAIN)
                    .map(|due| {
                        if is_removed {
                            due.max(stable_since)
                        } else {
                            due
                        }
                    })
                    .is_some_and(|due| now >= due && vm.is_current(now));
                let uses = vm.uses(index, now);
                prop_assert!(
                    !(uses && due),
                    "VM {} uses upstream {} at {}, known since {:?}",
                    number,
                    index,
                    now,
                    acknowledged
                );
                prop_assert!(
                    !(uses && vm.left[index]),
                    "VM {} uses upstream {} again at {}",
                    number,
                    index,
                    now
                );
                if uses {
                    vm.used[index] = true;
                } else if vm.used[index] && self.upstreams[index].life(now) != Life::Ready {
                    vm.left[index] = true;
                }
            }
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(16))]

    /// Guards against calls to upstreams that leave after the store has come back from an older copy, and against VMs
    /// that use an upstream again because the copy lists it.
    #[test]
    fn leaving_upstreams_are_known_within_their_time_across_returns_of_the_store(plan in plan()) {
        let mut fleet = Fleet::new(plan);
        while fleet.now < plan.length {
            fleet.step();
            fleet.check()?;
        }
    }
}

/// Guards against a fleet that reads the whole table from the store at once when it has come back.
#[gtest]
fn members_of_large_zones_read_the_table_from_their_zone_after_a_return() {
    let mut fleet = Fleet::new(Plan {
        seed: 1,
        zones: 4,
        zone_vms: 100,
        length: 10_000,
        returns: [(3000, 500, 2000), (20_000, 500, 2000)],
        loss: 0.0,
        hangs: 0.0,
        refusals: 0.0,
        suspensions: 0.0,
    });

    while fleet.now < 10_000 {
        fleet.step();
    }

    expect_that!(fleet.whole_reads[1], le(4 * READERS));
}
