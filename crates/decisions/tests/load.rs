//! The admission decisions under load, judged by what callers receive, each beside the plain
//! baseline in the same run.
//!
//! `cargo test -p catkin-decisions --release --test load -- --nocapture --test-threads 1` prints the
//! rows of `docs/LOAD.md`.

mod load_support;

use catkin_decisions::Lane;
use googletest::prelude::*;
use load_support::{Job, Policy, Site, Verdict, arrivals, merged, run};
use std::time::Duration;

/// Teams of each deployment.
const TEAMS: usize = 10;

/// Seconds that a load of quick calls lasts.
const SPAN: f64 = 12.0;

/// The plain service of both deployments: three workers.
fn plain() -> Site {
    Site {
        upstreams: 3,
        servers: 16,
        slow: None,
        engines: false,
        report: true,
        teams: TEAMS,
    }
}

/// The engines of a deployment: 36 or 18.
fn engines(upstreams: usize) -> Site {
    Site {
        upstreams,
        servers: 64,
        engines: true,
        ..plain()
    }
}

/// A lookup of 20 ms whose caller waits 2 s.
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

/// Requests a second that a site serves at most.
fn capacity(site: &Site, job: &Job) -> f64 {
    let servers = u32::try_from(site.upstreams * site.servers).expect("a small number");
    f64::from(servers) / job.service.as_secs_f64()
}

/// Load of all teams alike, as a part of the site's capacity.
fn even_load(site: &Site, job: &Job, load: f64, span: (f64, f64)) -> Vec<Job> {
    let rate = capacity(site, job) * load / 10.0;
    merged((0..TEAMS).map(|team| {
        let job = Job {
            team,
            ..job.clone()
        };
        arrivals(team as u64, rate, span, &job)
    }))
}

fn both(name: &str, site: &Site, jobs: &[Job]) -> (Verdict, Verdict) {
    let product = run(site, Policy::Product, jobs);
    let baseline = run(site, Policy::Baseline, jobs);
    println!("| {name} | admission | {product} |");
    println!("| {name} | baseline | {baseline} |");
    (product, baseline)
}

fn overload(site: &Site, factor: f64) -> (Verdict, Verdict) {
    let jobs = even_load(site, &lookup(0), factor, (0.0, SPAN));
    let reports = if site.report { "" } else { ", no reports" };
    both(&format!("overload {factor:.0}x{reports}"), site, &jobs)
}

/// Twice as many calls come in as three plain workers can serve. Without refusals the queue grows
/// until every answer is late; a user would see nothing but timeouts.
#[gtest]
fn overload_2x_serves_what_fits_and_refuses_the_rest_at_once() {
    let (product, baseline) = overload(&plain(), 2.0);

    expect_that!(product.of_capacity, ge(0.95));
    expect_that!(product.refused_p99, le(Duration::from_millis(50)));
    expect_that!(product.jain, ge(0.99));
    expect_that!(product.answered, gt(baseline.answered));
}

/// Five times as many calls come in as can be served.
#[gtest]
fn overload_5x_serves_what_fits_and_refuses_the_rest_at_once() {
    let (product, baseline) = overload(&plain(), 5.0);

    expect_that!(product.of_capacity, ge(0.95));
    expect_that!(product.refused_p99, le(Duration::from_millis(50)));
    expect_that!(product.jain, ge(0.99));
    expect_that!(product.answered, gt(baseline.answered));
}

/// The workers do not say how much they can take: the limits have to be found from latency.
#[gtest]
fn overload_2x_without_load_reports_serves_what_fits() {
    let site = Site {
        report: false,
        ..plain()
    };

    let (product, baseline) = overload(&site, 2.0);

    expect_that!(product.of_capacity, ge(0.95));
    expect_that!(product.refused_p99, le(Duration::from_millis(50)));
    expect_that!(product.jain, ge(0.99));
    expect_that!(product.answered, gt(baseline.answered));
}

/// For one second five times the capacity comes in on top of half of it. What was in the burst and
/// could not be served must not make the calls after it late.
#[gtest]
fn burst_is_over_soon_after_it_ends() {
    let site = plain();
    let usual = even_load(&site, &lookup(0), 0.5, (0.0, SPAN));
    let burst = even_load(&site, &lookup(0), 5.0, (4.0, 5.0));
    let jobs = merged([usual, burst]);

    let (product, baseline) = both("burst 5x for 1 s", &site, &jobs);

    expect_that!(product.answered, gt(baseline.answered));
    expect_that!(product.refused_p99, le(Duration::from_millis(50)));
    expect_that!(product.wasted, le(0.01));
}

