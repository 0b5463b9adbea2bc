use super::*;

/// Room of one upstream process, from its reports.
#[derive(Clone, Debug, Default)]
pub struct UpstreamRoom {
    /// The last report, with its time.
    report: Option<(LoadSample, RoomReport, Instant)>,
}

impl UpstreamRoom {
    /// Records a report of the upstream.
    pub fn record_report(&mut self, load: LoadSample, room: RoomReport, now: Instant) {
        self.report = Some((load, room, now));
    }

    /// The calls that the upstream reported last, if that was within `max_age`.
    #[must_use]
    pub fn reported_load(&self, max_age: Duration, now: Instant) -> Option<LoadSample> {
        let (load, _, at) = self.report?;
        (now.since(at) < max_age).then_some(load)
    }

    /// The calls that the upstream reported last, with the time of the report.
    #[must_use]
    pub fn last_load(&self) -> Option<(LoadSample, Instant)> {
        let (load, _, at) = self.report?;
        Some((load, at))
    }

    /// Whether the upstream stated its current speed within `max_age`.
    #[must_use]
    pub fn states_speed(&self, max_age: Duration, now: Instant) -> bool {
        self.report
            .is_some_and(|(_, room, at)| room.slowdown.is_some() && now.since(at) < max_age)
    }
}
