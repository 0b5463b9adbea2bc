//! Back-offs that upstreams have asked this VM for.
//!
//! A back-off binds this VM until its end, whatever else the upstream answers meanwhile, and only towards the
//! incarnation that asked. It says nothing to other VMs: the upstream may have been full for one of them only, and
//! a hint that reaches many VMs would empty it.
//!
//! The times of many VMs may end together, so the requests of each return over a ramp: a growing share of
//! its calls may select the upstream.

use super::*;

/// Length of the ramp as a part of the back-off, and its limit.
const RAMP_FRACTION: f64 = 0.5;
const MAX_RAMP: Duration = Duration::from_secs(2);

/// What a request for a back-off has changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum BackOffChange {
    /// A back-off has begun.
    Begun,
    /// A back-off in force ends later.
    Extended,
    /// A back-off in force ends later than the new one would.
    Unchanged,
}

/// Back-offs in force, and those that ended a short while ago.
#[derive(Clone, Debug, Default)]
pub struct BackOffTable {
    /// Sorted by upstream.
    back_offs: Vec<BackOff>,
}

#[derive(Clone, Debug)]
struct BackOff {
    upstream: UpstreamIncarnation,
    until: Instant,
    /// Time after the end in which the requests return.
    ramp: Duration,
}

impl BackOffTable {
    /// Records that an upstream asks for a back-off from `now` on; returns what has changed, or `None` if it asks for
    /// no time at all.
    pub fn request(
        &mut self,
        upstream: &UpstreamIncarnation,
        asked: RequestedBackOff,
        now: Instant,
    ) -> Option<BackOffChange> {
        if asked.duration().is_zero() {
            return None;
        }
        let back_off = BackOff {
            upstream: upstream.clone(),
            until: now.after(asked.duration()),
            ramp: asked.duration().mul_f64(RAMP_FRACTION).min(MAX_RAMP),
        };
        let index = match self.position(upstream) {
            Ok(index) => index,
            Err(index) => {
                self.back_offs.insert(index, back_off);
                return Some(BackOffChange::Begun);
            }
        };
        let known = &mut self.back_offs[index];
        let change = if now >= known.until {
            BackOffChange::Begun
        } else if back_off.until > known.until {
            BackOffChange::Extended
        } else {
            return Some(BackOffChange::Unchanged);
        };
        *known = back_off;
        Some(change)
    }

    /// End of the back-off of an upstream, if one is in force.
    #[must_use]
    pub fn until(&self, upstream: &UpstreamIncarnation, now: Instant) -> Option<Instant> {
        let back_off = &self.back_offs[self.position(upstream).ok()?];
        (now < back_off.until).then_some(back_off.until)
    }

    /// Whether an upstream wants no requests now.
    #[must_use]
    pub fn is_in_force(&self, upstream: &UpstreamIncarnation, now: Instant) -> bool {
        self.until(upstream, now).is_some()
    }

    /// Upstreams that a call must not select: those with a back-off in force, and those whose ramp has no place for it
    /// yet. `draw` is the call's random number from 0 to 1.
    pub fn excluded(&self, draw: f64, now: Instant) -> impl Iterator<Item = &UpstreamIncarnation> {
        self.back_offs
            .iter()
            .filter(move |back_off| !back_off.admits(draw, now))
            .map(|back_off| &back_off.upstream)
    }

    /// When calls may select an upstream as before; `None` if they may now.
    #[must_use]
    pub fn returns_at(&self, upstream: &UpstreamIncarnation, now: Instant) -> Option<ReturnTime> {
        let back_off = &self.back_offs[self.position(upstream).ok()?];
        let returns = ReturnTime {
            until: back_off.until,
            ramp_until: back_off.until.after(back_off.ramp),
        };
        (now < returns.ramp_until).then_some(returns)
    }

    /// Number of back-offs in force.
    #[must_use]
    pub fn count_in_force(&self, now: Instant) -> usize {
        let in_force = self.back_offs.iter().filter(|b| now < b.until);
        in_force.count()
    }

    /// Forgets the back-offs whose ramp has ended, and returns their upstreams.
    pub fn remove_ended(&mut self, now: Instant) -> Vec<UpstreamIncarnation> {
        let ended = |back_off: &mut BackOff| now >= back_off.until.after(back_off.ramp);
        let ended = self.back_offs.extract_if(.., ended);
        ended.map(|back_off| back_off.upstream).collect()
    }

    fn position(&self, upstream: &UpstreamIncarnation) -> Result<usize, usize> {
        self.back_offs
            .binary_search_by(|back_off| back_off.upstream.cmp(upstream))
    }
}

impl BackOff {
    fn admits(&self, draw: f64, now: Instant) -> bool {
        let ramp_time = now.since(self.until);
        now >= self.until
            && (ramp_time >= self.ramp || draw * self.ramp.as_secs_f64() < ramp_time.as_secs_f64())
    }
}

/// When an upstream gets requests again after a back-off.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ReturnTime {
    /// End of the back-off.
    pub until: Instant,
    /// End of the ramp after it.
    pub ramp_until: Instant,
}

impl ReturnTime {
    /// Time after which a rejected caller returns; `draw` from 0 to 1 spreads the callers over the ramp and as long
    /// again.
    #[must_use]
    pub fn retry_after(self, draw: f64, now: Instant) -> Duration {
        let ramp = self.ramp_until.since(self.until);
        self.until.after(ramp.mul_f64(0.5 + 1.5 * draw)).since(now)
    }
}

/// Whether an upstream has a slot for a call that another one which backs off would have got. Those that are nearly
/// full would be pushed over, one after the other. The most urgent calls may wait in its queue.
#[must_use]
pub fn has_spare_slot(slots: u32, calls: u32, priority: u8) -> bool {
    let slots = slots.max(1);
    let limit = if priority == 0 {
        slots.saturating_add(slots.div_ceil(2))
    } else {
        slots
    };
    calls < limit
}
