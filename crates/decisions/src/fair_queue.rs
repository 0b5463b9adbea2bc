//! Weighted fair queue of the requests of many teams.
//!
//! If one team sends a hundred times its usual load, a single FIFO queues its requests ahead of all
//! others, and the p99 of every team rises with its backlog. Here each team has its own FIFO, and the
//! next request is taken from the team that has received the least service relative to its weight
//! (start-time fair queueing; Goyal, Vin and Cheng, 1996). A backlog delays only its own team.
//!
//! The data layout suits 10,000 queued requests of 2,100 teams. A team keeps its index until idle
//! teams are dropped. `ready` holds the teams with queued requests in descending order of their tag,
//! so that the next one is popped off the end and each change moves at most a few kilobytes of plain
//! numbers. Removing a request from the middle of a FIFO leaves an empty entry that is skipped later.
//!
//! A queue whose requests have different urgency within a team uses [`FairQueue::push_by_time`], which
//! sorts a team's backlog by a time of each request instead of its arrival.
//! `examples/decision_cost.rs` measures the cost; `docs/LOAD.md` has its figures.

use super::*;
use std::collections::VecDeque;

/// Virtual time by which a request of cost 1 advances the tag of a team of weight 1.
const TAG_PER_COST: u64 = 1 << 20;

/// Dispatches from a team's backlog after which its mean interval is used to estimate waits.
const MIN_DISPATCHES_FOR_ESTIMATE: u32 = 8;

/// Divisor for the weight of a new interval in a team's moving mean.
const INTERVAL_WEIGHT_DIVISOR: u32 = 16;

/// A team and its weight in the queue.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueTeam {
    /// Identifies the team's FIFO.
    pub id: TeamId,
    /// Share of service relative to the other teams with queued requests.
    pub weight: u32,
}

/// Limits which requests [`FairQueue::pop_where`] tries.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PopOptions {
    /// Number of teams whose first request is considered.
    pub teams: usize,
    /// Considers only requests of teams that have received less than their fair share.
    pub below_share_only: bool,
}

impl Default for PopOptions {
    fn default() -> Self {
        Self {
            teams: 1,
            below_share_only: false,
        }
    }
}

/// Queue of the requests of many teams in weighted fair order.
#[derive(Debug)]
pub struct FairQueue<T> {
    /// Index into `team_queues` for each team, sorted by team.
    teams: Vec<(TeamId, usize)>,
    team_queues: Vec<TeamQueue<T>>,
    /// Tag and index of each team with queued requests, in descending order.
    ready: Vec<(u64, usize)>,
    virtual_time: u64,
    next_number: u64,
    len: usize,
    active_weight: u64,
}

#[derive(Debug)]
struct TeamQueue<T> {
    weight: u32,
    /// Virtual start time of the team's next request.
    tag: u64,
    entries: VecDeque<Entry<T>>,
    queued: u32,
    /// Whether the team had an empty backlog and less than its fair share when its first queued
    /// request arrived.
    is_below_share: bool,
    drain_rate: DrainRate,
}

#[derive(Debug)]
struct Entry<T> {
    /// Sort key within the team, before the number; the same for all requests of a FIFO.
    time: Instant,
    number: u64,
    cost: u32,
    item: Option<T>,
}

/// Rate at which a team's backlog drains.
#[derive(Clone, Copy, Debug, Default)]
struct DrainRate {
    last: Option<Instant>,
    mean_interval: Duration,
    dispatches: u32,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self {
            teams: Vec::new(),
            team_queues: Vec::new(),
            ready: Vec::new(),
            virtual_time: 0,
            next_number: 0,
            len: 0,
            active_weight: 0,
        }
    }
}

impl<T> FairQueue<T> {
    /// Number of queued requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no request is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Appends a request to its team's backlog.
    pub fn push(&mut self, team: &QueueTeam, cost: u32, item: T) -> Ticket {
        self.push_by_time(team, cost, Instant::default(), item)
    }

    /// Inserts a request into its team's backlog, behind the requests whose time is not later.
    pub fn push_by_time(&mut self, team: &QueueTeam, cost: u32, time: Instant, item: T) -> Ticket {
        let team_index = self.find_or_insert_team(team);
        let number = self.next_number;
        self.next_number += 1;
        let entries = &mut self.team_queues[team_index].entries;
        let index = entries.partition_point(|entry| entry.time <= time);
        let entry = Entry {
            time,
            number,
            cost: cost.max(1),
            item: Some(item),
        };
        entries.insert(index, entry);
        self.team_queues[team_index].queued += 1;
        self.len += 1;
        if self.team_queues[team_index].queued == 1 {
            self.activate(team_index, team.weight);
        }
        Ticket {
            time,
            number,
            team_index,
        }
    }

