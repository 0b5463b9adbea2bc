use super::*;

/// Crash under a body, in a heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BodyCrash {
    /// Digest of the call's path, team and body.
    pub digest: u64,
    /// The upstream that crashed.
    pub upstream: UpstreamIncarnation,
    /// Whether the call has received a complete response since.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub cleared: bool,
    /// How far the run had come.
    #[serde(
        rename = "p",
        default,
        skip_serializing_if = "CrashPhase::is_before_event"
    )]
    pub phase: CrashPhase,
    /// Milliseconds since the crash; 0 for a recent one.
    #[serde(rename = "g", default, skip_serializing_if = "is_zero")]
    pub age_ms: u32,
}

impl BodyCrash {
    /// Describes the crash of a body at `now`; `None` if the crash is one of a part.
    #[must_use]
    pub fn new(crash: &Crash, now: Instant) -> Option<Self> {
        let CallAttribute::Body(digest) = crash.attribute else {
            return None;
        };
        Some(Self {
            digest,
            upstream: crash.upstream.clone(),
            cleared: crash.cleared,
            phase: crash.phase,
            age_ms: u32::try_from(now.since(crash.at).as_millis()).unwrap_or(u32::MAX),
        })
    }

    /// The crash, as received at `now`.
    #[must_use]
    pub fn received(self, now: Instant) -> Crash {
        let at = now.before(Duration::from_millis(self.age_ms.into()));
        Crash {
            cleared: self.cleared,
            ..Crash::of_body(self.digest, self.upstream, self.phase, at)
        }
    }
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
fn is_zero(age_ms: &u32) -> bool {
    *age_ms == 0
}

/// Crashes under parts of prompts, sent to other VMs beside the heartbeats.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Name of the sending VM.
    #[serde(rename = "v")]
    pub vm: Arc<str>,
    /// The crashes.
    #[serde(rename = "p")]
    pub parts: Vec<PartCrash>,
}

/// Crash under a part of prompts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PartCrash {
    /// The part.
    #[serde(rename = "p")]
    pub part: PartId,
    /// Position of the part in its prompt.
    #[serde(rename = "n")]
    pub position: u16,
    /// The upstream that crashed.
    #[serde(rename = "u")]
    pub upstream: UpstreamIncarnation,
    /// Bodies of the calls with the part that ran there.
    #[serde(rename = "b")]
    pub bodies: BodyTags,
    /// Milliseconds since the crash.
    #[serde(rename = "g")]
    pub age_ms: u32,
    /// Whether a run with the part has got past its beginning since.
    #[serde(rename = "c", default, skip_serializing_if = "std::ops::Not::not")]
    pub cleared: bool,
}

impl PartCrash {
    /// Describes the crash of a part at `now`; `None` if the crash is one of a body.
    #[must_use]
    pub fn new(crash: &Crash, now: Instant) -> Option<Self> {
        let CallAttribute::Part(part) = &crash.attribute else {
            return None;
        };
        Some(Self {
            part: part.clone(),
            position: crash.position,
            upstream: crash.upstream.clone(),
            bodies: crash.bodies.clone(),
            age_ms: u32::try_from(now.since(crash.at).as_millis()).unwrap_or(u32::MAX),
            cleared: crash.cleared,
        })
    }

    /// The crash, as received at `now`.
    #[must_use]
    pub fn received(self, now: Instant) -> Crash {
        Crash {
            attribute: CallAttribute::Part(self.part),
            upstream: self.upstream,
            at: now.before(Duration::from_millis(self.age_ms.into())),
            cleared: self.cleared,
            phase: CrashPhase::BeforeEvent,
            bodies: self.bodies,
            position: self.position,
        }
    }
}
