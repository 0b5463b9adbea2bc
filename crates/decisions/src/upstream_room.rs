//! What a VM knows of the free capacity of one upstream process.
//!
//! Load pattern: more calls than the engines have memory for. Each run holds its prompt and what it generates; beyond
//! nine runs an engine preempts some and reads their prompts again later. The calls that a VM knows of are promised
//! their full size, because a run grows to it while later ones are placed.
//!
//! Reports come late, so what this VM dispatched shortly before a report or after it is counted beside the report.

use super::*;

/// How long a report of an upstream counts.
const REPORT_MAX_AGE: Duration = Duration::from_millis(1500);

/// How long a report shows that an upstream whose other calls are unknown was full. Runs last 6 s and more.
const FULL_PERIOD: Duration = Duration::from_secs(5);

/// How late a report is: calls that were sent this long before it may be missing in it.
const REPORT_LAG: Duration = Duration::from_millis(300);

/// How long room that was selected is kept for a call that has not been sent. The send follows the selection within a
/// few milliseconds, or of some hundred on a VM that waits for a processor.
const RESERVATION_PERIOD: Duration = Duration::from_millis(250);

/// Minimum share of a prompt that counts as not prefilled until its first event arrives.
const UNREAD_SHARE: f64 = 0.125;

/// Share of a call's prompt that the prompts ahead of it may take at an engine: one waits there while another one is
/// prefilled, so that the engine is not idle, and the others wait in the VMs. Less than 1, because the prefill that
/// other VMs advertise is taken to go on between two heartbeats, also for a prompt whose turn has not come.
const MAX_AHEAD: f64 = 0.7;

/// Prompts shorter than this are treated as this long where the wait at an engine is compared with a prompt.
const MIN_PROMPT: u32 = 1000;

/// Size of a call, in tokens.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CallSize {
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Maximum number of tokens to generate.
    pub max_generated: u32,
}

impl CallSize {
    /// Memory that the call takes.
    #[must_use]
    pub fn tokens(self) -> u32 {
        self.prompt.saturating_add(self.max_generated)
    }
}

/// What is known of an upstream beside the reports and the runs in [`UpstreamRoom`].
#[derive(Clone, Copy, Debug, Default)]
pub struct KnownLoad {
    /// Calls of this VM there.
    pub own_calls: u32,
    /// Calls of other VMs, as they advertise them.
    pub peer_calls: u32,
    /// Tokens promised to calls and KV copies of other VMs, as they advertise them.
    pub peer_tokens: u32,
    /// Time until the prompts of other VMs are prefilled.
    pub peer_prefill: Duration,
    /// Whether all VMs with calls there advertise them to this VM.
    pub is_complete: bool,
    /// Configured memory.
    pub capacity: Option<u32>,
    /// Configured slots.
    pub slots: u32,
}

/// What a call can expect of an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoomEstimate {
    /// Time until prompts ahead of the call are prefilled.
    pub ahead: Duration,
    /// Time until the call's first event.
    pub first_event: Duration,
    /// Time until the call's end.
    pub end: Duration,
    /// Memory that is not promised, without the call.
    pub free_tokens: u32,
    /// Memory in total; the maximum if it is unknown.
    pub total_tokens: u32,
    /// Slots that are free, without the call.
    pub free_slots: u32,
    /// Calls there.
    pub calls: u32,
    /// Age of the last report, if it still counts.
    pub age: Option<Duration>,
    /// Whether there was no room for such a call at the last report, if there was one lately.
    pub was_full: Option<bool>,
    /// Whether the call may be sent as far as slots and the wait at the upstream are concerned.
    is_open: bool,
}

impl RoomEstimate {
    /// Whether the upstream has room for a call of `tokens` that leaves `reserve` tokens free.
    #[must_use]
    pub fn has_room(&self, tokens: u32, reserve: u32) -> bool {
        self.is_open && self.leaves(tokens, reserve)
    }

