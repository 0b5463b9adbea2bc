use super::*;

/// How much of the rate can be saved up.
const BURST: Duration = Duration::from_secs(1);

/// Part of the newest second in the average demand.
const DEMAND_PART: f64 = 0.5;

/// One VM's slice of a team's limit: a bucket that fills at the slice's rate.
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
    /// A slice of a fixed rate, a second, until one is granted. It starts full.
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

    /// Takes a grant that was asked for at `asked`.
    pub fn granted(&mut self, grant: &SliceGrant, asked: Instant, now: Instant) {
        self.fill(now);
        self.rate = grant.rate;
        self.floor = grant.floor;
        self.end = Some(asked.after(Duration::from_millis(grant.lease_ms.into())));
    }

    /// Lets a request through that costs `cost`. One that costs more than is saved up goes through
    /// while anything is, and those after it wait until that is made up for: else a request larger
    /// than the bucket would never go through.
    ///
    /// # Errors
    ///
    /// When to come back.
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

    /// Gives back what a request did not use.
    pub fn give_back(&mut self, cost: f64) {
        self.saved += cost;
    }

    /// What may go through now, a second.
    #[must_use]
    pub fn rate(&self, now: Instant) -> f64 {
        match self.end {
            Some(end) if now >= end => self.floor,
            _ => self.rate,
        }
    }

    /// What was lately asked for, a second.
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
        // Time after the end of the slice counts at the floor's rate only.
        let end = self.end.unwrap_or(now).clamp(self.filled.min(now), now);
        let before = end.since(self.filled).as_secs_f64() * self.rate;
        let after = now.since(end.max(self.filled)).as_secs_f64() * self.floor;
        let full = (self.rate(now) * BURST.as_secs_f64()).max(1.0);
        self.saved = (self.saved + before + after).min(full);
        self.filled = now;
    }
}
