//! Lanes: quick calls and long generations wait and run apart.
//!
//! Load pattern: lookups of milliseconds arrive beside generations of minutes. In one queue a dozen
//! generations hold every place for minutes, and each lookup behind them misses its deadline
//! although it would take no time to serve. With a lane each, a quick call waits behind quick calls
//! only, and a part of each upstream's places is kept for them (see `UpstreamSlots`).
//!
//! Grounds for the figure: 64 tokens take 1.7 s at the 26 ms a token that generations are to keep,
//! which is still what a caller of seconds waits for. The rows `mixed lengths`
//! of `docs/LOAD.md` measure the lanes against one queue.

use super::*;

/// Longest generation, in tokens, that counts as a quick call.
const QUICK_TOKENS: u32 = 64;

/// Which requests a request waits and runs beside.
#[derive(
    Clone,
    Copy,
    Debug,
    Eq,
    Ord,
    PartialEq,
    PartialOrd,
    EnumString,
    IntoStaticStr,
    strum::Display,
    strum::EnumIter,
)]
#[strum(serialize_all = "snake_case")]
pub enum Lane {
    /// Calls of a few seconds at most.
    Quick,
    /// Generations of up to minutes.
    Long,
}

impl Lane {
    /// Number of lanes.
    pub const COUNT: usize = 2;

    /// The lane of a request that generates at most `max_tokens`; plain calls generate none.
    #[must_use]
    pub fn of(max_tokens: u32) -> Self {
        if max_tokens <= QUICK_TOKENS {
            Self::Quick
        } else {
            Self::Long
        }
    }

    /// Place of this lane in an array of all lanes.
    #[must_use]
    pub fn index(self) -> usize {
        match self {
            Self::Quick => 0,
            Self::Long => 1,
        }
    }
}