    /// Whether `tokens` fit into the memory and leave `reserve` tokens free.
    #[must_use]
    pub fn leaves(&self, tokens: u32, reserve: u32) -> bool {
        // The largest calls fit into an idle upstream only, and leave nothing free.
        let needed = tokens.saturating_add(reserve).min(self.total_tokens);
        self.free_tokens >= needed
    }
}

/// Identifies a run of this VM on an upstream.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RoomRun(u64);

/// A run of this VM.
#[derive(Clone, Copy, Debug)]
struct OwnRun {
    id: RoomRun,
    tokens: u32,
    sent_at: Instant,
    /// What is left to prefill; `None` once an event has arrived.
    unread: Option<UnreadPrompt>,
}

#[derive(Clone, Copy, Debug)]
struct UnreadPrompt {
    tokens: u32,
    /// Tokens of other prompts that were ahead of it when it was sent.
    ahead: f64,
    /// When the first event is expected.
    due: Instant,
}

/// Room of one upstream process.
#[derive(Clone, Debug, Default)]
pub struct UpstreamRoom {
    load: Option<(LoadSample, Instant)>,
    memory: Option<(KvMemory, Instant)>,
    slots: Option<u32>,
    speed: EngineSpeed,
    /// Whether an unreadable figure of this process was logged.
    logged_unreadable: bool,
    runs: Vec<OwnRun>,
    next_run: u64,
    /// Sum of the tokens of the runs. Callers state them, so the sum may exceed any memory.
    run_tokens: u64,
    /// Tokens promised to KV copies.
    copy_tokens: u32,
    /// Tokens of runs that have ended since the last report of the memory.
    ended_tokens: u32,
    /// Calls for which the upstream was selected and that were not sent yet.
    reservations: Vec<(CallSize, Instant)>,
    /// Whether a run there has produced an event.
    has_produced: bool,
}

impl UpstreamRoom {
    /// Records a report of the upstream. Returns the figure that cannot be read, for the first such report.
    pub fn record_report(
        &mut self,
        load: Option<LoadSample>,
        room: RoomReport,
        now: Instant,
    ) -> Option<ReportFigure> {
        self.load = load.map(|load| (load, now)).or(self.load);
        self.slots = room.slots.or(self.slots);
        if let Some(memory) = room.memory {
            self.memory = Some((memory, now));
            self.ended_tokens = 0;
        }
        if let Some(slowdown) = room.slowdown {
            self.speed.record_statement(slowdown, now);
        }
        let figure = room.unreadable?;
        (!std::mem::replace(&mut self.logged_unreadable, true)).then_some(figure)
    }

    /// The calls that the upstream reported last, if that was within `max_age`.
    #[must_use]
    pub fn reported_load(&self, max_age: Duration, now: Instant) -> Option<LoadSample> {
        let (load, at) = self.load?;
        (now.since(at) < max_age).then_some(load)
    }

    /// The calls that the upstream reported last, with the time of the report.
    #[must_use]
    pub fn last_load(&self) -> Option<(LoadSample, Instant)> {
        self.load
    }

    /// Whether the upstream stated its current speed within `max_age`.
    #[must_use]
    pub fn states_speed(&self, max_age: Duration, now: Instant) -> bool {
        self.speed.is_stated(max_age, now)
    }

    /// Speed of the upstream.
    #[must_use]
    pub fn speed(&self) -> &EngineSpeed {
        &self.speed
    }

    /// Keeps room for a call that the upstream was selected for, until it is sent.
    pub fn reserve(&mut self, size: CallSize, now: Instant) {
        self.reservations
            .retain(|(_, at)| now.since(*at) < RESERVATION_PERIOD);
        self.reservations.push((size, now));
    }

