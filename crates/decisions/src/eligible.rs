use super::*;

/// Proof that an upstream may get one piece of new work.
///
/// Only [`UpstreamEvidence::eligible`] makes one, it cannot be copied, and every dispatch uses one
/// up. So there is no way in the code to send work to an upstream past that function.
#[derive(Debug, Eq, PartialEq)]
pub struct Eligible {
    pub(crate) incarnation: Incarnation,
    pub(crate) until: Instant,
}

impl Eligible {
    /// The process of the upstream that it is about.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Whether it still holds; a dispatch that comes later needs a new one.
    #[must_use]
    pub fn holds(&self, now: Instant) -> bool {
        now <= self.until
    }
}
