//! This node's part of a capacity that several nodes use.
//!
//! Load pattern: each of 8 nodes sends as much to an upstream as it takes alone. Eight times too much
//! waits there, where neither deadlines nor fairness reach it. Each node therefore keeps to its part
//! of the capacity.
//!
//! A part is seldom a whole number: 4 places among 3 nodes are 1.33 each. Rounded down, a quarter of
//! the upstream would stay idle; rounded up, half as much again would be sent to it. So each node
//! rounds by a draw that is its own for each upstream, and over all nodes the sum is right on average.
//!
//! Grounds for the figures: a place is idle while its answer and the next request travel. At a
//! millisecond one way and calls of 20 ms that is a tenth of the time. Measured in the row `overload
//! 2x` of `docs/LOAD.md`: with parts that add up to 100 percent of the capacity 0.91 of it is used,
//! with 110 percent 0.95, with 115 percent 0.96, and with 120 percent 0.99.

use super::*;

/// What the parts of all nodes add up to for quick calls, in percent of the capacity.
const PERCENT_QUICK: u64 = 120;

/// The same for generations, which would wait in the upstream for minutes.
const PERCENT_LONG: u64 = 100;

/// How a node finds its part.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CapacityShare {
    /// Nodes that use the upstream, this one among them.
    pub sharers: u32,
    /// The draw of this node for this upstream, evenly from 0 to 999.
    pub draw: u32,
}

impl CapacityShare {
    /// The share of a node among `sharers` at an upstream.
    #[must_use]
    pub fn of(node: &VmId, upstream: &UpstreamId, sharers: u32) -> Self {
        let score = rendezvous_score(node.as_str(), upstream.as_str());
        let draw = u32::try_from(score % 1000).unwrap_or_default();
        Self { sharers, draw }
    }

    /// This node's part of a capacity for requests of a lane; at least one place.
    #[must_use]
    pub fn part(self, capacity: u32, lane: Lane) -> u32 {
        let percent = match lane {
            Lane::Quick => PERCENT_QUICK,
            Lane::Long => PERCENT_LONG,
        };
        let sharers = u64::from(self.sharers.max(1));
        let thousandths = u64::from(capacity) * percent * 10 / sharers;
        let rounded_up = thousandths % 1000 > u64::from(self.draw);
        let part = thousandths / 1000 + u64::from(rounded_up);
        u32::try_from(part).unwrap_or(u32::MAX).max(1)
    }
}
