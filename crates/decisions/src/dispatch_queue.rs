//! Queue of the stream calls of one service that wait at this VM for room at an upstream.
//!
//! Load pattern: callers of different urgency ask for more than the upstreams can serve. A call that is
//! sent to a full engine waits there behind calls of any rank, takes its memory, and is late together with
//! all others. Here calls wait in the VM, which starts those that are worth the most:
//!
//! 1. The lower priority value goes first, so that an accepted urgent call is never passed by less urgent ones.
//! 2. Of the same priority, calls that can still meet their target go before those that cannot but can complete.
//!    A late call is worth far less than one on time.
//! 3. Teams take turns by weight ([`FairQueue`]), so a backlog delays only its own team.
//! 4. Within a team, the call goes first whose latest start for its target is the earliest. A caller that
//!    returns after a refusal thereby has its former place.
//!
//! A call is refused on arrival if the forecast of its start does not let it complete. An accepted call
//! stays until it starts, its caller leaves, or its latest start has passed.
//!
//! The forecast divides the calls ahead by the rate at which calls of this VM started in the last seconds,
//! less the rate at which calls that will go first were accepted. Starts of less urgent calls count for a
//! more urgent one, because it would have had that room.

use super::*;
use std::{
    cmp::{Ordering, Reverse},
    collections::{BinaryHeap, HashMap},
};

/// Prefills between a start and the first event for which the target of a call has time: its own, and one
/// of another prompt that its engine may still read.
const PREFILLS_BEFORE_EVENT: u32 = 2;

/// Length of a part of the time over which rates are measured, and the number of parts: 8 s together. A VM
/// of a large fleet starts about one call a second; a shorter time has too few of them, and over a longer
/// one the forecast follows a loss of capacity only after callers have given up.
const RATE_PART: Duration = Duration::from_millis(500);
const RATE_PARTS: usize = 16;

/// Minimum number of starts from which a rate is derived.
const MIN_STARTS: u32 = 2;

/// Calls ahead up to which a call is accepted while no rate is known. A VM that has just started, or whose
/// upstreams were all lost, accepts as many as it starts within a few seconds.
const UNKNOWN_RATE_CALLS: u32 = 8;

/// Standard deviations of the number of starts by which a forecast is later than the mean. Starts come nearly
/// at random, and a forecast is to be kept for 8 of 10 calls.
const FORECAST_DEVIATIONS: f64 = 0.84;

/// Longest forecast: no caller waits longer.
const MAX_FORECAST: Duration = Duration::from_secs(60);

/// `Retry-After` while no rate is known: about the time in which a VM of a large fleet starts a call.
const UNKNOWN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Shortest `Retry-After`: room comes with the end of a stream, many a second at most.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Share of the limits that calls may use while more urgent ones are known, as a fraction, so that a burst of them
/// leaves space for these.
const LESS_URGENT_SHARE: (usize, usize) = (3, 4);

/// Number of calls that are tried in one decision, each the first of its team. Calls of one service need
/// about the same room, so the first one decides in nearly all cases.
const MAX_TRIES: usize = 4;

/// Time without a waiting call that could be on time, after which calls start that cannot. At a VM that
/// starts a call every two seconds the former are gone for short times also while others refuse them.
const LATE_HOLD: Duration = Duration::from_secs(2);

/// Limits of a [`DispatchQueue`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueueLimits {
    /// Maximum number of waiting calls.
    pub calls: usize,
    /// Maximum size of the bodies of all waiting calls.
    pub bytes: usize,
}

impl QueueLimits {
    /// Memory of a VM up to which its queue holds fewer bytes.
    const SMALL_VM_BYTES: usize = 160 << 20;

    /// Limits of a VM with so many bytes of memory, if that is known. The body of a prompt of 8,200 tokens has
    /// some 33 KB, so 4 MB hold 120 of them: more than a small VM starts within a deadline.
    #[must_use]
    pub fn for_vm(memory: Option<usize>) -> Self {
        let is_small = memory.is_some_and(|memory| memory <= Self::SMALL_VM_BYTES);
        Self {
            calls: 1000,
            bytes: if is_small { 4 << 20 } else { 16 << 20 },
        }
    }
}

