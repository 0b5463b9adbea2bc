use super::*;
use std::collections::VecDeque;

/// The latest events of this process, in memory: VMs have no disks.
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

/// An event with its place in the order over all processes.
#[derive(Clone, Debug, PartialEq)]
pub struct TimelineRecord {
    /// When, by the hybrid logical clock.
    pub time: HybridTime,
    /// What.
    pub event: Event,
}

/// Which events of a time line are wanted; absent fields admit all.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TimelineQuery {
    /// Only those of this request.
    pub request: Option<RequestId>,
    /// Only those on this upstream.
    pub upstream: Option<UpstreamId>,
    /// Only those at or after this time.
    pub since: Option<HybridTime>,
}

/// Events that a query found.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TimelineExtract {
    /// Records in order.
    pub records: Vec<TimelineRecord>,
    /// Records that the ring has lost to newer ones since the process started.
    pub overwritten: u64,
}

impl Timeline {
    /// An empty time line of `capacity` events at most.
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

    /// Records an event.
    pub fn record(&self, event: Event) {
        let mut ring = self.ring.lock();
        // Read under the lock, so that the ring is in the order of the clock.
        let time = self.clock.tick();
        if ring.records.len() == self.capacity {
            ring.records.pop_front();
            ring.overwritten += 1;
        }
        ring.records.push_back(TimelineRecord { time, event });
    }

    /// The events that a query asks for.
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
                .filter(|r| query.admits(&r.event))
                .cloned()
                .collect(),
            overwritten: ring.overwritten,
        }
    }

    /// VM whose events these are.
    #[must_use]
    pub fn vm(&self) -> &VmId {
        &self.vm
    }

    /// Its availability zone.
    #[must_use]
    pub fn zone(&self) -> &AvailabilityZone {
        &self.zone
    }

    /// The clock that orders them.
    #[must_use]
    pub fn clock(&self) -> &Arc<ProcessClock> {
        &self.clock
    }
}

impl TimelineQuery {
    fn admits(&self, event: &Event) -> bool {
        let request = self.request.is_none() || event.request == self.request;
        let upstream = self.upstream.is_none() || event.upstream == self.upstream;
        request && upstream
    }
}
