use super::*;
use std::{cmp::Reverse, collections::BinaryHeap};

/// The queued requests of one lane and their latest starts.
#[derive(Debug)]
pub(crate) struct LaneQueue<T> {
    pub(crate) queue: FairQueue<Queued<T>>,
    pub(crate) service_time: ServiceTime,
    /// Latest starts in ascending order; entries of requests that are no longer queued are skipped.
    expiries: BinaryHeap<Reverse<(Instant, Ticket)>>,
}

impl<T> Default for LaneQueue<T> {
    fn default() -> Self {
        Self {
            queue: FairQueue::default(),
            service_time: ServiceTime::default(),
            expiries: BinaryHeap::new(),
        }
    }
}

impl<T> LaneQueue<T> {
    /// Queues a request that must start by `latest_start`.
    pub(crate) fn push(
        &mut self,
        arrival: &Arrival,
        latest_start: Instant,
        request: Queued<T>,
    ) -> Ticket {
        let ticket = self.queue.push(&arrival.team, arrival.cost, request);
        self.expiries.push(Reverse((latest_start, ticket)));
        self.compact();
        ticket
    }

    /// Earliest time at which a queued request may expire.
    pub(crate) fn next_expiry(&self) -> Option<Instant> {
        Some(self.expiries.peek()?.0.0)
    }

    /// Removes a request whose latest start has passed.
    pub(crate) fn take_expired(&mut self, now: Instant) -> Option<Queued<T>> {
        while let Some(Reverse((latest_start, ticket))) = self.expiries.peek().copied() {
            if latest_start > now {
                return None;
            }
            self.expiries.pop();
            if let Some(request) = self.queue.remove(ticket) {
                return Some(request);
            }
        }
        None
    }

    /// Drops the entries of requests that are no longer queued once they are the majority.
    /// Otherwise those with long deadlines would accumulate for hours.
    fn compact(&mut self) {
        if self.expiries.len() > 2 * self.queue.len() + 64 {
            let Self {
                queue, expiries, ..
            } = self;
            expiries.retain(|Reverse((_, ticket))| queue.contains(*ticket));
        }
    }
}