/// The properties of a stream call that decide when it starts.
#[derive(Clone, Debug, PartialEq)]
pub struct StreamArrival {
    /// Priority of the call; 0 is the highest.
    pub priority: u8,
    /// The calling team and its weight.
    pub team: QueueTeam,
    /// Time at which the first event is due. It counts from the caller's first attempt.
    pub target: Instant,
    /// Time at which the caller stops waiting for the end of the stream.
    pub deadline: Instant,
    /// Time that an engine takes to read the prompt.
    pub prefill: Duration,
    /// Time from the first event to the end of the stream.
    pub duration: Duration,
    /// Tokens that the call takes in the memory of an engine.
    pub tokens: u32,
    /// Size of the body.
    pub bytes: usize,
}

impl StreamArrival {
    /// Latest start with which the stream can end before the deadline.
    #[must_use]
    pub fn latest_start(&self) -> Instant {
        self.deadline.before(self.prefill + self.duration)
    }

    /// Latest start with which the first event can be on time as well.
    #[must_use]
    pub fn latest_start_on_time(&self) -> Instant {
        let due = self.target.before(self.prefill * PREFILLS_BEFORE_EVENT);
        due.min(self.latest_start())
    }

    /// Service that the call takes from its team's share.
    fn cost(&self) -> u32 {
        self.tokens.div_ceil(1024)
    }
}

/// Handle of a waiting call.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct DispatchTicket(u64);

/// An accepted call, and what is expected for it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Admission {
    /// Handle to withdraw the call.
    pub ticket: DispatchTicket,
    /// Number of calls ahead.
    pub ahead: u32,
    /// Forecast of the time until its start; `None` if too few calls started to tell.
    pub expected: Option<Duration>,
}

/// Why a call is refused or was not started.
#[derive(Clone, Copy, Debug, Eq, PartialEq, IntoStaticStr, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum OverloadCause {
    /// Its forecast start is too late for its deadline.
    Forecast,
    /// Too many calls wait.
    Calls,
    /// The bodies of the waiting calls are too large.
    Bytes,
    /// Its latest start passed while it waited.
    Expired,
}

/// Refusal of a call that has not run, and the figures behind it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OverloadRefusal {
    /// Why the call is refused.
    pub cause: OverloadCause,
    /// Time after which a call in its place could start.
    pub retry_after: Duration,
    /// Number of calls ahead.
    pub ahead: u32,
    /// Calls that this VM starts a second for calls in this place; `None` if too few were observed.
    pub rate: Option<f64>,
    /// Time until the latest start with which the call can complete.
    pub time_left: Duration,
}

/// Waiting stream calls of one service.
#[derive(Debug)]
pub struct DispatchQueue<T> {
    limits: QueueLimits,
    /// Sorted by priority.
    ranks: Vec<Rank>,
    calls: HashMap<u64, WaitingCall<T>>,
    /// When the latest start of each call passes: first that for its target, then that for its deadline.
    /// Calls that have left are skipped.
    timers: BinaryHeap<Reverse<(Instant, u64)>>,
    /// Calls whose latest start has passed.
    expired: Vec<T>,
    starts: EventRate,
    bytes: usize,
    next_number: u64,
}

/// Waiting calls of one priority.
#[derive(Debug)]
struct Rank {
    priority: u8,
    on_time: FairQueue<u64>,
    late: FairQueue<u64>,
    /// Accepted calls that could be on time.
    arrivals: EventRate,
    /// When a call last waited that could be on time.
    on_time_waited: Option<Instant>,
}

impl Rank {
    fn is_empty(&self) -> bool {
        self.on_time.is_empty() && self.late.is_empty()
    }

    /// Whether a call that could be on time waited lately.
    fn holds_late(&self, now: Instant) -> bool {
        self.on_time_waited
            .is_some_and(|at| now.since(at) < LATE_HOLD)
    }
}

#[derive(Debug)]
struct WaitingCall<T> {
    arrival: StreamArrival,
    is_late: bool,
    place: Ticket,
    item: T,
}

/// Calls ahead of a new one and the rate at which they start.
#[derive(Clone, Copy, Debug)]
struct Forecast {
    ahead: u32,
    rate: Option<f64>,
}

impl Forecast {
    /// Time until the call starts; `None` if the rate is unknown.
    fn wait(self) -> Option<Duration> {
        let starts = f64::from(self.ahead + 1);
        let seconds = (starts + FORECAST_DEVIATIONS * starts.sqrt()) / self.rate?;
        let seconds = seconds.min(MAX_FORECAST.as_secs_f64());
        Some(Duration::from_secs_f64(seconds))
    }

