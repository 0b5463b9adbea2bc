//! Concurrency slots of one upstream, divided between the lanes.
//!
//! Long generations can take every slot of an engine that quick calls use too. Without a reserve the next
//! quick call would wait minutes for a generation to end. A fifth of the slots is therefore withheld from
//! long requests for as long as quick calls have been seen within the last minute; an engine without quick
//! calls is used in full.
//!
//! Teams below their fair share are separated from the others, too. While a busy team keeps
//! every slot taken, a call of another team would wait for a slot and then again inside an upstream that is
//! filled beyond what it runs at once. Such a call may therefore exceed the limit by a quarter, and while
//! there are such calls, the other teams are held to what the upstream runs at once.
//!
//! The reserve has to hold the quick calls that run at once, and to leave room for bursts of them.

use super::*;

/// Divisor of the limit that gives the slots reserved for quick calls.
const RESERVE_DIVISOR: u32 = 5;

/// Divisor of the limit that gives the extra slots for quick requests of teams below their fair share.
const EXTRA_DIVISOR: u32 = 4;

/// How long after a request of a team below its fair share the other teams are limited to the base share.
const BELOW_SHARE_PERIOD: Duration = Duration::from_secs(1);

/// How long after the last quick call the reserve is kept.
const RESERVE_PERIOD: Duration = Duration::from_secs(60);

/// Capacity and queue length that an upstream reports.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CapacityReport {
    /// Number of requests that it runs at once.
    pub capacity: u32,
    /// Number of requests that are queued in it.
    pub waiting: u32,
}

/// Concurrency slots of one upstream.
#[derive(Clone, Debug, Default)]
pub struct UpstreamSlots {
    limit: ConcurrencyLimit,
    /// This VM's share of the reported capacity.
    vm_share: Option<u32>,
    /// The share without the extra slots that compensate for network delays.
    base_share: Option<u32>,
    in_flight: [u32; Lane::COUNT],
    quick_seen: Option<Instant>,
    below_share_seen: Option<Instant>,
}

impl UpstreamSlots {
    /// Creates the slots of an upstream with no request in flight.
    #[must_use]
    pub fn new(cfg: ConcurrencyLimitConfig) -> Self {
        Self {
            limit: ConcurrencyLimit::new(cfg),
            ..Self::default()
        }
    }

    /// Records a load report. The limit is bounded by this VM's share of the reported capacity.
    ///
    /// A limit learned from latency alone adapts too late for generations: an overfilled engine stays
    /// overfilled for minutes. And where VMs find their limits separately, one that joined late may stay
    /// below its share (see `docs/LOAD.md`, rows without load reports).
    pub fn record_report(&mut self, report: CapacityReport, share: CapacityShare) {
        let CapacityReport { capacity, waiting } = report;
        self.limit.record_waiting(waiting);
        let vm_share = share.slots(capacity, Lane::Quick);
        if self.vm_share.replace(vm_share).is_none() {
            self.limit.start_at(vm_share);
        }
        self.base_share = Some(share.slots(capacity, Lane::Long));
    }

    /// Maximum number of requests in flight.
    #[must_use]
    pub fn limit(&self) -> u32 {
        let limit = self.limit.limit();
        self.vm_share.map_or(limit, |share| limit.min(share))
    }

    /// Whether a request of this lane may be sent to the upstream now.
    #[must_use]
    pub fn has_free_slot(&self, now: Instant, lane: Lane) -> bool {
        let total: u32 = self.in_flight.iter().sum();
        let limit = if self.has_recent_below_share(now) {
            self.base_limit()
        } else {
            self.limit()
        };
        total < limit && self.in_flight[lane.index()] < self.lane_limit(now, lane)
    }

    /// Whether a quick request of a team below its fair share may be sent now, even though
    /// other requests may not.
    #[must_use]
    pub fn has_extra_slot(&self) -> bool {
        let total: u32 = self.in_flight.iter().sum();
        let limit = self.limit();
        total < limit + limit.div_ceil(EXTRA_DIVISOR)
    }

    /// Maximum number of slots for this lane.
    #[must_use]
    pub fn lane_limit(&self, now: Instant, lane: Lane) -> u32 {
        let limit = self.limit();
        match lane {
            Lane::Quick => limit,
            Lane::Long => {
                let limit = self.base_limit();
                limit - self.reserve(limit, now)
            }
        }
    }

    /// Number of requests of this lane in flight.
    #[must_use]
    pub fn in_flight(&self, lane: Lane) -> u32 {
        self.in_flight[lane.index()]
    }

    /// Takes a slot for a request of this lane.
    pub fn acquire(&mut self, now: Instant, lane: Lane) {
        self.in_flight[lane.index()] += 1;
        self.record_arrival(now, lane);
    }

    /// Records that a request of this lane wants a slot, so that the reserve is there for the next one.
    pub fn record_arrival(&mut self, now: Instant, lane: Lane) {
        if lane == Lane::Quick {
            self.quick_seen = Some(now);
        }
    }

    /// Records a quick request of a team below its fair share. While there are such requests,
    /// those of other teams do not fill the upstream beyond what it runs at once.
    pub fn record_below_share(&mut self, now: Instant) {
        self.below_share_seen = Some(now);
    }

    /// Returns the slot of a request of this lane.
    pub fn release(&mut self, lane: Lane) {
        let count = &mut self.in_flight[lane.index()];
        *count = count.saturating_sub(1);
    }

    /// Records the latency until the first part of a response.
    pub fn record_latency(&mut self, latency: Duration) {
        let in_flight = self.in_flight.iter().sum();
        self.limit.record_latency(latency, in_flight);
    }

    /// Records that the upstream refused a request because it is full, or did not respond in time.
    pub fn record_overload(&mut self) {
        self.limit.record_overload();
    }

    fn base_limit(&self) -> u32 {
        let limit = self.limit();
        self.base_share.map_or(limit, |share| limit.min(share))
    }

    fn has_recent_below_share(&self, now: Instant) -> bool {
        self.below_share_seen
            .is_some_and(|seen| now.since(seen) < BELOW_SHARE_PERIOD)
    }

    fn reserve(&self, limit: u32, now: Instant) -> u32 {
        let has_recent_quick = self
            .quick_seen
            .is_some_and(|seen| now.since(seen) < RESERVE_PERIOD);
        if has_recent_quick && limit > 1 {
            limit.div_ceil(RESERVE_DIVISOR)
        } else {
            0
        }
    }
}
