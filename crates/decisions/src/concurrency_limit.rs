//! An adaptive limit on the requests that this node has in flight at one upstream.
//!
//! Load pattern: an upstream slows down, or more nodes send to it than it can serve. Without a
//! limit requests pile up inside the upstream, where no deadline and no fairness reaches them, and
//! every one of them is late.
//!
//! A node estimates how many of its own requests wait inside the upstream: of `n` in flight, the
//! part `1 - unloaded latency / latency` does (as TCP Vegas estimates its queue at a router; Brakmo
//! and Peterson, 1995). The limit rises while that is below half a request plus a fifth of the
//! limit, and falls when it is above one request plus a quarter of the limit. What each node keeps
//! waiting is thus a number of its own and not only a latency that all nodes see alike; that is what
//! makes the limits of several nodes on one upstream alike. A limit that rose and fell with the
//! latency alone was tried first: the limits of 8 nodes drifted apart, and other teams' quick p99
//! beside a hot team was 1.8 s where it is 61 ms without that team (trial, scenario `hot team` of
//! `tests/load.rs`).
//!
//! The unloaded latency follows lower window means. It follows a higher one only where that cannot
//! be a queue of the nodes' making: with less than half the limit in flight, with the limit at its
//! minimum, or while the upstream reports that nothing waits in it. Taking it anew under load would
//! measure the queue that the limits themselves allow, and they would run away upwards. The price:
//! an upstream that reports no load and turns slower for good under full load keeps a small limit
//! until its load falls.
//!
//! Grounds for the figures: the mean of a window of 40 samples that are half fixed and half
//! exponential is within a sixth of the truth in 19 of 20 windows, below the fifth at which large
//! limits stop rising. Until the first fall, windows have 10 samples and the limit doubles, so that
//! a node that starts finds its share within seconds.

use super::*;

/// Settings of a [`ConcurrencyLimit`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConcurrencyLimitConfig {
    /// Limit to start with, in requests.
    pub initial: u32,
    /// Smallest limit.
    pub min: u32,
    /// Largest limit.
    pub max: u32,
    /// Samples of a window.
    pub window: u32,
    /// Samples of a window until the first fall.
    pub first_window: u32,
}

impl Default for ConcurrencyLimitConfig {
    fn default() -> Self {
        Self {
            initial: 2,
            min: 1,
            max: 512,
            window: 40,
            first_window: 10,
        }
    }
}

/// The limit of one upstream.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    cfg: ConcurrencyLimitConfig,
    limit: u32,
    has_fallen: bool,
    reports_no_queue: bool,
    unloaded: Option<Duration>,
    total: Duration,
    samples: u32,
    peak: u32,
}

impl ConcurrencyLimit {
    /// A limit without samples.
    #[must_use]
    pub fn new(cfg: ConcurrencyLimitConfig) -> Self {
        Self {
            cfg,
            limit: cfg.initial.clamp(cfg.min, cfg.max),
            has_fallen: false,
            reports_no_queue: false,
            unloaded: None,
            total: Duration::ZERO,
            samples: 0,
            peak: 0,
        }
    }

    /// Requests that may be in flight.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Latency without load, once a window is full.
    #[must_use]
    pub fn unloaded(&self) -> Option<Duration> {
        self.unloaded
    }

    /// Starts anew from `limit`, if nothing is known of the upstream yet.
    pub fn start_at(&mut self, limit: u32) {
        if self.unloaded.is_none() && !self.has_fallen {
            self.limit = limit.clamp(self.cfg.min, self.cfg.max);
        }
    }

    /// Takes how many requests the upstream reports to wait in it.
    pub fn reported(&mut self, waiting: u32) {
        self.reports_no_queue = waiting == 0;
    }

    /// Takes the latency of an answer; `in_flight` is how many requests were in flight with it.
    pub fn answered(&mut self, latency: Duration, in_flight: u32) {
        self.total = self.total.saturating_add(latency);
        self.samples += 1;
        self.peak = self.peak.max(in_flight);
        let window = if self.has_fallen {
            self.cfg.window
        } else {
            self.cfg.first_window
        };
        if self.samples >= window.max(1) {
            self.end_window();
        }
    }

    /// Notes that the upstream refused for want of room, or did not answer in time.
    pub fn overloaded(&mut self) {
        self.lower();
        self.start_window();
    }

    fn end_window(&mut self) {
        let mean = self.total / self.samples;
        let unloaded = self.follow(mean);
        let waiting = waiting_thousandths(self.peak, unloaded, mean);
        if waiting > 1000 + self.limit * 1000 / 4 {
            self.lower();
        } else if waiting < 500 + self.limit * 1000 / 5 && self.peak >= self.limit {
            self.raise();
        }
        self.start_window();
    }

    fn follow(&mut self, mean: Duration) -> Duration {
        let unloaded = match self.unloaded {
            None => mean,
            Some(old) if mean < old => old / 4 * 3 + mean / 4,
            Some(old) if self.is_latency_its_own() => old + mean.saturating_sub(old) / 10,
            Some(old) => old,
        };
        self.unloaded = Some(unloaded);
        unloaded
    }

    /// Whether what the window's latency has above the unloaded one is the upstream's own, and no
    /// queue.
    fn is_latency_its_own(&self) -> bool {
        self.reports_no_queue || self.peak * 2 < self.limit || self.limit <= self.cfg.min
    }

    fn raise(&mut self) {
        let step = if self.has_fallen { 1 } else { self.limit };
        self.limit = (self.limit + step).min(self.cfg.max);
    }

    fn lower(&mut self) {
        self.limit = (self.limit - self.limit.div_ceil(10)).max(self.cfg.min);
        self.has_fallen = true;
    }

    fn start_window(&mut self) {
        self.total = Duration::ZERO;
        self.samples = 0;
        self.peak = 0;
    }
}

impl Default for ConcurrencyLimit {
    fn default() -> Self {
        Self::new(ConcurrencyLimitConfig::default())
    }
}

/// Thousandths of a request that wait inside the upstream, of `in_flight` ones.
fn waiting_thousandths(in_flight: u32, unloaded: Duration, mean: Duration) -> u32 {
    let late = mean.saturating_sub(unloaded).as_nanos() * 1000;
    let part = late / mean.as_nanos().max(1);
    in_flight * u32::try_from(part).unwrap_or(1000)
}
