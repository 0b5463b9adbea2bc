//! Load tests of admission control. Each compares what callers receive with a baseline in the same
//! run.
//!
//! `cargo test -p catkin-decisions --release --test load -- --nocapture --test-threads 1` prints the
//! rows of `docs/LOAD.md`.

mod load_support;

use catkin_decisions::Lane;
use googletest::prelude::*;
use load_support::{Job, Policy, Site, Verdict, arrivals, merge, run};
use std::time::Duration;

/// Number of teams in each deployment.
const TEAMS: usize = 10;

/// Duration of a load of quick calls in seconds.
const SPAN: f64 = 12.0;

/// A plain service with three workers.
fn plain_site() -> Site {
    Site {
        upstreams: 3,
        servers: 16,
        slow: None,
        engines: false,
        report: true,
        teams: TEAMS,
    }
}

/// A service with `upstreams` engines: 36 or 18.
fn engine_site(upstreams: usize) -> Site {
    Site {
        upstreams,
        servers: 64,
        engines: true,
        ..plain_site()
    }
}

/// A lookup of 20 ms with a deadline of 2 s.
fn lookup(team: usize) -> Job {
    Job {
        arrival: Duration::ZERO,
        team,
        lane: Lane::Quick,
        service: Duration::from_millis(20),
        deadline: Duration::from_secs(2),
        key: None,
    }
}

/// Maximum number of requests per second that a site can serve.
fn capacity(site: &Site, job: &Job) -> f64 {
    let servers = u32::try_from(site.upstreams * site.servers).expect("a small number");
    f64::from(servers) / job.service.as_secs_f64()
}

/// Equal load of all teams, as a fraction of the site's capacity.
fn even_load(site: &Site, job: &Job, load: f64, span: (f64, f64)) -> Vec<Job> {
    let rate = capacity(site, job) * load / 10.0;
    merge((0..TEAMS).map(|team| {
        let job = Job {
            team,
            ..job.clone()
        };
        arrivals(team as u64, rate, span, &job)
    }))
}

fn run_both(name: &str, site: &Site, jobs: &[Job]) -> (Verdict, Verdict) {
    let admission = run(site, Policy::Admission, jobs);
    let baseline = run(site, Policy::Baseline, jobs);
    println!("| {name} | admission | {admission} |");
    println!("| {name} | baseline | {baseline} |");
    (admission, baseline)
}

fn overload(site: &Site, factor: f64) -> (Verdict, Verdict) {
    let jobs = even_load(site, &lookup(0), factor, (0.0, SPAN));
    let reports = if site.report { "" } else { ", no reports" };
    run_both(&format!("overload {factor:.0}x{reports}"), site, &jobs)
}

/// Guards against a queue that grows until every response is late when twice as many calls arrive as
/// three plain workers can serve.
#[gtest]
fn overload_2x_uses_full_capacity_and_refuses_the_rest_at_once() {
    let (admission, baseline) = overload(&plain_site(), 2.0);

    expect_that!(admission.of_capacity, ge(0.95));
    expect_that!(admission.refused_p99, le(Duration::from_millis(50)));
    expect_that!(admission.jain, ge(0.99));
    expect_that!(admission.answered, gt(baseline.answered));
}

/// Guards against the same failure when five times as many calls arrive as can be served.
#[gtest]
fn overload_5x_uses_full_capacity_and_refuses_the_rest_at_once() {
    let (admission, baseline) = overload(&plain_site(), 5.0);

    expect_that!(admission.of_capacity, ge(0.95));
    expect_that!(admission.refused_p99, le(Duration::from_millis(50)));
    expect_that!(admission.jain, ge(0.99));
    expect_that!(admission.answered, gt(baseline.answered));
}

/// Guards overload handling with workers that do not report their capacity, so that the limits have to
/// be derived from latency.
#[gtest]
fn overload_2x_without_load_reports_uses_full_capacity() {
    let site = Site {
        report: false,
        ..plain_site()
    };

    let (admission, baseline) = overload(&site, 2.0);

    expect_that!(admission.of_capacity, ge(0.95));
    expect_that!(admission.refused_p99, le(Duration::from_millis(50)));
    expect_that!(admission.jain, ge(0.99));
    expect_that!(admission.answered, gt(baseline.answered));
}

/// Guards against a burst of five times the capacity for one second, on top of a load of half the
/// capacity, that makes the calls after it late.
#[gtest]
fn burst_does_not_delay_the_calls_after_it() {
    let site = plain_site();
    let usual = even_load(&site, &lookup(0), 0.5, (0.0, SPAN));
    let burst = even_load(&site, &lookup(0), 5.0, (4.0, 5.0));
    let jobs = merge([usual, burst]);

    let (admission, baseline) = run_both("burst 5x for 1 s", &site, &jobs);

    expect_that!(admission.answered, gt(baseline.answered));
    expect_that!(admission.refused_p99, le(Duration::from_millis(50)));
    expect_that!(admission.wasted, le(0.01));
}