    /// Whether the call is expected to start by `latest`. For the first one in line, the starts of a single VM tell
    /// little: other VMs' streams end as well.
    fn allows(self, latest: Instant, now: Instant) -> bool {
        let in_time = match self.wait() {
            Some(wait) => self.ahead == 0 || now.after(wait) <= latest,
            None => self.ahead < UNKNOWN_RATE_CALLS,
        };
        in_time && now <= latest
    }
}

impl<T> DispatchQueue<T> {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(limits: QueueLimits) -> Self {
        Self {
            limits,
            ranks: Vec::new(),
            calls: HashMap::new(),
            timers: BinaryHeap::new(),
            expired: Vec::new(),
            starts: EventRate::default(),
            bytes: 0,
            next_number: 0,
        }
    }

    /// Number of waiting calls.
    #[must_use]
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Returns whether no call waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Size of the bodies of all waiting calls.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Number of waiting calls of each priority that has had any.
    pub fn len_by_priority(&self) -> impl Iterator<Item = (u8, usize)> {
        self.ranks
            .iter()
            .map(|rank| (rank.priority, rank.on_time.len() + rank.late.len()))
    }

    /// Returns whether no waiting call goes before one that arrives now.
    #[must_use]
    pub fn is_first(&self, arrival: &StreamArrival, now: Instant) -> bool {
        let late = arrival.latest_start_on_time() < now;
        self.ranks
            .iter()
            .all(|rank| match rank.priority.cmp(&arrival.priority) {
                Ordering::Less => rank.is_empty(),
                Ordering::Equal if late => rank.is_empty() && !rank.holds_late(now),
                Ordering::Equal => rank.on_time.is_empty(),
                Ordering::Greater => true,
            })
    }

    /// Records that a call started without waiting.
    pub fn record_start(&mut self, arrival: &StreamArrival, now: Instant) {
        self.starts.record(now);
        if now <= arrival.latest_start_on_time() {
            self.rank(arrival.priority).arrivals.record(now);
        }
    }

    /// Queues a call if it is expected to start in time to complete.
    ///
    /// # Errors
    ///
    /// Returns the refusal of a call that cannot, or for which there is no space.
    pub fn offer(
        &mut self,
        arrival: StreamArrival,
        item: T,
        now: Instant,
    ) -> Result<Admission, OverloadRefusal> {
        self.update(now);
        let on_time = self.forecast_on_time(&arrival, now);
        let is_late = !on_time.allows(arrival.latest_start_on_time(), now);
        let (forecast, cause) = if is_late {
            let late = self.forecast_late(&arrival, now);
            let in_time = late.allows(arrival.latest_start(), now);
            let cause = (!in_time).then_some(OverloadCause::Forecast);
            (late, cause)
        } else {
            (on_time, None)
        };
        if let Some(cause) = self.exceeded_limit(&arrival).or(cause) {
            let wait = forecast.wait().unwrap_or(UNKNOWN_RETRY_AFTER);
            return Err(OverloadRefusal {
                cause,
                retry_after: wait.max(MIN_RETRY_AFTER),
                ahead: forecast.ahead,
                rate: forecast.rate,
                time_left: arrival.latest_start().since(now),
            });
        }
        let number = self.next_number;
        self.next_number += 1;
        if !is_late {
            self.rank(arrival.priority).arrivals.record(now);
        }
        self.bytes += arrival.bytes;
        // A call that could still be on time keeps its place, in case capacity returns.
        self.insert(number, arrival, item, now);
        Ok(Admission {
            ticket: DispatchTicket(number),
            ahead: forecast.ahead,
            expected: forecast.wait(),
        })
    }

