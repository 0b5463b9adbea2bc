//! Which upstream may get new work.

use catkin_decisions::{
    EVIDENCE_MAX_AGE, Incarnation, Ineligible, Instant, LeavingSource, UpstreamEvidence,
};
use googletest::prelude::*;
use proptest::prelude::*;
use std::time::Duration;

const FIRST: Incarnation = Incarnation(71);
const SECOND: Incarnation = Incarnation(12);

/// Maximum time from when a source (the platform's list, the upstream's report or another in
/// [`LeavingSource`]) knows that an upstream is leaving until it gets no new work.
const MAX_LEAVING_DELAY: Duration = Duration::from_secs(3);

/// Maximum time until a dispatched request has reached its upstream or failed.
const DISPATCH_BOUND: Duration = Duration::from_secs(1);

fn at_ms(ms: u64) -> Instant {
    Instant(Duration::from_millis(ms))
}

fn reported_at(at: Instant) -> UpstreamEvidence {
    let mut evidence = UpstreamEvidence::default();
    evidence.record_report(FIRST, false, at);
    evidence
}

fn report_leaving(evidence: &mut UpstreamEvidence, source: LeavingSource, at: Instant) {
    match source {
        LeavingSource::Platform => evidence.record_listed(true),
        LeavingSource::Report => {
            evidence.record_report(FIRST, true, at);
        }
        LeavingSource::Refusal | LeavingSource::Peer => {
            evidence.record_leaving(FIRST, source);
        }
    }
}

/// Records a report and a reply that lag and do not yet say that the upstream is leaving.
fn record_lagging_reports(evidence: &mut UpstreamEvidence, at: Instant) {
    evidence.record_report(FIRST, false, at);
    evidence.record_response(FIRST, at);
}

/// An upstream starts leaving and only one source reports it; all others lag and still show it as live.
/// A request sent there would be interrupted a moment later.
#[gtest]
fn one_report_of_leaving_outweighs_all_others() {
    for source in [
        LeavingSource::Platform,
        LeavingSource::Report,
        LeavingSource::Refusal,
        LeavingSource::Peer,
    ] {
        let mut evidence = reported_at(at_ms(0));

        report_leaving(&mut evidence, source, at_ms(100));
        let verdicts = (2..200)
            .map(|n| {
                record_lagging_reports(&mut evidence, at_ms(n * 100));
                evidence.eligible(at_ms(n * 100))
            })
            .collect::<Vec<_>>();

        let leaving = Ineligible::Leaving {
            reported_by: source,
        };
        expect_that!(verdicts, each(err(eq(&leaving))));
    }
}

/// An upstream is lost together with its availability zone's network, so no source can report it. Only the
/// missing reports show it.
#[gtest]
fn missing_reports_stop_new_work_in_time() {
    let evidence = reported_at(at_ms(1000));

    let last = (0..10_000)
        .filter(|n| evidence.eligible(at_ms(*n)).is_ok())
        .max()
        .expect("eligible at first");

    expect_that!(
        at_ms(last).since(at_ms(1000)) + DISPATCH_BOUND,
        le(MAX_LEAVING_DELAY)
    );
    expect_that!(evidence.eligible(at_ms(9000)), err(eq(&Ineligible::Stale)));
}

/// An upstream is paused for 10 s and then responds to a report request sent before the pause. The response is
/// evidence only for the time of that request.
#[gtest]
fn a_late_report_dates_from_its_request() {
    let mut evidence = reported_at(at_ms(0));

    evidence.record_report(FIRST, false, at_ms(500));

    expect_that!(
        evidence.eligible(at_ms(10_500)),
        err(eq(&Ineligible::Stale))
    );
}

/// An upstream restarts. Reports that the former process was leaving must not keep the new one from getting
/// work.
#[gtest]
fn a_restarted_upstream_gets_work_again() {
    let mut evidence = reported_at(at_ms(0));
    evidence.record_listed(true);

    let former = evidence.record_report(SECOND, false, at_ms(500));
    evidence.record_listed(true);

    expect_that!(former, some(eq(FIRST)));
    expect_that!(evidence.eligible(at_ms(600)), ok(anything()));
}

