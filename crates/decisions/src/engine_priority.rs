//! The priority under which an engine runs a request, and by it what is preempted first.
//!
//! Load pattern: an engine has more to run than fits its batch, and preempts. Without priorities it
//! preempts by arrival, and the quick call that came last goes first. Engines run the larger number
//! first, so the order below is the order of preemption, from the first to go:
//!
//! 0. a second copy, whose loss costs nobody an answer;
//! 1. a generation of which the caller has seen nothing yet;
//! 2. a generation that goes on after a loss: its caller waits in the middle of a sentence, and the
//!    work of its first part is lost if it fails again;
//! 3. a quick call, which holds its place for moments only.
//!
//! The figures are ranks, with no measurement behind them but the order.

use super::*;

/// Rank of a request at an engine; larger runs first.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub struct EnginePriority(pub u8);

impl EnginePriority {
    /// The rank of a second copy that is sent while the first still runs.
    pub const SECOND_COPY: Self = Self(0);

    /// The rank of an attempt with `delivered` tokens as its forced prefix.
    #[must_use]
    pub fn of(lane: Lane, delivered: TokenIndex) -> Self {
        match (lane, delivered) {
            (Lane::Quick, _) => Self(3),
            (Lane::Long, TokenIndex(0)) => Self(1),
            (Lane::Long, _) => Self(2),
        }
    }
}
