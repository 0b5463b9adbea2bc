//! Adaptive limit on the requests that this VM has in flight at one upstream.
//!
//! When an upstream slows down, or more VMs send to it than it can serve, requests without a limit
//! accumulate inside the upstream, where neither deadlines nor fairness apply, and all become late.
//!
//! A VM estimates how many of its own requests wait inside the upstream: of `n` in flight, the
//! fraction `1 - unloaded latency / latency` (as TCP Vegas estimates its queue at a router; Brakmo
//! and Peterson, 1995). The limit rises while the estimate is below half a request plus a fifth of
//! the limit, and falls when it is above one request plus a quarter of the limit. Each VM thus
//! controls its own number of waiting requests rather than a latency that all VMs observe alike,
//! which makes the limits of several VMs at one upstream converge. With a limit controlled by latency
//! alone, the limits of 8 VMs drifted apart: in scenario `hot team` of `tests/load.rs` the quick p99
//! of the other teams was 1.8 s, compared with 61 ms without the hot team.
//!
//! The unloaded latency follows lower window means. It follows a higher mean only where the excess
//! cannot be queueing caused by the VMs: with less than half the limit in flight, with the limit at
//! its minimum, or while the upstream reports no waiting requests. Raising it under load would
//! include the queue that the limits themselves allow, and the limits would grow without bound. As a
//! consequence, an upstream that reports no load and becomes permanently slower under full load keeps
//! a small limit until its load falls.
//!
//! With samples that are half fixed and half exponential, the mean of a window of 40 is within a sixth
//! of the true mean in 19 of 20 windows, which is below the fifth at which large limits stop rising.
//! Until the first decrease, windows have 10 samples and the limit doubles, so that a VM that starts
//! reaches its share within seconds.

use super::*;

/// Settings of a [`ConcurrencyLimit`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConcurrencyLimitConfig {
    /// Initial limit, in requests.
    pub initial: u32,
    /// Minimum limit, in requests.
    pub min: u32,
    /// Maximum limit, in requests.
    pub max: u32,
    /// Number of latency samples in a window.
    pub window: u32,
    /// Number of latency samples in a window until the limit first decreases.
    pub initial_window: u32,
}

impl Default for ConcurrencyLimitConfig {
    fn default() -> Self {
        Self {
            initial: 2,
            min: 1,
            max: 512,
            window: 40,
            initial_window: 10,
        }
    }
}

/// Adaptive concurrency limit of one upstream.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    cfg: ConcurrencyLimitConfig,
    limit: u32,
    has_decreased: bool,
    reports_no_queue: bool,
    unloaded: Option<Duration>,
    latency_sum: Duration,
    samples: u32,
    peak_in_flight: u32,
}

impl ConcurrencyLimit {
    /// Creates a limit at its initial value.
    #[must_use]
    pub fn new(cfg: ConcurrencyLimitConfig) -> Self {
        Self {
            cfg,
            limit: cfg.initial.clamp(cfg.min, cfg.max),
            has_decreased: false,
            reports_no_queue: false,
            unloaded: None,
            latency_sum: Duration::ZERO,
            samples: 0,
            peak_in_flight: 0,
        }
    }

    /// Number of requests that may be in flight.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Estimated latency without load; `None` until the first window is full.
    #[must_use]
    pub fn unloaded(&self) -> Option<Duration> {
        self.unloaded
    }

    /// Sets the limit to `limit` if no window of samples is full and the limit has not decreased yet.
    pub fn start_at(&mut self, limit: u32) {
        if self.unloaded.is_none() && !self.has_decreased {
            self.limit = limit.clamp(self.cfg.min, self.cfg.max);
        }
    }

    /// Records the number of waiting requests that the upstream reports.
    pub fn record_waiting(&mut self, waiting: u32) {
        self.reports_no_queue = waiting == 0;
    }

    /// Records the latency of a response; `in_flight` counts the requests in flight, including its own.
    pub fn record_latency(&mut self, latency: Duration, in_flight: u32) {
        self.latency_sum = self.latency_sum.saturating_add(latency);
        self.samples += 1;
        self.peak_in_flight = self.peak_in_flight.max(in_flight);
        let window = if self.has_decreased {
            self.cfg.window
        } else {
            self.cfg.initial_window
        };
        if self.samples >= window.max(1) {
            self.end_window();
        }
    }

    /// Records that the upstream refused a request because it is full, or did not respond in time.
    pub fn record_overload(&mut self) {
        self.decrease();
        self.start_window();
    }

    fn end_window(&mut self) {
        let mean = self.latency_sum / self.samples;
        let unloaded = self.update_unloaded_latency(mean);
        let waiting = waiting_thousandths(self.peak_in_flight, unloaded, mean);
        if waiting > 1000 + self.limit * 1000 / 4 {
            self.decrease();
        } else if waiting < 500 + self.limit * 1000 / 5 && self.peak_in_flight >= self.limit {
            self.increase();
        }
        self.start_window();
    }

    fn update_unloaded_latency(&mut self, mean: Duration) -> Duration {
        let unloaded = match self.unloaded {
            None => mean,
            Some(old) if mean < old => old / 4 * 3 + mean / 4,
            Some(old) if self.is_excess_service_time() => old + mean.saturating_sub(old) / 10,
            Some(old) => old,
        };
        self.unloaded = Some(unloaded);
        unloaded
    }

    /// Returns whether the excess of the window's latency over the unloaded latency is service time
    /// of the upstream rather than queueing.
    fn is_excess_service_time(&self) -> bool {
        self.reports_no_queue || self.peak_in_flight * 2 < self.limit || self.limit <= self.cfg.min
    }

    fn increase(&mut self) {
        let step = if self.has_decreased { 1 } else { self.limit };
        self.limit = (self.limit + step).min(self.cfg.max);
    }

    fn decrease(&mut self) {
        self.limit = (self.limit - self.limit.div_ceil(10)).max(self.cfg.min);
        self.has_decreased = true;
    }

    fn start_window(&mut self) {
        self.latency_sum = Duration::ZERO;
        self.samples = 0;
        self.peak_in_flight = 0;
    }
}

impl Default for ConcurrencyLimit {
    fn default() -> Self {
        Self::new(ConcurrencyLimitConfig::default())
    }
}

/// Estimated number of waiting requests inside the upstream, in thousandths, of `in_flight` in all.
fn waiting_thousandths(in_flight: u32, unloaded: Duration, mean: Duration) -> u32 {
    let excess = mean.saturating_sub(unloaded).as_nanos() * 1000;
    let part = excess / mean.as_nanos().max(1);
    in_flight * u32::try_from(part).unwrap_or(1000)
}