/// One team sends twice what the whole service can serve. In one FIFO its backlog stands before
/// everybody's calls, and the other teams' users see timeouts that they did not cause.
#[gtest]
fn hot_team_does_not_move_the_others() {
    let site = plain();
    let usual = even_load(&site, &lookup(0), 0.6, (0.0, SPAN));
    let rate = capacity(&site, &lookup(0)) * 2.0;
    let hot = arrivals(99, rate, (0.0, SPAN), &lookup(0));

    let alone = run(&site, Policy::Product, &usual);
    let jobs = merged([usual, hot]);
    let (product, baseline) = both("hot team", &site, &jobs);
    println!("| hot team without it | admission | {alone} |");

    let bound = alone.other_teams_p99().mul_f64(1.2);
    expect_that!(product.other_teams_p99(), le(bound));
    expect_that!(baseline.other_teams_p99(), gt(bound));
    expect_that!(product.refused_p99, le(Duration::from_millis(50)));
    expect_that!(product.jain, ge(0.99));
}

/// One item is asked for at one and a half times the capacity, half of it by reads and half by
/// calls that may not be merged. Users of all other items would wait behind it.
#[gtest]
fn hot_key_does_not_move_the_others() {
    let site = plain();
    let usual = even_load(&site, &lookup(0), 0.5, (0.0, SPAN));
    let rate = capacity(&site, &lookup(0)) * 0.75;
    let hot = |seed, read| {
        let job = Job {
            key: Some((7, read)),
            ..lookup(0)
        };
        arrivals(seed, rate, (0.0, SPAN), &job)
    };
    let jobs = merged([usual.clone(), hot(98, true), hot(99, false)]);

    let alone = run(&site, Policy::Product, &usual);
    let (product, baseline) = both("hot key", &site, &jobs);
    println!("| hot key without it | admission | {alone} |");

    let bound = alone.other_teams_p99().mul_f64(1.2);
    expect_that!(product.other_teams_p99(), le(bound));
    expect_that!(baseline.other_teams_p99(), gt(bound));
    expect_that!(product.answered, gt(baseline.answered));
}

fn slow_upstream(count: usize) {
    let healthy = engines(count);
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

    let alone = run(&healthy, Policy::Product, &jobs);
    let (product, baseline) = both(&format!("1 of {count} slow"), &slow, &jobs);
    println!("| 0 of {count} slow | admission | {alone} |");

    let bound = alone.quick_p99.mul_f64(1.5);
    expect_that!(product.quick_p99, le(bound));
    expect_that!(product.quick_p99, lt(baseline.quick_p99));
}

/// One of 36 engines turns ten times slower. A router that sends to it in turn makes one quick call
/// in 36 wait for it.
#[gtest]
fn slow_upstream_among_36_does_not_set_the_p99() {
    slow_upstream(36);
}

/// One of 18 engines turns ten times slower.
#[gtest]
fn slow_upstream_among_18_does_not_set_the_p99() {
    slow_upstream(18);
}

fn long_among_short(count: usize) {
    let site = engines(count);
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
    let jobs = merged([short_load.clone(), even_load(&site, &long, 1.5, span)]);

    let alone = run(&site, Policy::Product, &short_load);
    let (product, baseline) = both(&format!("mixed lengths, {count} engines"), &site, &jobs);
    println!("| quick alone, {count} engines | admission | {alone} |");

    let bound = alone.quick_p99.mul_f64(1.3);
    expect_that!(product.quick_p99, le(bound));
    expect_that!(baseline.quick_p99, gt(bound));
}

/// Generations of a minute ask for one and a half times what 36 engines hold, beside quick calls.
/// In one queue a quick call waits for a generation to end.
#[gtest]
fn long_among_short_leaves_quick_calls_quick_on_36_engines() {
    long_among_short(36);
}

/// The same on 18 engines.
#[gtest]
fn long_among_short_leaves_quick_calls_quick_on_18_engines() {
    long_among_short(18);
}
