//! A queue that is fair between teams, by weight.
//!
//! Load pattern: one team sends a hundred times its usual load. In one FIFO its requests stand
//! before everybody's, and the p99 of all teams rises with its backlog. Here each team has a FIFO of
//! its own and the next request is taken from the team that has had the least service for its
//! weight (start-time fair queueing, Goyal, Vin and Cheng, 1996): a backlog delays its own team
//! only.
//!
//! Data layout, chosen for 10,000 queued requests of 2,100 teams: teams keep a slot for as long as
//! they are known; `ready` holds those with queued requests in descending order of their tag, so
//! that the next one is popped off its end and each change moves a few kilobytes of plain numbers
//! at most. A request that leaves from the middle leaves a hole that is skipped later.
//! `examples/decision_cost.rs` measures the cost; `docs/LOAD.md` has its figures.

use super::*;
use std::collections::VecDeque;

/// Virtual time that a request of cost 1 takes a team of weight 1.
const UNIT: u64 = 1 << 20;

/// Dispatches of a team's backlog from which its interval is trusted.
const TRUSTED_DISPATCHES: u32 = 8;

/// Weight of a new interval in a team's moving mean, as a divisor.
const INTERVAL_DIVISOR: u32 = 16;

/// Who queues, and with what share.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueTeam {
    /// The team.
    pub id: TeamId,
    /// Its weight.
    pub weight: u32,
}

/// Which requests are tried before the others, to be filled in by update syntax.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PopOptions {
    /// Teams whose first request is tried.
    pub teams: usize,
    /// Only requests of teams that have had less than their share.
    pub light_only: bool,
}

impl Default for PopOptions {
    fn default() -> Self {
        Self {
            teams: 1,
            light_only: false,
        }
    }
}

/// Requests of many teams, in the order in which they are to be served.
#[derive(Debug)]
pub struct FairQueue<T> {
    /// Slots of the teams, sorted by team.
    teams: Vec<(TeamId, usize)>,
    slots: Vec<TeamSlot<T>>,
    /// Tag and slot of each team with queued requests, the smallest tag last.
    ready: Vec<(u64, usize)>,
    virtual_time: u64,
    next_number: u64,
    len: usize,
    active_weight: u64,
}

#[derive(Debug)]
struct TeamSlot<T> {
    weight: u32,
    /// Virtual time at which its next request starts.
    tag: u64,
    entries: VecDeque<Entry<T>>,
    live: u32,
    /// Its first request came while nothing of it was queued, and it has had less than its share.
    is_light: bool,
    pace: Pace,
}

#[derive(Debug)]
struct Entry<T> {
    number: u64,
    cost: u32,
    item: Option<T>,
}

/// How fast a team's backlog goes down.
#[derive(Clone, Copy, Debug, Default)]
struct Pace {
    last: Option<Instant>,
    interval: Duration,
    dispatches: u32,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self {
            teams: Vec::new(),
            slots: Vec::new(),
            ready: Vec::new(),
            virtual_time: 0,
            next_number: 0,
            len: 0,
            active_weight: 0,
        }
    }
}

impl<T> FairQueue<T> {
    /// Requests queued.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether nothing is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds a request at the end of its team's backlog.
    pub fn push(&mut self, team: &QueueTeam, cost: u32, item: T) -> Ticket {
        let slot = self.slot(team);
        let number = self.next_number;
        self.next_number += 1;
        self.slots[slot].entries.push_back(Entry {
            number,
            cost: cost.max(1),
            item: Some(item),
        });
        self.slots[slot].live += 1;
        self.len += 1;
        if self.slots[slot].live == 1 {
            self.activate(slot, team.weight);
        }
        Ticket { number, slot }
    }

    /// Takes the request that is next.
    pub fn pop(&mut self, now: Instant) -> Option<T> {
        let all = PopOptions::default();
        self.pop_where(now, all, |_| Some(()))
            .map(|(item, ())| item)
    }

    /// Takes the first request that `place` finds a place for, of the first ones of the teams that
    /// are next. One that cannot be placed now, as on account of its model, holds up its own
    /// team only.
    pub fn pop_where<P>(
        &mut self,
        now: Instant,
        tries: PopOptions,
        mut place: impl FnMut(&T) -> Option<P>,
    ) -> Option<(T, P)> {
        let first = self.ready.len().saturating_sub(tries.teams);
        let (i, place) = (first..self.ready.len()).rev().find_map(|i| {
            let team = &mut self.slots[self.ready[i].1];
            if tries.light_only && !team.is_light {
                return None;
            }
            let request = team.first()?;
            Some((i, place(request)?))
        })?;
        let (tag, slot) = self.ready.remove(i);
        self.virtual_time = self.virtual_time.max(tag);
        let team = &mut self.slots[slot];
        let (cost, item) = team.take_first()?;
        self.len -= 1;
        team.tag = tag + u64::from(cost) * UNIT / u64::from(team.weight);
        team.is_light = false;
        team.pace.dispatched(now);
        if team.live == 0 {
            self.deactivate(slot);
        } else {
            self.insert_ready(slot);
        }
        Some((item, place))
    }