    /// Records the start of a run, with the prompt tokens to prefill for it and the time that prompts of other VMs
    /// take before.
    pub fn run_started(
        &mut self,
        size: CallSize,
        prefill: u32,
        peer_prefill: Duration,
        now: Instant,
    ) -> RoomRun {
        if let Some(index) = self.reservations.iter().position(|(kept, _)| *kept == size) {
            self.reservations.remove(index);
        }
        let ahead_time = self.prefill_left(now) + peer_prefill;
        let rate = self.speed.tokens_per_ms(now);
        let id = RoomRun(self.next_run);
        self.next_run += 1;
        self.run_tokens += u64::from(size.tokens());
        self.runs.push(OwnRun {
            id,
            tokens: size.tokens(),
            sent_at: now,
            unread: (prefill > 0).then(|| UnreadPrompt {
                tokens: prefill,
                ahead: ahead_time.as_secs_f64() * 1000.0 * rate,
                due: now
                    .after(ahead_time)
                    .after(self.speed.prefill_time(f64::from(prefill), now)),
            }),
        });
        id
    }

    /// Records that a run has produced its first event.
    pub fn first_event(&mut self, run: RoomRun, now: Instant) {
        let Some(found) = self.runs.iter_mut().find(|other| other.id == run) else {
            return;
        };
        let sent_at = found.sent_at;
        let Some(read) = found.unread.take() else {
            return;
        };
        self.has_produced = true;
        let tokens = read.ahead + f64::from(read.tokens);
        self.speed.record_prefill(tokens, now.since(sent_at));
        // The prompts behind it are prefilled as much earlier or later.
        let (early, late) = (read.due.since(now), now.since(read.due));
        for other in self.runs.iter_mut().filter_map(|run| run.unread.as_mut()) {
            if other.due >= read.due {
                other.due = Instant(other.due.0.saturating_sub(early)).after(late);
            }
        }
    }

    /// Records the end of a run.
    pub fn run_ended(&mut self, run: RoomRun) {
        if let Some(index) = self.runs.iter().position(|other| other.id == run) {
            let ended = self.runs.swap_remove(index);
            self.run_tokens -= u64::from(ended.tokens);
            let is_reported = |(_, at): (KvMemory, Instant)| ended.sent_at.after(REPORT_LAG) <= at;
            if self.memory.is_some_and(is_reported) {
                self.ended_tokens = self.ended_tokens.saturating_add(ended.tokens);
            }
        }
    }

    /// Records that the upstream keeps a KV copy for a call.
    pub fn copy_added(&mut self, tokens: u32) {
        self.copy_tokens = self.copy_tokens.saturating_add(tokens);
    }

    /// Records that the upstream no longer keeps a KV copy for a call.
    pub fn copy_removed(&mut self, tokens: u32) {
        self.copy_tokens = self.copy_tokens.saturating_sub(tokens);
    }

    /// Tokens promised to runs and KV copies of this VM.
    #[must_use]
    pub fn promised_tokens(&self) -> u32 {
        let tokens = self.run_tokens + u64::from(self.copy_tokens);
        u32::try_from(tokens).unwrap_or(u32::MAX)
    }

    /// Whether a prompt of this VM is not prefilled yet.
    #[must_use]
    pub fn has_unread(&self, now: Instant) -> bool {
        self.runs.iter().any(|run| run.unread.is_some()) || self.reserved(now).next().is_some()
    }

    /// Time that the prompts of this VM take which are not prefilled yet. Each takes its full time until its turn
    /// comes, and some until its first event arrives.
    #[must_use]
    pub fn prefill_left(&self, now: Instant) -> Duration {
        let unread = self.runs.iter().filter_map(|run| run.unread.as_ref());
        let left = unread.map(|prompt| {
            let whole = self.speed.prefill_time(f64::from(prompt.tokens), now);
            prompt
                .due
                .since(now)
                .clamp(whole.mul_f64(UNREAD_SHARE), whole)
        });
        let reserved = self.reserved(now);
        let reserved = reserved.map(|size| self.speed.prefill_time(f64::from(size.prompt), now));
        left.chain(reserved).sum()
    }

