//! Lanes, which separate quick calls from long generations in queues and at upstreams.
//!
//! With lookups of milliseconds and generations of minutes in a single queue, a dozen generations
//! occupy every slot for minutes, and the lookups behind them miss their deadlines although they take
//! almost no time to serve. With separate lanes a quick call waits only behind other quick calls, and
//! a part of the slots of each upstream is reserved for them (see `UpstreamSlots`).
//!
//! At the target of 26 ms per token, 64 tokens take 1.7 s, which a caller with a deadline of seconds
//! still accepts. The rows `mixed lengths` of `docs/LOAD.md` compare lanes with a single queue.

use super::*;

/// Maximum length, in tokens, of a generation that counts as a quick call.
const MAX_QUICK_TOKENS: u32 = 64;

/// Priority class of requests that share a queue and a part of the slots of each upstream.
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
    /// Plain calls and generations of a few seconds at most.
    Quick,
    /// Generations that may take minutes.
    Long,
}

impl Lane {
    /// Number of lanes.
    pub const COUNT: usize = 2;

    /// Returns the lane of a request that generates at most `max_tokens`; 0 for a plain call.
    #[must_use]
    pub fn of(max_tokens: u32) -> Self {
        if max_tokens <= MAX_QUICK_TOKENS {
            Self::Quick
        } else {
            Self::Long
        }
    }

    /// Index of this lane in an array of all lanes.
    #[must_use]
    pub fn index(self) -> usize {
        match self {
            Self::Quick => 0,
            Self::Long => 1,
        }
    }
}
