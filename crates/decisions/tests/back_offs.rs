//! Back-offs that upstreams ask a VM for.

use catkin_decisions::{
    BackOffChange, BackOffTable, Instant, RequestedBackOff, RequestedBackOffError,
    UpstreamIncarnation, UpstreamRequestKind, has_spare_slot,
};
use googletest::prelude::*;
use std::time::Duration;
use strum::IntoEnumIterator;

fn at(ms: u64) -> Instant {
    Instant(Duration::from_millis(ms))
}

fn ms(ms: u64) -> RequestedBackOff {
    Duration::from_millis(ms).into()
}

fn upstream(id: &str) -> UpstreamIncarnation {
    id.parse().unwrap()
}

fn is_excluded(table: &BackOffTable, id: &UpstreamIncarnation, draw: f64, now: Instant) -> bool {
    table.excluded(draw, now).any(|excluded| excluded == id)
}

/// Guards against back-offs that are cut short, and values that make a VM avoid an upstream for ever.
#[gtest]
fn seconds_are_read_and_everything_else_is_an_error() {
    use RequestedBackOffError::{Date, Malformed, Negative};
    let read = |text: &str| text.parse::<RequestedBackOff>();
    for (text, expected) in [
        ("3", 3_000),
        (" 3 ", 3_000),
        ("0.25", 250),
        ("0", 0),
        ("4294967295", 4_294_967_295_000),
    ] {
        expect_that!(read(text), ok(eq(ms(expected))), "{text}");
    }
    // Longer than any process lives, and within the range of times.
    let longest = ms(4_294_967_295_000);
    expect_that!(read(&"9".repeat(400)), ok(eq(longest)));
    expect_that!(read("99999999999999999999"), ok(eq(longest)));
    for (text, expected) in [
        ("", Malformed),
        ("soon", Malformed),
        ("1e3", Malformed),
        ("inf", Malformed),
        ("NaN", Malformed),
        ("3 s", Malformed),
        ("1.2.3", Malformed),
        (".", Malformed),
        ("-", Malformed),
        ("-1", Negative),
        ("-0.5", Negative),
        ("Wed, 21 Oct 2026 07:28:00 GMT", Date),
    ] {
        expect_that!(read(text), err(eq(expected)), "{text}");
    }
    expect_that!(ms(250).to_string(), eq("0.25"));
}

/// Guards against a later statement that ends a back-off early.
#[gtest]
fn shorter_back_off_does_not_end_a_longer_one() {
    let mut table = BackOffTable::default();
    let id = upstream("u");

    let first = table.request(&id, ms(3_000), at(0));
    let shorter = table.request(&id, ms(500), at(1_000));
    let zero = table.request(&id, ms(0), at(1_500));
    let longer = table.request(&id, ms(3_000), at(2_000));

    expect_that!(first, some(eq(BackOffChange::Begun)));
    expect_that!(shorter, some(eq(BackOffChange::Unchanged)));
    expect_that!(zero, none());
    expect_that!(longer, some(eq(BackOffChange::Extended)));
    expect_that!(table.until(&id, at(4_999)), some(eq(at(5_000))));
    expect_that!(table.is_in_force(&id, at(5_000)), eq(false));
}

/// Guards against a back-off that binds the next process at the same address, or ends with a late statement of the
/// one before.
#[gtest]
fn back_off_binds_the_incarnation_that_asked() {
    let mut table = BackOffTable::default();
    let (old, new) = (upstream("u-1"), upstream("u-2"));
    table.request(&old, ms(3_000), at(0));

    let is_free = !table.is_in_force(&new, at(1));
    table.request(&new, ms(1_000), at(100));
    table.request(&old, ms(9_000), at(200));

    expect_that!(is_free, eq(true));
    expect_that!(table.until(&new, at(300)), some(eq(at(1_100))));
    expect_that!(table.count_in_force(at(300)), eq(2));
}

/// Guards against an upstream that gets all calls at once at the end of its back-off, and against one that is never
/// used again.
#[gtest]
fn calls_return_over_a_ramp() {
    let mut table = BackOffTable::default();
    let id = upstream("u");
    table.request(&id, ms(3_000), at(0));

    for now in [0, 1_000, 2_999, 3_000] {
        expect_that!(is_excluded(&table, &id, 0.0, at(now)), eq(true), "{now}");
    }
    expect_that!(is_excluded(&table, &id, 0.4, at(3_750)), eq(false));
    expect_that!(is_excluded(&table, &id, 0.6, at(3_750)), eq(true));
    expect_that!(is_excluded(&table, &id, 1.0, at(4_500)), eq(false));
    let ended_early = table.remove_ended(at(4_499));
    let ended = table.remove_ended(at(4_500));
    expect_that!(ended_early, is_empty());
    expect_that!(ended, elements_are![eq(&id)]);
}

/// Guards against a Retry-After that ends before the back-off, or is the same for all rejected callers.
#[gtest]
fn rejected_callers_return_after_the_end_and_spread() {
    let mut table = BackOffTable::default();
    let id = upstream("u");
    table.request(&id, ms(2_000), at(0));
    let returns = table.returns_at(&id, at(500)).unwrap();

    let delays = [0.0, 0.5, 1.0].map(|draw| returns.retry_after(draw, at(500)));

    expect_that!(delays[0], gt(Duration::from_millis(1_500)));
    expect_that!(delays[1], gt(delays[0]));
    expect_that!(delays[2], gt(delays[1]));
    expect_that!(table.returns_at(&id, at(3_000)), none());
}

/// Guards against requests other than calls that reach an upstream which wants none.
#[gtest]
fn only_checks_that_running_calls_depend_on_override_a_back_off() {
    let overriding = |has_calls| {
        UpstreamRequestKind::iter()
            .filter(|kind| kind.overrides_back_off(has_calls))
            .collect::<Vec<_>>()
    };

    expect_that!(
        overriding(false),
        elements_are![eq(&UpstreamRequestKind::CrashCheck)]
    );
    expect_that!(
        overriding(true),
        unordered_elements_are![
            eq(&UpstreamRequestKind::CrashCheck),
            eq(&UpstreamRequestKind::HealthCheck)
        ]
    );
}

/// Guards against upstreams that are pushed over one after the other, and urgent calls that are rejected before others.
#[gtest]
fn upstreams_take_the_calls_of_another_one_up_to_their_slots() {
    expect_that!(has_spare_slot(6, 5, 2), eq(true));
    expect_that!(has_spare_slot(6, 6, 2), eq(false));
    expect_that!(has_spare_slot(6, 8, 0), eq(true));
    expect_that!(has_spare_slot(6, 9, 0), eq(false));
    // The number of slots is not known.
    expect_that!(has_spare_slot(0, 0, 2), eq(true));
}

/// Guards against an overflow for an upstream that states the most slots that its entry can hold: it gets no urgent calls.
#[gtest]
fn upstream_with_the_most_slots_has_a_spare_one() {
    for priority in [0, 1, 9] {
        expect_that!(
            has_spare_slot(u32::MAX, 1000, priority),
            eq(true),
            "{priority}"
        );
    }
}
