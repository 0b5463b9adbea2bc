use super::*;

/// Crash of an upstream while it ran calls with an attribute.
#[derive(Clone, Debug, PartialEq)]
pub struct Crash {
    /// What the calls have in common.
    pub attribute: CallAttribute,
    /// The upstream that crashed.
    pub upstream: UpstreamIncarnation,
    /// When it crashed, or when this process learned of it; the same for all attributes of calls that ran there.
    pub at: Instant,
    /// Whether a call with the attribute has got past the point of the crash since.
    pub cleared: bool,
    /// How far the run had come.
    pub phase: CrashPhase,
    /// Bodies of the calls with the attribute that ran there.
    pub bodies: BodyTags,
    /// Position of a part in its prompt, counted from 0.
    pub position: u16,
}

/// How far a run had come when its upstream crashed.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub enum CrashPhase {
    /// It had produced no event.
    #[default]
    #[serde(rename = "b")]
    BeforeEvent,
    /// It had produced an event, so it had got past the point at which a call usually crashes its upstream.
    #[serde(rename = "a")]
    AfterEvent,
}

impl CrashPhase {
    /// Weight of a crash in the decision whether a call is sent again.
    #[must_use]
    pub const fn weight(self) -> usize {
        match self {
            Self::BeforeEvent => 2,
            Self::AfterEvent => 1,
        }
    }

    #[expect(
        clippy::trivially_copy_pass_by_ref,
        reason = "serde passes a reference"
    )]
    pub(crate) fn is_before_event(&self) -> bool {
        *self == Self::BeforeEvent
    }
}

impl Crash {
    /// Crash under a call with this body.
    #[must_use]
    pub fn of_body(
        body: u64,
        upstream: UpstreamIncarnation,
        phase: CrashPhase,
        at: Instant,
    ) -> Self {
        Self {
            attribute: CallAttribute::Body(body),
            upstream,
            at,
            cleared: false,
            phase,
            bodies: BodyTags::of(body),
            position: 0,
        }
    }

    /// Crashes under each part of a call that had just begun or not begun yet.
    pub fn of_parts<'a>(
        call: &'a CallAttributes,
        upstream: &'a UpstreamIncarnation,
        at: Instant,
    ) -> impl Iterator<Item = Self> {
        call.attributed_parts().map(move |(position, part)| Self {
            attribute: CallAttribute::Part(part.clone()),
            upstream: upstream.clone(),
            at,
            cleared: false,
            phase: CrashPhase::BeforeEvent,
            bodies: BodyTags::of(call.body),
            position,
        })
    }
}
