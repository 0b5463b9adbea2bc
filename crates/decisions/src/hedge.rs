//! Hedging: sends a quick idempotent call that takes long to a second upstream.
//!
//! Load pattern: one upstream of many responds slowly for a moment, because of a pause or a long job
//! beside the call. Without hedging the slowest upstream determines every caller's p99. A call that
//! has waited longer than the p95 of the recent calls of its service is sent once more, to another
//! upstream; the first response is used and the other call is cancelled. When all upstreams are slow,
//! hedges would double the load that made them slow, so they are taken from a budget that calls replenish.
//!
//! One call in twenty exceeds the p95, so a budget of one hedge per 20 calls does not bind while one
//! upstream is slow, and limits the extra load when all are. A window of 256 calls is the shortest
//! whose p95 rests on a dozen late calls. If one of only a few upstreams is slow, the p95 is that
//! upstream's own latency; then the choice of the upstream helps, and hedging does not. The tests in
//! `tests/hedge.rs` check these rules.

use super::*;

/// Settings of a [`Hedge`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HedgeConfig {
    /// Number of latest calls that the p95 is taken from.
    pub window: usize,
    /// Number of completed calls required before the first hedge.
    pub min_calls: usize,
    /// Number of completed calls that earn one hedge.
    pub calls_per_hedge: u32,
    /// Maximum number of hedges that can accumulate in the budget.
    pub burst: u32,
}

impl Default for HedgeConfig {
    fn default() -> Self {
        Self {
            window: 256,
            min_calls: 40,
            calls_per_hedge: 20,
            burst: 5,
        }
    }
}

/// Latency and hedge budget of one service's quick idempotent calls.
#[derive(Clone, Debug, Default)]
pub struct Hedge {
    cfg: HedgeConfig,
    /// Ring buffer of latencies; the oldest one is at `oldest`.
    recent: Vec<Duration>,
    oldest: usize,
    sorted: Vec<Duration>,
    credit: u32,
}

impl Hedge {
    /// A hedge without recorded latencies and with an empty budget.
    #[must_use]
    pub fn new(cfg: HedgeConfig) -> Self {
        Self {
            cfg,
            ..Self::default()
        }
    }

    /// Records the latency of a completed call. For a hedged call this is the time since the original
    /// call was sent.
    pub fn record_latency(&mut self, latency: Duration) {
        let max_credit = self.cfg.burst * self.cfg.calls_per_hedge;
        self.credit = (self.credit + 1).min(max_credit);
        if self.recent.len() < self.cfg.window {
            self.recent.push(latency);
        } else {
            let old = std::mem::replace(&mut self.recent[self.oldest], latency);
            self.oldest = (self.oldest + 1) % self.cfg.window;
            let i = self.sorted.partition_point(|known| *known < old);
            self.sorted.remove(i);
        }
        let i = self.sorted.partition_point(|known| *known <= latency);
        self.sorted.insert(i, latency);
    }

    /// How long to wait for a response before sending a hedge; `None` until [`HedgeConfig::min_calls`]
    /// calls have completed.
    #[must_use]
    pub fn delay(&self) -> Option<Duration> {
        if self.sorted.len() < self.cfg.min_calls.max(1) {
            return None;
        }
        let i = self.sorted.len() * 95 / 100;
        self.sorted.get(i).copied()
    }

    /// Takes a hedge from the budget; false if the call is not idempotent or the budget is exhausted.
    pub fn try_take(&mut self, idempotent: bool) -> bool {
        if !idempotent || self.credit < self.cfg.calls_per_hedge {
            return false;
        }
        self.credit -= self.cfg.calls_per_hedge;
        true
    }
}