    /// Takes the next call for which `select` finds room. A call is not tried if one that needs no more
    /// room has found none.
    pub fn next<U>(
        &mut self,
        now: Instant,
        mut select: impl FnMut(&T) -> Option<U>,
    ) -> Option<(T, U)> {
        self.update(now);
        let options = PopOptions {
            teams: MAX_TRIES,
            ..PopOptions::default()
        };
        let least_urgent = self.ranks.iter().rposition(|rank| !rank.is_empty())?;
        let (calls, mut tries) = (&self.calls, 0);
        let mut ranks = self.ranks.iter_mut().enumerate();
        let (number, selected) = ranks.find_map(|(index, rank)| {
            // More urgent calls may use room that is kept from the others, so each priority is tried by itself.
            let mut without_room = u32::MAX;
            let mut try_call = |number: &u64| {
                let call = calls.get(number)?;
                if call.arrival.tokens >= without_room || tries == MAX_TRIES {
                    return None;
                }
                tries += 1;
                let selected = select(&call.item);
                if selected.is_none() {
                    without_room = call.arrival.tokens;
                }
                selected
            };
            let on_time = rank.on_time.pop_where(now, options, &mut try_call);
            // Late calls are held back for calls on time of their own priority, not for less urgent ones.
            if on_time.is_some() || (index == least_urgent && rank.holds_late(now)) {
                return on_time;
            }
            rank.late.pop_where(now, options, &mut try_call)
        })?;
        let call = self.calls.remove(&number)?;
        self.bytes -= call.arrival.bytes;
        self.starts.record(now);
        Some((call.item, selected))
    }

    /// Removes a call whose caller has left; `None` if it no longer waits.
    pub fn withdraw(&mut self, ticket: DispatchTicket) -> Option<T> {
        let call = self.remove(ticket.0)?;
        Some(call.item)
    }

    /// Removes the calls that can no longer complete.
    pub fn expire(&mut self, now: Instant) -> Vec<T> {
        self.update(now);
        if self.calls.is_empty() && self.starts.count(now) == 0 {
            // Otherwise teams of all earlier configurations would stay in memory.
            for rank in &mut self.ranks {
                rank.on_time.evict_teams_if_empty();
                rank.late.evict_teams_if_empty();
            }
            self.timers.clear();
        }
        std::mem::take(&mut self.expired)
    }

    /// Removes all calls.
    pub fn remove_all(&mut self) -> Vec<T> {
        let mut numbers = self.calls.keys().copied().collect::<Vec<_>>();
        numbers.sort_unstable();
        let mut items = std::mem::take(&mut self.expired);
        items.extend(
            numbers
                .into_iter()
                .filter_map(|number| self.remove(number))
                .map(|call| call.item),
        );
        items
    }

    /// Moves calls that can no longer meet their target behind the others, and takes out those that can no
    /// longer complete.
    fn update(&mut self, now: Instant) {
        for rank in &mut self.ranks {
            if !rank.on_time.is_empty() {
                rank.on_time_waited = Some(now);
            }
        }
        while let Some(Reverse((time, number))) = self.timers.peek().copied() {
            if time >= now {
                return;
            }
            self.timers.pop();
            if let Some(call) = self.remove(number) {
                if call.arrival.latest_start() < now {
                    self.expired.push(call.item);
                } else {
                    self.bytes += call.arrival.bytes;
                    self.insert(number, call.arrival, call.item, now);
                }
            }
        }
    }

    fn insert(&mut self, number: u64, arrival: StreamArrival, item: T, now: Instant) {
        let is_late = arrival.latest_start_on_time() < now;
        let rank = self.rank(arrival.priority);
        let (queue, latest) = if is_late {
            (&mut rank.late, arrival.latest_start())
        } else {
            (&mut rank.on_time, arrival.latest_start_on_time())
        };
        let place = queue.push_by_time(&arrival.team, arrival.cost(), latest, number);
        self.timers.push(Reverse((latest, number)));
        if self.timers.len() > 2 * self.calls.len() + 64 {
            // Otherwise the timers of calls that have started would accumulate until their deadlines.
            let calls = &self.calls;
            self.timers
                .retain(|Reverse((_, other))| *other == number || calls.contains_key(other));
        }
        let call = WaitingCall {
            arrival,
            is_late,
            place,
            item,
        };
        self.calls.insert(number, call);
    }

    fn remove(&mut self, number: u64) -> Option<WaitingCall<T>> {
        let call = self.calls.remove(&number)?;
        self.bytes -= call.arrival.bytes;
        let rank = self.rank(call.arrival.priority);
        let queue = if call.is_late {
            &mut rank.late
        } else {
            &mut rank.on_time
        };
        queue.remove(call.place);
        Some(call)
    }

    fn rank(&mut self, priority: u8) -> &mut Rank {
        let index = match self.ranks.binary_search_by_key(&priority, |r| r.priority) {
            Ok(index) => index,
            Err(index) => {
                let rank = Rank {
                    priority,
                    on_time: FairQueue::default(),
                    late: FairQueue::default(),
                    arrivals: EventRate::default(),
                    on_time_waited: None,
                };
                self.ranks.insert(index, rank);
                index
            }
        };
        &mut self.ranks[index]
    }

