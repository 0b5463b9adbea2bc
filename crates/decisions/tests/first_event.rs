//! When a run without events is doubtful, and how often upstreams are checked on which runs only wait.

use catkin_decisions::{
    CallReport, EventWait, FIRST_EVENT_TIMEOUT, Instant, STALL_TIMEOUT, UpstreamCalls,
    UpstreamHealth, WaitDecision, WaitingRun, WaitingRuns,
};
use googletest::prelude::*;
use std::time::Duration;

fn at(ms: u64) -> Instant {
    Instant(Duration::from_millis(ms))
}

fn ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap()
}

/// Checks a run until it is doubtful or `end` has passed; `calls` gives what the upstream reports at a time, and each
/// check requests a report. Returns when the run was doubtful.
fn doubtful_at(
    mut wait: EventWait,
    has_copy: bool,
    suspect: impl Fn(u64) -> bool,
    calls: impl Fn(u64) -> Option<u32>,
    end: u64,
) -> Option<u64> {
    let mut report = None;
    loop {
        let now = wait.check_at();
        if now > at(end) {
            return None;
        }
        let known = UpstreamCalls {
            suspect: suspect(ms(now.0)),
            report,
        };
        match wait.check(Some(&known), has_copy, now) {
            WaitDecision::Wait | WaitDecision::Busy(_) => {}
            WaitDecision::Doubtful | WaitDecision::Missing(_) => return Some(ms(now.0)),
        }
        let arrived = now.after(Duration::from_millis(5));
        if let Some(calls) = calls(ms(now.0)) {
            let own_calls = 3;
            report = Some(CallReport {
                at: arrived,
                calls,
                own_calls,
            });
        }
    }
}

/// Guards against a second send of a run that waits at a busy upstream, and against one that a late report causes.
#[gtest]
fn run_that_its_upstream_counts_is_kept() {
    let first = EventWait::for_first(at(0));
    let next = EventWait::for_next(at(0));
    for wait in [first, next] {
        let counted = doubtful_at(wait, false, |_| false, |_| Some(3), 25_000);
        let late_once = |now| Some(if (6000..6900).contains(&now) { 2 } else { 3 });
        let late = doubtful_at(first, false, |_| false, late_once, 25_000);

        expect_that!((counted, late), eq((None, None)));
    }
}

/// Guards against a call that was lost on the way and is never sent again.
#[gtest]
fn run_that_its_upstream_does_not_count_is_doubtful_after_two_reports() {
    let first = EventWait::for_first(at(0));
    let next = EventWait::for_next(at(0));

    let lost = doubtful_at(first, false, |_| false, |_| Some(2), 25_000);
    let lost_later = |now| Some(if now < 9000 { 3 } else { 2 });
    let later = doubtful_at(first, false, |_| false, lost_later, 25_000);
    let begun = doubtful_at(next, false, |_| false, |_| Some(2), 25_000);

    expect_that!(lost, some(all![ge(6000), le(7000)]));
    expect_that!(later, some(all![gt(9000), le(11_500)]));
    expect_that!(begun, some(le(3 * ms(STALL_TIMEOUT))));
}

/// Guards against a change of the existing timeouts without reports, for suspects, and with a usable KV copy.
#[gtest]
fn other_runs_keep_their_timeouts() {
    let first = EventWait::for_first(at(0));
    let next = EventWait::for_next(at(0));
    let (first_due, next_due) = (ms(FIRST_EVENT_TIMEOUT), ms(STALL_TIMEOUT));
    let mut unscheduled = first;

    let early = unscheduled.check(None, false, unscheduled.check_at());
    let due = unscheduled.check_at();
    let late = unscheduled.check(None, false, due);

    expect_that!(early, eq(WaitDecision::Wait));
    expect_that!((due, late), eq((at(first_due), WaitDecision::Doubtful)));
    for (wait, suspect, copy, calls, expected) in [
        (first, false, false, None, first_due),
        (first, true, false, Some(3), first_due),
        (next, true, false, Some(3), next_due),
        (next, false, true, Some(3), next_due),
    ] {
        let doubtful = doubtful_at(wait, copy, |_| suspect, |_| calls, 25_000);
        expect_that!(doubtful, some(eq(expected)));
    }
    // An upstream that reported at first and then stops reporting.
    let stops = |now| (now < 8000).then_some(3);
    let stopped = doubtful_at(first, false, |_| false, stops, 25_000);
    expect_that!(stopped, some(le(10_500)));
}

/// Guards against false alarms because of calls that were sent too late for a report.
#[gtest]
fn report_must_count_only_calls_that_were_sent_long_before() {
    let mut waiting = WaitingRuns::default();
    for sent in [0, 5000, 5900] {
        let (sent, resumes) = (at(sent), false);
        waiting.add(WaitingRun { sent, resumes });
    }

    expect_that!(waiting.counted_at(at(6000), 5), eq(4));
    expect_that!(waiting.counted_at(at(6900), 5), eq(5));
}

/// Guards against checks every 200 ms of an engine that processes prompts, and against a late one in the middle of a
/// stream.
#[gtest]
fn upstream_on_which_first_runs_wait_is_probed_later() {
    let probed = |resumes: bool, begun: bool| {
        let mut health = UpstreamHealth::new(at(0));
        health.call_started(at(0));
        let run = WaitingRun {
            sent: at(0),
            resumes,
        };
        health.waiting.add(run);
        if begun {
            health.waiting.remove(run);
        }
        (0..1000).step_by(50).find(|&ms| {
            let timeout = health.scheduled_silence_timeout();
            health.start_probe_after(timeout, at(ms))
        })
    };

    expect_that!(probed(false, false), some(eq(600)));
    expect_that!(probed(true, false), some(eq(200)));
    expect_that!(probed(false, true), some(eq(200)));
}
