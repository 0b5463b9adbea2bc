//! Hedging: a second copy of a quick idempotent call that is late.
//!
//! Load pattern: one upstream of many answers slowly for a moment (a pause, a long job beside it).
//! Without a hedge the slowest upstream sets every caller's p99. Here a call that has waited past
//! the p95 of recent calls of its service is sent once more, to another upstream; the first answer
//! counts and the other call is cancelled. When all upstreams are slow, hedges would double the
//! load that made them slow, so they are paid from a budget that calls earn.
//!
//! Grounds for the figures: the p95 alone lets a twentieth of calls through, so a budget of a
//! twentieth does not bind while one upstream is slow and bounds the extra load when all are. The
//! window is as short as still gives a p95 of a dozen late calls (256 calls). Where one of few
//! upstreams is slow the p95 is that upstream's own latency; there the choice of upstream helps,
//! not the hedge. Held by the tests in `tests/hedge.rs`.

use super::*;

/// Settings of a [`Hedge`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HedgeConfig {
    /// Calls whose latency is remembered.
    pub window: usize,
    /// Calls before the first hedge.
    pub min_calls: usize,
    /// Calls that earn one hedge.
    pub calls_per_hedge: u32,
    /// Hedges that can be saved up.
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
    /// In order of arrival from `oldest` on.
    recent: Vec<Duration>,
    oldest: usize,
    sorted: Vec<Duration>,
    saved: u32,
}

impl Hedge {
    /// Nothing observed and nothing earned.
    #[must_use]
    pub fn new(cfg: HedgeConfig) -> Self {
        Self {
            cfg,
            ..Self::default()
        }
    }

    /// Notes the latency of an answered call. For a hedged call this is the time since the first
    /// copy was sent.
    pub fn answered(&mut self, latency: Duration) {
        let full = self.cfg.burst * self.cfg.calls_per_hedge;
        self.saved = (self.saved + 1).min(full);
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

    /// How long to wait for the first copy before a second one is due; `None` while too little is
    /// known.
    #[must_use]
    pub fn delay(&self) -> Option<Duration> {
        if self.sorted.len() < self.cfg.min_calls.max(1) {
            return None;
        }
        let i = self.sorted.len() * 95 / 100;
        self.sorted.get(i).copied()
    }

    /// Pays for a second copy of a late call; false if it must not or cannot be paid for.
    pub fn pay(&mut self, idempotent: bool) -> bool {
        if !idempotent || self.saved < self.cfg.calls_per_hedge {
            return false;
        }
        self.saved -= self.cfg.calls_per_hedge;
        true
    }
}
