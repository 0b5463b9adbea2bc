use super::*;

/// Capacity of the bucket, as the time in which it fills at the slice's rate.
const BURST_WINDOW: Duration = Duration::from_secs(1);

/// Weight of the newest second in the moving average of the demand.
const NEWEST_DEMAND_WEIGHT: f64 = 0.5;

/// A VM's slice of a team's limit: a token bucket that fills at the slice's rate.
#[derive(Clone, Debug)]
pub struct TeamSlice {
    rate: f64,
    floor: f64,
    expires_at: Option<Instant>,
    balance: f64,
    filled_at: Instant,
    demand: f64,
    current_demand: f64,
    second_start: Instant,
}

impl TeamSlice {
    /// Creates a full slice with a fixed rate per second, which applies until a grant arrives.
    #[must_use]
    pub fn fixed(rate: f64, now: Instant) -> Self {
        Self {
            rate,
            floor: rate,
            expires_at: None,
            balance: (rate * BURST_WINDOW.as_secs_f64()).max(1.0),
            filled_at: now,
            demand: 0.0,
            current_demand: 0.0,
            second_start: now,
        }
    }

    /// Applies a grant that was requested at `requested_at`.
    pub fn apply_grant(&mut self, grant: &SliceGrant, requested_at: Instant, now: Instant) {
        self.refill(now);
        self.rate = grant.rate;
        self.floor = grant.floor;
        self.expires_at = Some(requested_at.after(Duration::from_millis(grant.lease_ms.into())));
    }

    /// Admits a request and takes its cost from the balance.
    ///
    /// # Errors
    ///
    /// Returns the delay after which the refused request may be retried.
    pub fn try_take(&mut self, cost: f64, now: Instant) -> Result<(), Duration> {
        self.record_demand(cost, now);
        self.refill(now);
        // A request that costs more than the balance is admitted while the balance is at least 1, and
        // later requests wait until the debt is repaid. Otherwise a request larger than the bucket
        // would never be admitted.
        let least = cost.min(1.0);
        if self.balance >= least {
            self.balance -= cost;
            return Ok(());
        }
        let wait = (least - self.balance) / self.rate(now).max(1e-3);
        Err(Duration::from_secs_f64(wait.clamp(0.001, 3600.0)))
    }

    /// Returns the part of the cost that a request did not use.
    pub fn refund(&mut self, cost: f64) {
        self.balance += cost;
    }

    /// Rate at which the slice refills, in cost units per second: the granted rate, or the floor after the
    /// slice expires.
    #[must_use]
    pub fn rate(&self, now: Instant) -> f64 {
        match self.expires_at {
            Some(expires_at) if now >= expires_at => self.floor,
            _ => self.rate,
        }
    }

    /// Recent demand, per second.
    #[must_use]
    pub fn demand(&mut self, now: Instant) -> f64 {
        self.record_demand(0.0, now);
        self.demand.max(self.current_demand)
    }

    fn record_demand(&mut self, cost: f64, now: Instant) {
        let seconds = now.since(self.second_start).as_secs_f64();
        if seconds >= 1.0 {
            let newest = self.current_demand / seconds;
            self.demand += NEWEST_DEMAND_WEIGHT * (newest - self.demand);
            self.current_demand = 0.0;
            self.second_start = now;
        }
        self.current_demand += cost;
    }

    fn refill(&mut self, now: Instant) {
        // After the slice has expired, the bucket fills at the minimum rate.
        let expires_at = self
            .expires_at
            .unwrap_or(now)
            .clamp(self.filled_at.min(now), now);
        let before = expires_at.since(self.filled_at).as_secs_f64() * self.rate;
        let after = now.since(expires_at.max(self.filled_at)).as_secs_f64() * self.floor;
        let full = (self.rate(now) * BURST_WINDOW.as_secs_f64()).max(1.0);
        self.balance = (self.balance + before + after).min(full);
        self.filled_at = now;
    }
}
