use super::*;

/// Decides which events of which run a caller gets.
///
/// A stream that loses its upstream goes on with another run. Were an event of the older run handed
/// on after that, or one that was already handed on, the caller would see text twice or of two runs
/// joined. The relay takes only the next number, of the newest run.
#[derive(Clone, Debug)]
pub struct EventRelay {
    run: EventRun,
    last: Option<u64>,
}

/// Number of a run of a stream.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct EventRun(u32);

/// What becomes of an event.
#[derive(Clone, Copy, Debug, Eq, PartialEq, IntoStaticStr, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum EventDecision {
    /// It goes to the caller.
    Deliver,
    /// It is dropped: the caller has it, or its run is over.
    Drop,
    /// Events before it are missing, so its run must not go on.
    Gap,
}

impl EventRelay {
    /// A relay whose caller already has the events up to `last`.
    #[must_use]
    pub fn new(last: Option<u64>) -> Self {
        Self {
            run: EventRun::default(),
            last,
        }
    }

    /// Begins another run, which ends all older ones.
    pub fn begin_run(&mut self) -> EventRun {
        self.run = EventRun(self.run.0 + 1);
        self.run
    }

    /// Decides about an event with the number `id`.
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

    /// Number of the last event that the caller has.
    #[must_use]
    pub fn last(&self) -> Option<u64> {
        self.last
    }
}