/// Guards against a team that sends twice what the service can serve and delays all other teams,
/// because its backlog is ahead of their calls in a single FIFO.
#[gtest]
fn hot_team_does_not_delay_the_others() {
    let site = plain_site();
    let usual = even_load(&site, &lookup(0), 0.6, (0.0, SPAN));
    let rate = capacity(&site, &lookup(0)) * 2.0;
    let hot = arrivals(99, rate, (0.0, SPAN), &lookup(0));

    let alone = run(&site, Policy::Admission, &usual);
    let jobs = merge([usual, hot]);
    let (admission, baseline) = run_both("hot team", &site, &jobs);
    println!("| hot team without it | admission | {alone} |");

    let bound = alone.other_teams_p99().mul_f64(1.2);
    expect_that!(admission.other_teams_p99(), le(bound));
    expect_that!(baseline.other_teams_p99(), gt(bound));
    expect_that!(admission.refused_p99, le(Duration::from_millis(50)));
    expect_that!(admission.jain, ge(0.99));
}

/// Guards against a hot key that delays calls for all other keys. It is requested at one and a half
/// times the capacity, half of it by reads and half by calls that must not be coalesced.
#[gtest]
fn hot_key_does_not_delay_the_others() {
    let site = plain_site();
    let usual = even_load(&site, &lookup(0), 0.5, (0.0, SPAN));
    let rate = capacity(&site, &lookup(0)) * 0.75;
    let hot = |seed, read| {
        let job = Job {
            key: Some((7, read)),
            ..lookup(0)
        };
        arrivals(seed, rate, (0.0, SPAN), &job)
    };
    let jobs = merge([usual.clone(), hot(98, true), hot(99, false)]);

    let alone = run(&site, Policy::Admission, &usual);
    let (admission, baseline) = run_both("hot key", &site, &jobs);
    println!("| hot key without it | admission | {alone} |");

    let bound = alone.other_teams_p99().mul_f64(1.2);
    expect_that!(admission.other_teams_p99(), le(bound));
    expect_that!(baseline.other_teams_p99(), gt(bound));
    expect_that!(admission.answered, gt(baseline.answered));
}

fn slow_upstream(count: usize) {
    let healthy = engine_site(count);
    let slow = Site {
        slow: Some((count / 2, 10)),
        ..healthy.clone()
    };
    let job = Job {
        service: Duration::from_millis(500),
        deadline: Duration::from_secs(10),
        ..lookup(0)
    };
    let jobs = even_load(&healthy, &job, 0.6, (0.0, SPAN));

    let alone = run(&healthy, Policy::Admission, &jobs);
    let (admission, baseline) = run_both(&format!("1 of {count} slow"), &slow, &jobs);
    println!("| 0 of {count} slow | admission | {alone} |");

    let bound = alone.quick_p99.mul_f64(1.5);
    expect_that!(admission.quick_p99, le(bound));
    expect_that!(admission.quick_p99, lt(baseline.quick_p99));
}

/// Guards against a router that keeps sending to one of 36 engines after it became ten times slower:
/// with round-robin, one quick call in 36 waits for it.
#[gtest]
fn slow_upstream_among_36_does_not_determine_the_p99() {
    slow_upstream(36);
}

/// The same scenario with 18 engines.
#[gtest]
fn slow_upstream_among_18_does_not_determine_the_p99() {
    slow_upstream(18);
}

fn long_generations_among_quick_calls(count: usize) {
    let site = engine_site(count);
    let quick = Job {
        service: Duration::from_millis(500),
        deadline: Duration::from_secs(10),
        ..lookup(0)
    };
    let long = Job {
        lane: Lane::Long,
        service: Duration::from_secs(60),
        deadline: Duration::from_secs(600),
        ..lookup(0)
    };
    let span = (0.0, 60.0);
    let short_load = even_load(&site, &quick, 0.08, span);
    let jobs = merge([short_load.clone(), even_load(&site, &long, 1.5, span)]);

    let alone = run(&site, Policy::Admission, &short_load);
    let (admission, baseline) = run_both(&format!("mixed lengths, {count} engines"), &site, &jobs);
    println!("| quick alone, {count} engines | admission | {alone} |");

    let bound = alone.quick_p99.mul_f64(1.3);
    expect_that!(admission.quick_p99, le(bound));
    expect_that!(baseline.quick_p99, gt(bound));
}

/// Guards against quick calls that wait for generations to end. Generations of a minute demand one and
/// a half times the slots of 36 engines, and a single queue would hold the quick calls behind them.
#[gtest]
fn long_generations_do_not_delay_quick_calls_on_36_engines() {
    long_generations_among_quick_calls(36);
}

/// The same scenario with 18 engines.
#[gtest]
fn long_generations_do_not_delay_quick_calls_on_18_engines() {
    long_generations_among_quick_calls(18);
}