/// A report of the process before a restart arrives out of order, after one of the new process.
#[gtest]
fn a_late_report_does_not_restore_a_replaced_process() {
    let mut evidence = reported_at(at_ms(0));
    evidence.record_report(SECOND, false, at_ms(500));

    let former = evidence.record_report(FIRST, false, at_ms(600));

    expect_that!(former, none());
    expect_that!(evidence.incarnation(), some(eq(SECOND)));
}

/// A router starts while the platform's list shows an upstream as leaving. It cannot know which process is
/// meant, so the upstream gets no work until the list changes.
#[gtest]
fn a_listing_received_first_holds_until_it_changes() {
    let mut evidence = UpstreamEvidence::default();
    evidence.record_listed(true);
    evidence.record_report(FIRST, false, at_ms(0));

    let before = evidence.eligible(at_ms(1)).is_ok();
    evidence.record_listed(false);
    let after = evidence.eligible(at_ms(2)).is_ok();

    expect_that!((before, after), eq((false, true)));
}

/// Peers report many former processes of an upstream as leaving. The bounded list of these must not evict
/// the entry of the current process, or the leaving upstream would get work again.
#[gtest]
fn reports_on_other_processes_do_not_evict_the_current_one() {
    let mut evidence = reported_at(at_ms(0));
    evidence.record_leaving(FIRST, LeavingSource::Peer);

    for n in 100..200 {
        evidence.record_leaving(Incarnation(n), LeavingSource::Peer);
    }

    expect_that!(evidence.eligible(at_ms(1)), err(anything()));
    expect_that!(evidence.leaving().len(), le(16));
}

#[gtest]
fn an_ended_process_gets_no_work() {
    let mut evidence = reported_at(at_ms(0));

    evidence.record_ended(FIRST);
    evidence.record_report(FIRST, false, at_ms(10));

    expect_that!(evidence.eligible(at_ms(20)), err(eq(&Ineligible::NoReport)));
}

#[derive(Clone, Copy, Debug)]
enum Observation {
    Report(bool),
    Reply,
    Listed(bool),
    Refusal,
    Peer,
}

fn observation() -> impl Strategy<Value = Observation> {
    prop_oneof![
        any::<bool>().prop_map(Observation::Report),
        Just(Observation::Reply),
        any::<bool>().prop_map(Observation::Listed),
        Just(Observation::Refusal),
        Just(Observation::Peer),
    ]
}

proptest! {
    #[test]
    fn eligible_only_with_fresh_evidence_and_never_after_leaving(
        observations in prop::collection::vec((0..900_u64, observation()), 1..80)
    ) {
        let mut evidence = reported_at(at_ms(0));
        let (mut now, mut last_heard, mut left) = (0, 0, false);

        for (wait, observation) in observations {
            now += wait;
            match observation {
                Observation::Report(leaving) => {
                    evidence.record_report(FIRST, leaving, at_ms(now));
                    left |= leaving;
                    last_heard = now;
                }
                Observation::Reply => {
                    evidence.record_response(FIRST, at_ms(now));
                    last_heard = now;
                }
                Observation::Listed(leaving) => {
                    evidence.record_listed(leaving);
                    left |= leaving;
                }
                Observation::Refusal => {
                    evidence.record_leaving(FIRST, LeavingSource::Refusal);
                    left = true;
                }
                Observation::Peer => {
                    evidence.record_leaving(FIRST, LeavingSource::Peer);
                    left = true;
                }
            }

            let later = now + wait;
            let fresh = at_ms(later).since(at_ms(last_heard)) <= EVIDENCE_MAX_AGE;
            prop_assert_eq!(evidence.eligible(at_ms(later)).is_ok(), fresh && !left);
        }
    }
}
