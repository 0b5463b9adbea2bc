//! The priority of a request at an engine, which decides what the engine preempts first.
//!
//! Load pattern: an engine has more requests than fit into its batch, and preempts some. Without
//! priorities it preempts the request that arrived last, such as a quick call. Engines run larger
//! numbers first, so requests are preempted in this order:
//!
//! 0. a hedge, whose loss does no harm, because the original request still runs;
//! 1. a generation whose caller has received no token yet;
//! 2. a generation resumed after a loss: its caller has received a part of the response and waits for
//!    the rest, and the work spent on that part is lost if the generation fails again;
//! 3. a quick call, which occupies its batch slot only for a short time.
//!
//! The numbers are ranks: only their order matters.

use super::*;

/// Priority of a request at an engine; larger values run first.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub struct EnginePriority(pub u8);

impl EnginePriority {
    /// The priority of a hedge, which is sent while the original request still runs.
    pub const HEDGE: Self = Self(0);

    /// Priority of a request in `lane` that resumes after `delivered` tokens (0 if none was delivered).
    #[must_use]
    pub fn of(lane: Lane, delivered: TokenIndex) -> Self {
        match (lane, delivered) {
            (Lane::Quick, _) => Self(3),
            (Lane::Long, TokenIndex(0)) => Self(1),
            (Lane::Long, _) => Self(2),
        }
    }
}
