//! Tracking of the prompts that engines hold in their prefix caches.

use catkin_decisions::{
    CACHE_REPORT_TTL, CachedPrompts, Instant, LinkRate, PromptPart, UpstreamIncarnation,
};
use googletest::prelude::*;
use std::time::Duration;

fn part(id: &str, tokens: u32) -> PromptPart {
    PromptPart {
        id: id.into(),
        tokens,
    }
}

fn engine(n: u32) -> UpstreamIncarnation {
    format!("engine-{n}").parse().unwrap()
}

fn at(ms: u64) -> Instant {
    Instant(Duration::from_millis(ms))
}

/// Reports of engines on their parts, all received at the same time.
fn reported(reports: &[(u32, &[(&str, u32)])]) -> CachedPrompts {
    let mut cached = CachedPrompts::default();
    for (n, parts) in reports {
        let parts = parts.iter().map(|(id, tokens)| part(id, *tokens)).collect();
        cached.record_report(&engine(*n), parts, at(0));
    }
    cached
}

#[gtest]
fn engines_that_hold_the_prompt_are_found() {
    let cached = reported(&[
        (1, &[("shared", 200), ("own", 8000)]),
        (2, &[("shared", 200), ("other", 8000)]),
        (3, &[("other", 8000)]),
    ]);

    let holders = cached.holders(&[part("shared", 200), part("own", 8000)], at(10));

    expect_that!(holders, eq(&vec![(engine(1), 8200), (engine(2), 200)]));
}

/// An engine has evicted the shared beginning of a prompt. It has to read the prompt again from there, so
/// the parts that it still holds after the gap must not count.
#[gtest]
fn a_part_counts_only_after_all_parts_before_it() {
    let cached = reported(&[
        (1, &[("own", 8000)]),
        (2, &[("shared", 150), ("own", 8000)]),
    ]);

    let holders = cached.holders(&[part("shared", 200), part("own", 8000)], at(10));

    expect_that!(holders, eq(&vec![(engine(2), 150)]));
}

#[gtest]
fn the_latest_report_of_a_part_counts() {
    let cached = reported(&[(1, &[("own", 4000), ("own", 8000), ("own", 0)])]);

    expect_that!(cached.holders(&[part("own", 8000)], at(10)), is_empty());
}

/// Engines evict prompts all the time; an old report would send callers to engines that hold nothing.
#[gtest]
fn reports_expire() {
    let cached = reported(&[(1, &[("own", 8000)])]);
    let later = at(0).after(CACHE_REPORT_TTL);

    expect_that!(cached.needs_query(&engine(1), at(10)), eq(false));
    expect_that!(cached.needs_query(&engine(1), later), eq(true));
    expect_that!(cached.holders(&[part("own", 8000)], later), is_empty());
}

/// Callers of lost VMs reconnect to a VM with a slow link. The reports of all engines at once would delay its
/// streams, so the number of engines queried depends on the link and on the size of the reports.
#[gtest]
fn number_of_queried_engines_fits_the_link() {
    let mut cached = CachedPrompts::default();
    let mbps = |mbps: u64| Some(LinkRate(mbps * 1_000_000));

    let typical = [10, 20, 200, 1000].map(|rate| cached.max_queries(mbps(rate)));
    for n in 0..100 {
        let large = (0..1280).map(|n| part(&format!("part-{n}"), 10)).collect();
        cached.record_report(&engine(n), large, at(0));
    }
    let large = [10, 200].map(|rate| cached.max_queries(mbps(rate)));

    expect_that!(typical, eq([6, 12, 48, 48]));
    expect_that!(large, eq([0, 12]));
    expect_that!(cached.max_queries(None), eq(48));
}