    /// Removes and returns the next request.
    pub fn pop(&mut self, now: Instant) -> Option<T> {
        let all = PopOptions::default();
        self.pop_where(now, all, |_| Some(()))
            .map(|(item, ())| item)
    }

    /// Removes and returns the first request for which `choose` returns a value, trying the first
    /// request of each of the next teams. A request that cannot be dispatched now, for example
    /// because no upstream has loaded its model, blocks only its own team.
    pub fn pop_where<C>(
        &mut self,
        now: Instant,
        options: PopOptions,
        mut choose: impl FnMut(&T) -> Option<C>,
    ) -> Option<(T, C)> {
        let first = self.ready.len().saturating_sub(options.teams);
        let (i, choice) = (first..self.ready.len()).rev().find_map(|i| {
            let team = &mut self.team_queues[self.ready[i].1];
            if options.below_share_only && !team.is_below_share {
                return None;
            }
            let request = team.peek()?;
            Some((i, choose(request)?))
        })?;
        let (tag, team_index) = self.ready.remove(i);
        self.virtual_time = self.virtual_time.max(tag);
        let team = &mut self.team_queues[team_index];
        let (cost, item) = team.pop_first()?;
        self.len -= 1;
        team.tag = tag + u64::from(cost) * TAG_PER_COST / u64::from(team.weight);
        team.is_below_share = false;
        team.drain_rate.record_dispatch(now);
        if team.queued == 0 {
            self.deactivate(team_index);
        } else {
            self.insert_ready(team_index);
        }
        Some((item, choice))
    }

    /// Removes a queued request; `None` if it is no longer queued.
    pub fn remove(&mut self, ticket: Ticket) -> Option<T> {
        let team = self.team_queues.get_mut(ticket.team_index)?;
        let i = team.find(ticket).ok()?;
        let item = team.entries[i].item.take()?;
        team.queued -= 1;
        self.len -= 1;
        if team.queued == 0 {
            let key = (team.tag, ticket.team_index);
            if let Ok(i) = self.ready.binary_search_by(|entry| key.cmp(entry)) {
                self.ready.remove(i);
            }
            self.deactivate(ticket.team_index);
        }
        Some(item)
    }

    /// Returns whether a request is the only queued one of its team, and the team had received less
    /// than its fair share when it arrived.
    #[must_use]
    pub fn is_below_share(&self, ticket: Ticket) -> bool {
        self.team_queues
            .get(ticket.team_index)
            .is_some_and(|team| team.is_below_share && team.queued == 1)
    }

    /// Returns whether a request is still queued.
    #[must_use]
    pub fn contains(&self, ticket: Ticket) -> bool {
        self.team_queues.get(ticket.team_index).is_some_and(|team| {
            team.find(ticket)
                .is_ok_and(|i| team.entries[i].item.is_some())
        })
    }

    /// Maximum number of requests ahead of a new one of this team: all queued requests of the team
    /// and, of each other team, as many as its weight allows to be served meanwhile.
    #[must_use]
    pub fn requests_ahead(&self, team: &QueueTeam) -> u32 {
        let queue = self.find_team(&team.id).map(|i| &self.team_queues[i]);
        let own = queue.map_or(0, |queue| queue.queued);
        self.count_ahead(team, own, own)
    }

    /// Maximum number of requests ahead of a new one of this team that is inserted by its time.
    #[must_use]
    pub fn requests_ahead_of(&self, team: &QueueTeam, time: Instant) -> u32 {
        let Some(queue) = self.find_team(&team.id).map(|i| &self.team_queues[i]) else {
            return self.count_ahead(team, 0, 0);
        };
        let earlier = queue.entries.iter().take_while(|entry| entry.time <= time);
        let earlier = earlier.filter(|entry| entry.item.is_some()).count();
        let earlier = u32::try_from(earlier).unwrap_or(u32::MAX);
        self.count_ahead(team, queue.queued, earlier)
    }

