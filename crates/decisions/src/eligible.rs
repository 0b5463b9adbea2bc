use super::*;

/// Proof that an upstream may get one new request.
///
/// Only [`UpstreamEvidence::eligible`] creates it, it cannot be copied, and every dispatch consumes one.
/// So no code can send work to an upstream without the check in that function.
#[derive(Debug, Eq, PartialEq)]
pub struct Eligible {
    pub(crate) incarnation: Incarnation,
    pub(crate) valid_until: Instant,
}

impl Eligible {
    /// The process of the upstream that the proof applies to.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Whether the proof is still valid; a later dispatch needs a new one.
    #[must_use]
    pub fn is_valid(&self, now: Instant) -> bool {
        now <= self.valid_until
    }
}
