use super::*;
use std::collections::VecDeque;

/// The latest events of this process, kept in memory because VMs have no disks.
pub struct Timeline {
    vm: VmId,
    zone: AvailabilityZone,
    clock: Arc<ProcessClock>,
    capacity: usize,
    ring: Mutex<Ring>,
}

#[derive(Default)]
struct Ring {
    records: VecDeque<TimelineRecord>,
    overwritten: u64,
}

/// An event with its time, which orders events across all processes.
#[derive(Clone, Debug, PartialEq)]
pub struct TimelineRecord {
    /// Time of the event by the hybrid logical clock.
    pub time: HybridTime,
    /// The recorded event.
    pub event: Event,
}

/// Filter for events of a timeline; an absent field matches all events.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TimelineQuery {
    /// Matches only events of this request.
    pub request: Option<RequestId>,
    /// Matches only events on this upstream.
    pub upstream: Option<UpstreamId>,
    /// Matches only events at or after this time.
    pub since: Option<HybridTime>,
}

/// Result of a query.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TimelineExtract {
    /// Matching records, oldest first.
    pub records: Vec<TimelineRecord>,
    /// Number of records that newer ones have overwritten since the process started.
    pub overwritten: u64,
}

impl Timeline {
    /// Creates an empty timeline that retains at most `capacity` events.
    #[must_use]
    pub fn new(
        vm: VmId,
        zone: AvailabilityZone,
        clock: Arc<ProcessClock>,
        capacity: usize,
    ) -> Self {
        Self {
            vm,
            zone,
            clock,
            capacity: capacity.max(1),
            ring: Mutex::default(),
        }
    }

    /// Records an event with the current time; overwrites the oldest one if the timeline is full.
    pub fn record(&self, event: Event) {
        let mut ring = self.ring.lock();
        // The clock is read under the lock so that the records are sorted by time.
        let time = self.clock.tick();
        if ring.records.len() == self.capacity {
            ring.records.pop_front();
            ring.overwritten += 1;
        }
        ring.records.push_back(TimelineRecord { time, event });
    }

    /// Returns the events that match a query.
    #[must_use]
    pub fn extract(&self, query: &TimelineQuery) -> TimelineExtract {
        let ring = self.ring.lock();
        let start = match query.since {
            Some(since) => ring.records.partition_point(|record| record.time < since),
            None => 0,
        };
        let records = ring.records.range(start..);
        TimelineExtract {
            records: records
                .filter(|r| query.matches(&r.event))
                .cloned()
                .collect(),
            overwritten: ring.overwritten,
        }
    }

    /// Returns the VM that recorded the events.
    #[must_use]
    pub fn vm(&self) -> &VmId {
        &self.vm
    }

    /// Returns the availability zone of the VM.
    #[must_use]
    pub fn zone(&self) -> &AvailabilityZone {
        &self.zone
    }

    /// Returns the clock that gives the events their times.
    #[must_use]
    pub fn clock(&self) -> &Arc<ProcessClock> {
        &self.clock
    }
}

impl TimelineQuery {
    fn matches(&self, event: &Event) -> bool {
        let request = self.request.is_none() || event.request == self.request;
        let upstream = self.upstream.is_none() || event.upstream == self.upstream;
        request && upstream
    }
}