    fn exceeded_limit(&self, arrival: &StreamArrival) -> Option<OverloadCause> {
        let is_most_urgent = self
            .ranks
            .first()
            .is_none_or(|rank| arrival.priority <= rank.priority);
        let share = |limit: usize| {
            let (numerator, denominator) = LESS_URGENT_SHARE;
            if is_most_urgent {
                limit
            } else {
                limit * numerator / denominator
            }
        };
        if self.calls.len() >= share(self.limits.calls) {
            return Some(OverloadCause::Calls);
        }
        let bytes = self.bytes + arrival.bytes;
        (bytes > share(self.limits.bytes)).then_some(OverloadCause::Bytes)
    }

    /// Forecast for a call that goes before those of its priority that cannot meet their target.
    fn forecast_on_time(&self, arrival: &StreamArrival, now: Instant) -> Forecast {
        let (mut ahead, mut arrivals) = (0, 0.0);
        for rank in &self.ranks {
            if rank.priority < arrival.priority {
                ahead += count(rank.on_time.len() + rank.late.len());
                arrivals += rank.arrivals.per_second(now);
            } else if rank.priority == arrival.priority {
                let latest = arrival.latest_start_on_time();
                ahead += rank.on_time.requests_ahead_of(&arrival.team, latest);
            }
        }
        self.forecast(ahead, arrivals, now)
    }

    /// Forecast for a call that goes after those of its priority that can meet their target.
    fn forecast_late(&self, arrival: &StreamArrival, now: Instant) -> Forecast {
        let (mut ahead, mut arrivals) = (0, 0.0);
        let ranks = self.ranks.iter();
        for rank in ranks.filter(|rank| rank.priority <= arrival.priority) {
            ahead += count(rank.on_time.len());
            arrivals += rank.arrivals.per_second(now);
            if rank.priority < arrival.priority {
                ahead += count(rank.late.len());
            } else {
                let latest = arrival.latest_start();
                ahead += rank.late.requests_ahead_of(&arrival.team, latest);
            }
        }
        self.forecast(ahead, arrivals, now)
    }

    fn forecast(&self, ahead: u32, arrivals_first: f64, now: Instant) -> Forecast {
        let is_known = self.starts.count(now) >= MIN_STARTS;
        let rate = is_known.then(|| (self.starts.per_second(now) - arrivals_first).max(0.0));
        Forecast { ahead, rate }
    }
}

fn count(len: usize) -> u32 {
    u32::try_from(len).unwrap_or(u32::MAX)
}

/// Number of events in the last seconds.
#[derive(Clone, Debug, Default)]
struct EventRate {
    /// Number of each part of the time, and of the events in it.
    parts: [(u64, u32); RATE_PARTS],
    /// First event after a time without any.
    since: Option<Instant>,
}

impl EventRate {
    fn record(&mut self, now: Instant) {
        if self.count(now) == 0 {
            self.since = Some(now);
        }
        let number = part_number(now);
        let index = usize::try_from(number).unwrap_or_default() % RATE_PARTS;
        let part = &mut self.parts[index];
        if part.0 != number {
            *part = (number, 0);
        }
        part.1 = part.1.saturating_add(1);
    }

    fn count(&self, now: Instant) -> u32 {
        let number = part_number(now);
        let recent = self
            .parts
            .iter()
            .filter(|part| part.0 + RATE_PARTS as u64 > number);
        recent.map(|part| part.1).sum()
    }

    fn per_second(&self, now: Instant) -> f64 {
        let Some(since) = self.since else {
            return 0.0;
        };
        let whole_parts = RATE_PART * u32::try_from(RATE_PARTS - 1).unwrap_or(u32::MAX);
        let first_part = Instant(RATE_PART * u32::try_from(part_number(now)).unwrap_or(u32::MAX));
        let observed = now.since(since).min(now.since(first_part) + whole_parts);
        f64::from(self.count(now)) / observed.max(RATE_PART).as_secs_f64()
    }
}

fn part_number(now: Instant) -> u64 {
    u64::try_from(now.0.as_millis() / RATE_PART.as_millis()).unwrap_or(u64::MAX)
}