    /// Takes a request out of the queue; `None` if it is not there any more.
    pub fn remove(&mut self, ticket: Ticket) -> Option<T> {
        let team = self.slots.get_mut(ticket.slot)?;
        let i = team
            .entries
            .binary_search_by_key(&ticket.number, |entry| entry.number)
            .ok()?;
        let item = team.entries[i].item.take()?;
        team.live -= 1;
        self.len -= 1;
        if team.live == 0 {
            let key = (team.tag, ticket.slot);
            if let Ok(i) = self.ready.binary_search_by(|entry| key.cmp(entry)) {
                self.ready.remove(i);
            }
            self.deactivate(ticket.slot);
        }
        Some(item)
    }

    /// Whether a request came while nothing of its team was queued, from a team that has had less
    /// than its share.
    #[must_use]
    pub fn is_light(&self, ticket: Ticket) -> bool {
        self.slots
            .get(ticket.slot)
            .is_some_and(|team| team.is_light && team.live == 1)
    }

    /// Whether a request is still queued.
    #[must_use]
    pub fn contains(&self, ticket: Ticket) -> bool {
        self.slots.get(ticket.slot).is_some_and(|team| {
            team.entries
                .binary_search_by_key(&ticket.number, |entry| entry.number)
                .is_ok_and(|i| team.entries[i].item.is_some())
        })
    }

    /// How many requests a new one of this team would wait for at most: all of its own team, and of
    /// each other team as many as its weight lets pass meanwhile.
    #[must_use]
    pub fn ahead(&self, team: &QueueTeam) -> u32 {
        let slot = self.find(&team.id);
        let own = slot.map_or(0, |slot| self.slots[slot].live);
        let own_weight = u64::from(team.weight.max(1));
        let mut active = self.active_weight;
        if own == 0 {
            active += own_weight;
        }
        let by_weight = u64::from(own + 1) * active / own_weight;
        let all = self.len as u64;
        u32::try_from(by_weight.min(all)).unwrap_or(u32::MAX)
    }

    /// How long a new request of this team would wait, judged by how fast the team's backlog has
    /// gone down; `None` while too little of this backlog was served to tell.
    #[must_use]
    pub fn observed_wait(&self, team: &TeamId) -> Option<Duration> {
        let slot = &self.slots[self.find(team)?];
        (slot.pace.dispatches >= TRUSTED_DISPATCHES)
            .then(|| slot.pace.interval.saturating_mul(slot.live + 1))
    }

    /// Forgets all teams, if nothing is queued.
    pub fn forget_idle(&mut self) {
        if self.len > 0 {
            return;
        }
        self.teams.clear();
        self.slots.clear();
    }

    fn find(&self, id: &TeamId) -> Option<usize> {
        let i = self.teams.binary_search_by(|(team, _)| team.cmp(id)).ok()?;
        Some(self.teams[i].1)
    }

    fn slot(&mut self, team: &QueueTeam) -> usize {
        match self.teams.binary_search_by(|(id, _)| id.cmp(&team.id)) {
            Ok(i) => self.teams[i].1,
            Err(i) => {
                let slot = self.slots.len();
                self.teams.insert(i, (team.id.clone(), slot));
                self.slots.push(TeamSlot::default());
                slot
            }
        }
    }

    fn activate(&mut self, slot: usize, weight: u32) {
        let team = &mut self.slots[slot];
        team.weight = weight.max(1);
        team.is_light = team.tag <= self.virtual_time;
        // A team that was idle starts at the present time: it can neither save up service for a
        // burst, nor pay for what it had while nobody else wanted it.
        team.tag = team.tag.max(self.virtual_time);
        self.active_weight += u64::from(team.weight);
        self.insert_ready(slot);
    }

    fn deactivate(&mut self, slot: usize) {
        let team = &mut self.slots[slot];
        team.entries.clear();
        team.pace = Pace::default();
        self.active_weight -= u64::from(team.weight);
    }

    fn insert_ready(&mut self, slot: usize) {
        let key = (self.slots[slot].tag, slot);
        let i = self.ready.partition_point(|entry| *entry > key);
        self.ready.insert(i, key);
    }
}

impl<T> Default for TeamSlot<T> {
    fn default() -> Self {
        Self {
            weight: 1,
            tag: 0,
            entries: VecDeque::new(),
            live: 0,
            is_light: false,
            pace: Pace::default(),
        }
    }
}

impl<T> TeamSlot<T> {
    /// The first request, after the holes before it are dropped.
    fn first(&mut self) -> Option<&T> {
        while self
            .entries
            .front()
            .is_some_and(|entry| entry.item.is_none())
        {
            self.entries.pop_front();
        }
        self.entries.front()?.item.as_ref()
    }

    fn take_first(&mut self) -> Option<(u32, T)> {
        while let Some(entry) = self.entries.pop_front() {
            if let Some(item) = entry.item {
                self.live -= 1;
                return Some((entry.cost, item));
            }
        }
        None
    }
}

impl Pace {
    fn dispatched(&mut self, now: Instant) {
        if let Some(last) = self.last.replace(now) {
            let sample = now.since(last);
            let weight = (self.dispatches + 1).min(INTERVAL_DIVISOR);
            self.interval = self.interval / weight * (weight - 1) + sample / weight;
            self.dispatches = self.dispatches.saturating_add(1);
        }
    }
}
