use super::*;

/// Time after its first event from which on a run is past its beginning, at which a part of its prompt would have
/// crashed the upstream.
const BEGINNING: Duration = Duration::from_secs(1);

/// Number of events from which on it is. After a pause of this process, events of a long time arrive at once.
const BEGINNING_EVENTS: u32 = 8;

/// How far a run of a call has come.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RunProgress {
    /// When the first event arrived.
    first_event_at: Option<Instant>,
    /// When the latest events arrived.
    last_event_at: Option<Instant>,
    events: u32,
}

impl RunProgress {
    /// Records that events have arrived; returns when the run began to produce events if these were the ones with
    /// which it got past its beginning.
    pub(crate) fn record_events(&mut self, events: u32, now: Instant) -> Option<Instant> {
        let was_past = self.is_past_beginning();
        let began = *self.first_event_at.get_or_insert(now);
        self.last_event_at = Some(now);
        self.events = self.events.saturating_add(events);
        (!was_past && self.is_past_beginning()).then_some(began)
    }

    /// Whether the run has produced an event.
    pub(crate) fn has_events(&self) -> bool {
        self.first_event_at.is_some()
    }

    /// When the run began to produce events.
    pub(crate) fn began(&self) -> Option<Instant> {
        self.first_event_at
    }

    /// Whether the run has got past the point at which a part of its prompt would have crashed the upstream.
    pub(crate) fn is_past_beginning(&self) -> bool {
        let (Some(first), Some(last)) = (self.first_event_at, self.last_event_at) else {
            return false;
        };
        self.events >= BEGINNING_EVENTS && last.since(first) >= BEGINNING
    }

    /// How far the run had come if its upstream crashed now.
    pub(crate) fn crash_phase(&self) -> CrashPhase {
        if self.has_events() {
            CrashPhase::AfterEvent
        } else {
            CrashPhase::BeforeEvent
        }
    }
}
