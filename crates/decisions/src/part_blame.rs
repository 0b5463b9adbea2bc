//! Decides which parts of prompts crash upstreams.
//!
//! A crash has several suspects: all calls that had just begun on the upstream or not begun yet, and all parts of each.
//! The part that crashes it is the one of which no run gets past its beginning. Three further conditions keep sound
//! parts apart:
//!
//! - The crashes are at several moments, since all upstreams of an availability zone may crash at once under a part
//!   that many calls share.
//! - No single body ran on all these upstreams; otherwise the body is the cause.
//! - No other part explains the crashes better. Of the parts of one call that is the one further on in the prompt, which
//!   fewer calls share, then the one with fewer clean runs, and then the one with more crashes. A part whose calls ran
//!   beside a crashing one needs crashes of its own. Parts with the same evidence are all blamed.

use super::*;
use std::cmp::Reverse;

/// Number of moments of crashes from which on a part is blamed.
pub(crate) const MIN_MOMENTS: usize = 3;

/// Number of moments among these that no other blamed part explains.
const MIN_OWN_MOMENTS: usize = 2;

/// Crashes within this time of the first one are of one moment.
pub(crate) const MOMENT: Duration = Duration::from_millis(250);

/// How long calls with a blamed part are refused after its last crash, before one of them is tried.
const BLOCK_DURATION: Duration = Duration::from_secs(600);

/// The same for a part that had clean runs before, and how much longer after each failed trial.
const FIRST_BLOCK_DURATION: Duration = Duration::from_secs(20);
const BLOCK_FACTOR: u32 = 4;

/// Crashes further apart than this are of different trials.
const TRIAL_GAP: Duration = Duration::from_secs(10);

/// A part that crashes upstreams.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BlamedPart {
    /// The part.
    pub part: PartId,
    /// When there were enough crashes.
    pub since: Instant,
    /// The latest crash.
    pub last_crash: Instant,
    /// Number of crashed upstreams.
    pub crashes: usize,
    /// Number of runs with the part that got past their beginning before.
    pub clean_runs: u32,
    /// Number of trials that crashed an upstream.
    failed_trials: u32,
}

impl BlamedPart {
    /// Time until a call with the part is tried; zero if one may be.
    #[must_use]
    pub fn blocked_for(&self, now: Instant) -> Duration {
        self.last_crash.after(self.block_duration()).since(now)
    }

    /// The slot for a trial, if calls with the part are not blocked any more.
    pub(crate) fn trial_slot(&self, now: Instant) -> Option<TrialSlot> {
        let blocked_for = self.blocked_for(now);
        if !blocked_for.is_zero() {
            return None;
        }
        TrialSlot::at(now.since(self.last_crash.after(self.block_duration())))
    }

    fn block_duration(&self) -> Duration {
        if self.clean_runs == 0 {
            return BLOCK_DURATION;
        }
        let factor = BLOCK_FACTOR.saturating_pow(self.failed_trials);
        FIRST_BLOCK_DURATION
            .saturating_mul(factor)
            .min(BLOCK_DURATION)
    }
}

/// Determines the blamed parts from the crashes that count, sorted by attribute; `clean_runs` is the number of clean
/// runs with a part. The result is sorted by part.
pub(crate) fn blamed_parts(
    crashes: &[&Crash],
    clean_runs: impl Fn(&PartId) -> u32,
) -> Vec<BlamedPart> {
    let mut suspects = crashes
        .chunk_by(|a, b| a.attribute == b.attribute)
        .filter_map(|crashes| Suspect::new(crashes, &clean_runs))
        .collect::<Vec<_>>();
    suspects.sort_by_key(Suspect::rank);
    let mut causes: Vec<Suspect> = Vec::new();
    let mut blamed = Vec::new();
    for suspect in suspects {
        if let Some(part) = suspect.blame(&causes) {
            blamed.push(part);
            causes.push(suspect);
        }
    }
    blamed.sort_unstable_by(|a, b| a.part.cmp(&b.part));
    blamed
}

/// A part with enough crashes to be blamed.
struct Suspect<'a> {
    part: &'a PartId,
    crashes: Vec<&'a Crash>,
    clean_runs: u32,
    position: u16,
    since: Instant,
}

impl<'a> Suspect<'a> {
    fn new(crashes: &[&'a Crash], clean_runs: impl Fn(&PartId) -> u32) -> Option<Self> {
        let first = *crashes.first()?;
        let CallAttribute::Part(part) = &first.attribute else {
            return None;
        };
        let since = limit_reached_at(crashes)?;
        Some(Self {
            part,
            crashes: crashes.to_vec(),
            clean_runs: clean_runs(part),
            position: crashes.iter().map(|crash| crash.position).min()?,
            since,
        })
    }

    /// Parts that explain crashes better are smaller.
    fn rank(&self) -> (Reverse<u16>, u32, Reverse<usize>, Instant) {
        (
            Reverse(self.position),
            self.clean_runs,
            Reverse(self.crashes.len()),
            self.since,
        )
    }

    /// The part, if enough of its crashes are not explained by better causes found before.
    fn blame(&self, causes: &[Self]) -> Option<BlamedPart> {
        let is_explained = |crash: &Crash, same_call: bool| {
            causes
                .iter()
                .filter(|cause| cause.rank() < self.rank())
                .flat_map(|cause| &cause.crashes)
                .filter(|other| other.upstream == crash.upstream)
                .any(|other| other.bodies.overlaps(&crash.bodies) == same_call)
        };
        let counted = self
            .crashes
            .iter()
            .copied()
            .filter(|crash| !is_explained(crash, true))
            .collect::<Vec<_>>();
        let since = limit_reached_at(&counted)?;
        let own = counted.iter().filter(|crash| !is_explained(crash, false));
        if moments(own.map(|crash| crash.at)).len() < MIN_OWN_MOMENTS {
            return None;
        }
        let mut times = counted.iter().map(|crash| crash.at).collect::<Vec<_>>();
        times.sort_unstable();
        let trials = times.windows(2).filter(|w| w[1].since(w[0]) > TRIAL_GAP);
        Some(BlamedPart {
            part: self.part.clone(),
            since,
            last_crash: *times.last()?,
            crashes: counted.len(),
            clean_runs: self.clean_runs,
            failed_trials: u32::try_from(trials.count()).unwrap_or(u32::MAX),
        })
    }
}

/// When the crashes under a part were enough to blame it, regardless of other parts.
fn limit_reached_at(crashes: &[&Crash]) -> Option<Instant> {
    if BodyTags::have_common(crashes.iter().map(|crash| &crash.bodies)) {
        return None;
    }
    let moments = moments(crashes.iter().map(|crash| crash.at));
    moments.get(MIN_MOMENTS - 1).copied()
}

/// Starts of the moments at which there were crashes.
pub(crate) fn moments(times: impl Iterator<Item = Instant>) -> Vec<Instant> {
    let mut times = times.collect::<Vec<_>>();
    times.sort_unstable();
    let mut moments: Vec<Instant> = Vec::new();
    for at in times {
        if moments.last().is_none_or(|last| at.since(*last) > MOMENT) {
            moments.push(at);
        }
    }
    moments
}
