use super::*;

/// Decides which events of a resumable stream are forwarded to the caller.
///
/// A stream that loses its upstream is resumed by another run. If events of the older run or
/// duplicates were forwarded after that, the caller would receive text twice or a mixture of two
/// runs. Only the event with the next number of the latest run is forwarded.
#[derive(Clone, Debug)]
pub struct EventRelay {
    run: EventRun,
    last: Option<u64>,
}

/// Number of a run of a stream, increased each time that the stream is sent to an upstream.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct EventRun(u32);

/// Decision about an event.
#[derive(Clone, Copy, Debug, Eq, PartialEq, IntoStaticStr, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum EventDecision {
    /// Forward the event to the caller.
    Deliver,
    /// Drop the event: it is a duplicate, or its run has been superseded.
    Drop,
    /// Preceding events are missing, so the run must be abandoned.
    Gap,
}

impl EventRelay {
    /// Creates a relay for a caller that has received the events up to `last`.
    #[must_use]
    pub fn new(last: Option<u64>) -> Self {
        Self {
            run: EventRun::default(),
            last,
        }
    }

    /// Starts a new run, which supersedes all earlier runs.
    pub fn begin_run(&mut self) -> EventRun {
        self.run = EventRun(self.run.0 + 1);
        self.run
    }

    /// Decides whether the event number `id` of a run is forwarded, and records it if so.
    pub fn decide(&mut self, run: EventRun, id: u64) -> EventDecision {
        if run != self.run {
            return EventDecision::Drop;
        }
        match self.last {
            Some(last) if id <= last => EventDecision::Drop,
            Some(last) if id > last + 1 => EventDecision::Gap,
            _ => {
                self.last = Some(id);
                EventDecision::Deliver
            }
        }
    }

    /// Number of the last event forwarded to the caller.
    #[must_use]
    pub fn last(&self) -> Option<u64> {
        self.last
    }
}