    /// Maximum number of requests ahead of one that has `own` requests of its team, which has `queued` in total,
    /// ahead of it.
    fn count_ahead(&self, team: &QueueTeam, queued: u32, own: u32) -> u32 {
        let own_weight = u64::from(team.weight.max(1));
        let mut active = self.active_weight;
        if queued == 0 {
            active += own_weight;
        }
        let by_weight = u64::from(own + 1) * active / own_weight;
        let all = self.len as u64;
        u32::try_from(by_weight.min(all)).unwrap_or(u32::MAX)
    }

    /// Estimated wait of a new request of this team, from the rate at which the team's backlog
    /// drains; `None` until enough requests of the backlog were dispatched.
    #[must_use]
    pub fn observed_wait(&self, team: &TeamId) -> Option<Duration> {
        let queue = &self.team_queues[self.find_team(team)?];
        (queue.drain_rate.dispatches >= MIN_DISPATCHES_FOR_ESTIMATE).then(|| {
            queue
                .drain_rate
                .mean_interval
                .saturating_mul(queue.queued + 1)
        })
    }

    /// Drops the state of all teams if no request is queued.
    pub fn evict_teams_if_empty(&mut self) {
        if self.len > 0 {
            return;
        }
        self.teams.clear();
        self.team_queues.clear();
    }

    fn find_team(&self, id: &TeamId) -> Option<usize> {
        let i = self.teams.binary_search_by(|(team, _)| team.cmp(id)).ok()?;
        Some(self.teams[i].1)
    }

    fn find_or_insert_team(&mut self, team: &QueueTeam) -> usize {
        match self.teams.binary_search_by(|(id, _)| id.cmp(&team.id)) {
            Ok(i) => self.teams[i].1,
            Err(i) => {
                let team_index = self.team_queues.len();
                self.teams.insert(i, (team.id.clone(), team_index));
                self.team_queues.push(TeamQueue::default());
                team_index
            }
        }
    }

    fn activate(&mut self, team_index: usize, weight: u32) {
        let team = &mut self.team_queues[team_index];
        team.weight = weight.max(1);
        team.is_below_share = team.tag <= self.virtual_time;
        // A team that was idle starts at the current virtual time: it neither accumulates service for
        // a burst nor is charged for service that it received while no other team had requests.
        team.tag = team.tag.max(self.virtual_time);
        self.active_weight += u64::from(team.weight);
        self.insert_ready(team_index);
    }

    fn deactivate(&mut self, team_index: usize) {
        let team = &mut self.team_queues[team_index];
        team.entries.clear();
        team.drain_rate = DrainRate::default();
        self.active_weight -= u64::from(team.weight);
    }

    fn insert_ready(&mut self, team_index: usize) {
        let key = (self.team_queues[team_index].tag, team_index);
        let i = self.ready.partition_point(|entry| *entry > key);
        self.ready.insert(i, key);
    }
}

impl<T> Default for TeamQueue<T> {
    fn default() -> Self {
        Self {
            weight: 1,
            tag: 0,
            entries: VecDeque::new(),
            queued: 0,
            is_below_share: false,
            drain_rate: DrainRate::default(),
        }
    }
}

impl<T> TeamQueue<T> {
    fn find(&self, ticket: Ticket) -> Result<usize, usize> {
        let key = (ticket.time, ticket.number);
        self.entries
            .binary_search_by_key(&key, |entry| (entry.time, entry.number))
    }

    /// Drops the empty entries at the front and returns the first request.
    fn peek(&mut self) -> Option<&T> {
        while self
            .entries
            .front()
            .is_some_and(|entry| entry.item.is_none())
        {
            self.entries.pop_front();
        }
        self.entries.front()?.item.as_ref()
    }

    fn pop_first(&mut self) -> Option<(u32, T)> {
        while let Some(entry) = self.entries.pop_front() {
            if let Some(item) = entry.item {
                self.queued -= 1;
                return Some((entry.cost, item));
            }
        }
        None
    }
}

impl DrainRate {
    fn record_dispatch(&mut self, now: Instant) {
        if let Some(last) = self.last.replace(now) {
            let sample = now.since(last);
            let weight = (self.dispatches + 1).min(INTERVAL_WEIGHT_DIVISOR);
            self.mean_interval = self.mean_interval / weight * (weight - 1) + sample / weight;
            self.dispatches = self.dispatches.saturating_add(1);
        }
    }
}
