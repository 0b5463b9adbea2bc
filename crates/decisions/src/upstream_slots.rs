//! Places of one upstream: the limit on it, divided between the lanes.
//!
//! Load pattern: long generations take every place of an engine that quick calls use too. Without a
//! reserve the next quick call waits for a generation to end, for minutes. A fifth of the places is
//! therefore not given to long requests for as long as quick calls have been seen within the last
//! minute; an engine without quick calls is used whole.
//!
//! Teams that have had less than their share are kept apart from those that have not, too. Beside a
//! hot team every place is always taken, and a call of another team waits for one and then inside an
//! upstream that is filled beyond what it runs at once. So its call may be sent beyond the limit by a
//! quarter, and while there are such calls the others are held to what the upstream runs at once.
//!
//! The reserve has to hold the quick calls that run at once, and to leave room for their bursts.

use super::*;

/// Share of the places that is kept for quick calls, as a divisor.
const RESERVE_DIVISOR: u32 = 5;

/// Extra places for quick requests of teams below their share, as a divisor of the limit.
const EXTRA_DIVISOR: u32 = 4;

/// How long after a request of a team below its share the others are held to the base part.
const LIGHT_MEMORY: Duration = Duration::from_secs(1);

/// How long after the last quick call the reserve is kept.
const RESERVE_MEMORY: Duration = Duration::from_secs(60);

/// What an upstream reports of its room.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CapacityReport {
    /// Requests that it runs at once.
    pub capacity: u32,
    /// Requests that wait in it.
    pub waiting: u32,
}

/// The places of one upstream.
#[derive(Clone, Debug, Default)]
pub struct UpstreamSlots {
    limit: ConcurrencyLimit,
    part: Option<u32>,
    /// The part without what makes up for the time that requests travel.
    base_part: Option<u32>,
    in_flight: [u32; Lane::COUNT],
    quick_seen: Option<Instant>,
    light_seen: Option<Instant>,
}

impl UpstreamSlots {
    /// An upstream with nothing in flight.
    #[must_use]
    pub fn new(cfg: ConcurrencyLimitConfig) -> Self {
        Self {
            limit: ConcurrencyLimit::new(cfg),
            ..Self::default()
        }
    }

    /// Takes a load report. The limit is bounded by this node's part of the capacity reported.
    ///
    /// A limit that learns from latency alone learns too late for generations: an engine that was
    /// sent too many stays too full for minutes. And where nodes find their limits each by itself,
    /// one that came late may stay below its part (see `docs/LOAD.md`, rows without load reports).
    pub fn reported(&mut self, report: CapacityReport, share: CapacityShare) {
        let CapacityReport { capacity, waiting } = report;
        self.limit.reported(waiting);
        let part = share.part(capacity, Lane::Quick);
        if self.part.replace(part).is_none() {
            self.limit.start_at(part);
        }
        self.base_part = Some(share.part(capacity, Lane::Long));
    }

    /// Requests that may be in flight.
    #[must_use]
    pub fn limit(&self) -> u32 {
        let limit = self.limit.limit();
        self.part.map_or(limit, |part| limit.min(part))
    }

    /// Whether a request of this lane may be sent there now.
    #[must_use]
    pub fn has_room(&self, now: Instant, lane: Lane) -> bool {
        let total: u32 = self.in_flight.iter().sum();
        let limit = if self.is_shared_with_light(now) {
            self.base_limit()
        } else {
            self.limit()
        };
        total < limit && self.in_flight[lane.index()] < self.share(now, lane)
    }

    /// Whether a quick request of a team that has had less than its share may be sent there now,
    /// though other requests may not.
    #[must_use]
    pub fn has_extra_room(&self) -> bool {
        let total: u32 = self.in_flight.iter().sum();
        let limit = self.limit();
        total < limit + limit.div_ceil(EXTRA_DIVISOR)
    }

    /// Places that this lane may take at most.
    #[must_use]
    pub fn share(&self, now: Instant, lane: Lane) -> u32 {
        let limit = self.limit();
        match lane {
            Lane::Quick => limit,
            Lane::Long => {
                let limit = self.base_limit();
                limit - self.reserve(limit, now)
            }
        }
    }

    /// Requests in flight.
    #[must_use]
    pub fn in_flight(&self, lane: Lane) -> u32 {
        self.in_flight[lane.index()]
    }

    /// Takes a place.
    pub fn enter(&mut self, now: Instant, lane: Lane) {
        self.in_flight[lane.index()] += 1;
        self.note_arrival(now, lane);
    }

    /// Notes that a request of this lane wants a place, so that the reserve is there for the next.
    pub fn note_arrival(&mut self, now: Instant, lane: Lane) {
        if lane == Lane::Quick {
            self.quick_seen = Some(now);
        }
    }

    /// Notes a quick request of a team that has had less than its share. While there are such,
    /// requests of other teams do not fill the upstream beyond what it runs at once.
    pub fn note_light(&mut self, now: Instant) {
        self.light_seen = Some(now);
    }

    /// Gives a place back.
    pub fn leave(&mut self, lane: Lane) {
        let count = &mut self.in_flight[lane.index()];
        *count = count.saturating_sub(1);
    }

    /// Takes the latency until the first part of an answer.
    pub fn answered(&mut self, latency: Duration) {
        let in_flight = self.in_flight.iter().sum();
        self.limit.answered(latency, in_flight);
    }

    /// Notes that the upstream refused for want of room, or did not answer in time.
    pub fn overloaded(&mut self) {
        self.limit.overloaded();
    }

    fn base_limit(&self) -> u32 {
        let limit = self.limit();
        self.base_part.map_or(limit, |part| limit.min(part))
    }

    fn is_shared_with_light(&self, now: Instant) -> bool {
        self.light_seen
            .is_some_and(|seen| now.since(seen) < LIGHT_MEMORY)
    }

    fn reserve(&self, limit: u32, now: Instant) -> u32 {
        let quick_in_use = self
            .quick_seen
            .is_some_and(|seen| now.since(seen) < RESERVE_MEMORY);
        if quick_in_use && limit > 1 {
            limit.div_ceil(RESERVE_DIVISOR)
        } else {
            0
        }
    }
}
