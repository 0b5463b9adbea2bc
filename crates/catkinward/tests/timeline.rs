//! The ring buffer of events and its queries.

use catkinward::{
    Event, EventKind, HybridTime, ProcessClock, Timeline, TimelineExtract, TimelineQuery,
};
use googletest::prelude::*;
use std::sync::Arc;

fn timeline(capacity: usize) -> Timeline {
    let vm = "vm-1".parse().expect("a valid name");
    let zone = "zone-1".parse().expect("a valid name");
    Timeline::new(vm, zone, Arc::default(), capacity)
}

fn event(kind: EventKind, request: &str, upstream: &str) -> Event {
    Event {
        request: Some(request.parse().expect("a valid name")),
        upstream: Some(upstream.parse().expect("a valid name")),
        ..Event::new(kind)
    }
}

fn kinds(extract: &TimelineExtract) -> Vec<EventKind> {
    extract.records.iter().map(|r| r.event.kind).collect()
}

/// A VM has no disk and little memory. When there are more events than the ring buffer holds, it
/// keeps the newest and reports how many it has overwritten.
#[gtest]
fn full_ring_keeps_the_newest_events_and_counts_the_overwritten() {
    let timeline = timeline(2);

    timeline.record(event(EventKind::Accepted, "a", "e"));
    timeline.record(event(EventKind::Dispatched, "a", "e"));
    timeline.record(event(EventKind::Whole, "a", "e"));

    let extract = timeline.extract(&TimelineQuery::default());
    expect_that!(
        kinds(&extract),
        elements_are![eq(&EventKind::Dispatched), eq(&EventKind::Whole)]
    );
    expect_that!(extract.overwritten, eq(1));
}

#[gtest]
fn queries_filter_by_request_upstream_and_time() {
    let timeline = timeline(10);
    timeline.record(event(EventKind::Accepted, "a", "e"));
    timeline.record(event(EventKind::Dispatched, "b", "e"));
    timeline.record(event(EventKind::Whole, "a", "f"));
    let second = timeline.extract(&TimelineQuery::default()).records[1].time;

    let of_request = timeline.extract(&TimelineQuery {
        request: Some("a".parse().expect("a valid name")),
        ..TimelineQuery::default()
    });
    let on_upstream = timeline.extract(&TimelineQuery {
        upstream: Some("e".parse().expect("a valid name")),
        ..TimelineQuery::default()
    });
    let later = timeline.extract(&TimelineQuery {
        since: Some(second),
        ..TimelineQuery::default()
    });

    expect_that!(
        kinds(&of_request),
        elements_are![eq(&EventKind::Accepted), eq(&EventKind::Whole)]
    );
    expect_that!(
        kinds(&on_upstream),
        elements_are![eq(&EventKind::Accepted), eq(&EventKind::Dispatched)]
    );
    expect_that!(
        kinds(&later),
        elements_are![eq(&EventKind::Dispatched), eq(&EventKind::Whole)]
    );
}

/// A message arrives from a VM whose wall clock is a minute ahead. Events that this VM records after
/// it must come after it in the merged timeline.
#[gtest]
fn events_after_a_message_have_later_times() {
    let timeline = timeline(10);
    let ahead = ProcessClock::default().tick();
    let sent = HybridTime {
        micros: ahead.micros + 60_000_000,
        ..ahead
    };

    timeline.clock().observe(sent);
    timeline.record(Event::new(EventKind::Accepted));

    let extract = timeline.extract(&TimelineQuery::default());
    expect_that!(extract.records[0].time, gt(sent));
}