    fn reserved(&self, now: Instant) -> impl Iterator<Item = CallSize> {
        self.reservations
            .iter()
            .filter(move |(_, at)| now.since(*at) < RESERVATION_PERIOD)
            .map(|(size, _)| *size)
    }

    /// Runs that a report received at `at` may lack.
    fn sent_since(&self, at: Instant) -> impl Iterator<Item = &OwnRun> {
        self.runs
            .iter()
            .filter(move |run| run.sent_at.after(REPORT_LAG) > at)
    }

    /// What a call can expect. `cached` is how much of its prompt the upstream has in its prefix cache.
    #[must_use]
    pub fn estimate(
        &self,
        call: CallSize,
        cached: u32,
        known: &KnownLoad,
        now: Instant,
    ) -> RoomEstimate {
        let fresh = |at: Instant| now.since(at) < REPORT_MAX_AGE;
        let report = self.load.filter(|(_, at)| fresh(*at));
        let (reserved_calls, reserved_tokens) = self.reserved(now).fold((0, 0_u32), |sum, size| {
            (sum.0 + 1, sum.1.saturating_add(size.tokens()))
        });
        let own_calls = known.own_calls + reserved_calls;
        let mut calls = own_calls.saturating_add(known.peer_calls);
        let mut used = self.promised_tokens();
        used = used.saturating_add(known.peer_tokens);
        used = used.saturating_add(reserved_tokens);
        let prompt = call.prompt.max(MIN_PROMPT);
        let one_prompt = self.speed.prefill_time(f64::from(prompt), now);
        let mut ahead = self.prefill_left(now) + known.peer_prefill;
        if let Some((load, at)) = report {
            let waiting = one_prompt * load.waiting;
            ahead = ahead.max(waiting.saturating_sub(now.since(at)));
            if !known.is_complete {
                let since = u32::try_from(self.sent_since(at).count()).unwrap_or(u32::MAX);
                let reported = load.calls().saturating_add(since + reserved_calls);
                // The calls of other VMs are taken to be as large as this one.
                let others = reported.saturating_sub(calls);
                used = used.saturating_add(others.saturating_mul(call.tokens()));
                calls = calls.max(reported);
            }
        }
        if let Some((memory, at)) = self.memory.filter(|(_, at)| fresh(*at)) {
            let since = self.sent_since(at).map(|run| run.tokens);
            let since = since.fold(0, u32::saturating_add);
            let reported = memory.used.saturating_sub(self.ended_tokens);
            used = used.max(
                reported
                    .saturating_add(since)
                    .saturating_add(reserved_tokens),
            );
        }
        let capacity = self.memory.map(|(memory, _)| memory.total);
        let total_tokens = capacity.or(known.capacity).unwrap_or(u32::MAX);
        let free_tokens = match capacity.or(known.capacity) {
            Some(capacity) => capacity.saturating_sub(used),
            None => u32::MAX,
        };
        let slots = self.slots.unwrap_or(known.slots);
        let was_full = self.reported_load(FULL_PERIOD, now).map(|load| {
            let calls = load.calls();
            calls >= slots || calls.saturating_add(1).saturating_mul(call.tokens()) > total_tokens
        });
        let free_slots = slots.saturating_sub(calls);
        let is_proven = self.has_produced || self.load.is_some();
        // Where other VMs' calls are not known, one of them may be sending a prompt too.
        let max_ahead = if is_proven && known.is_complete {
            one_prompt.mul_f64(MAX_AHEAD)
        } else {
            Duration::from_nanos(1)
        };
        let uncached = f64::from(call.prompt.saturating_sub(cached));
        let first_event = ahead + self.speed.prefill_time(uncached, now);
        let decode = self
            .speed
            .decode_time(call.max_generated, call.prompt, calls, now);
        RoomEstimate {
            ahead,
            first_event,
            end: first_event + decode,
            free_tokens,
            total_tokens,
            free_slots,
            calls,
            was_full,
            age: report.map(|(_, at)| now.since(at)),
            is_open: free_slots > 0 && ahead < max_ahead,
        }
    }
}
