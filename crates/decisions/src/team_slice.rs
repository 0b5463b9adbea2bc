use super::*;

/// Capacity of the bucket, as the time in which it fills at the slice's rate.
const BURST: Duration = Duration::from_secs(1);

/// Weight of the newest second in the moving average of the demand.
const DEMAND_PART: f64 = 0.5;

/// A VM's slice of a team's limit: a token bucket that fills at the slice's rate.
#[derive(Clone, Debug)]
pub struct TeamSlice {
    rate: f64,
    floor: f64,
    end: Option<Instant>,
    saved: f64,
    filled: Instant,
    demand: f64,
    asked: f64,
    second: Instant,
}

impl TeamSlice {
    /// Creates a full slice with a fixed rate per second, which applies until a grant arrives.
    #[must_use]
    pub fn fixed(rate: f64, now: Instant) -> Self {
        Self {
            rate,
            floor: rate,
            end: None,
            saved: (rate * BURST.as_secs_f64()).max(1.0),
            filled: now,
            demand: 0.0,
            asked: 0.0,
            second: now,
        }
    }

    /// Applies a grant that was requested at `asked`.
    pub fn granted(&mut self, grant: &SliceGrant, asked: Instant, now: Instant) {
        self.fill(now);
        self.rate = grant.rate;
        self.floor = grant.floor;
        self.end = Some(asked.after(Duration::from_millis(grant.lease_ms.into())));
    }

    /// Admits a request that costs `cost`. A request that costs more than the balance is admitted while
    /// the balance is at least 1 and makes it negative, and later requests wait until the debt is repaid.
    /// Otherwise a request larger than the bucket would never be admitted.
    ///
    /// # Errors
    ///
    /// Returns the time after which the request may be retried.
    pub fn take(&mut self, cost: f64, now: Instant) -> Result<(), Duration> {
        self.note_demand(cost, now);
        self.fill(now);
        let least = cost.min(1.0);
        if self.saved >= least {
            self.saved -= cost;
            return Ok(());
        }
        let wait = (least - self.saved) / self.rate(now).max(1e-3);
        Err(Duration::from_secs_f64(wait.clamp(0.001, 3600.0)))
    }

    /// Returns the part of the cost that a request did not use.
    pub fn give_back(&mut self, cost: f64) {
        self.saved += cost;
    }

    /// Rate that may be admitted now, per second.
    #[must_use]
    pub fn rate(&self, now: Instant) -> f64 {
        match self.end {
            Some(end) if now >= end => self.floor,
            _ => self.rate,
        }
    }

    /// Recent demand, per second.
    #[must_use]
    pub fn demand(&mut self, now: Instant) -> f64 {
        self.note_demand(0.0, now);
        self.demand.max(self.asked)
    }

    fn note_demand(&mut self, cost: f64, now: Instant) {
        let seconds = now.since(self.second).as_secs_f64();
        if seconds >= 1.0 {
            let newest = self.asked / seconds;
            self.demand += DEMAND_PART * (newest - self.demand);
            self.asked = 0.0;
            self.second = now;
        }
        self.asked += cost;
    }

    fn fill(&mut self, now: Instant) {
        // After the slice has expired, the bucket fills at the minimum rate.
        let end = self.end.unwrap_or(now).clamp(self.filled.min(now), now);
        let before = end.since(self.filled).as_secs_f64() * self.rate;
        let after = now.since(end.max(self.filled)).as_secs_f64() * self.floor;
        let full = (self.rate(now) * BURST.as_secs_f64()).max(1.0);
        self.saved = (self.saved + before + after).min(full);
        self.filled = now;
    }
}
