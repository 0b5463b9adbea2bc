//! Which engines hold a prompt that was read before.

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

/// The words of engines on parts, all at the same time.
fn told(words: &[(u32, &[(&str, u32)])]) -> CachedPrompts {
    let mut cached = CachedPrompts::default();
    for (n, parts) in words {
        let parts = parts.iter().map(|(id, tokens)| part(id, *tokens)).collect();
        cached.told(&engine(*n), parts, at(0));
    }
    cached
}

#[gtest]
fn engines_that_hold_the_prompt_are_found() {
    let cached = told(&[
        (1, &[("shared", 200), ("own", 8000)]),
        (2, &[("shared", 200), ("other", 8000)]),
        (3, &[("other", 8000)]),
    ]);

    let holders = cached.holders(&[part("shared", 200), part("own", 8000)], at(10));

    expect_that!(holders, eq(&vec![(engine(1), 8200), (engine(2), 200)]));
}

/// An engine has dropped the shared beginning of a prompt to make room. It has to read all of the prompt
/// again, so what it holds of the rest is worth nothing.
#[gtest]
fn a_part_counts_only_after_all_parts_before_it() {
    let cached = told(&[
        (1, &[("own", 8000)]),
        (2, &[("shared", 150), ("own", 8000)]),
    ]);

    let holders = cached.holders(&[part("shared", 200), part("own", 8000)], at(10));

    expect_that!(holders, eq(&vec![(engine(2), 150)]));
}

#[gtest]
fn the_latest_word_on_a_part_counts() {
    let cached = told(&[(1, &[("own", 4000), ("own", 8000), ("own", 0)])]);

    expect_that!(cached.holders(&[part("own", 8000)], at(10)), is_empty());
}

/// Engines drop prompts all the time; an old word would send callers to engines that hold nothing.
#[gtest]
fn words_grow_old() {
    let cached = told(&[(1, &[("own", 8000)])]);
    let later = at(0).after(CACHE_REPORT_TTL);

    expect_that!(cached.is_due(&engine(1), at(10)), eq(false));
    expect_that!(cached.is_due(&engine(1), later), eq(true));
    expect_that!(cached.holders(&[part("own", 8000)], later), is_empty());
}

/// Callers of lost VMs come back to a VM with a small link, and the answers of all engines hold up its streams.
#[gtest]
fn engines_asked_fit_the_link() {
    let mut cached = CachedPrompts::default();
    let mbps = |mbps: u64| Some(LinkRate(mbps * 1_000_000));

    let usual = [10, 20, 200, 1000].map(|rate| cached.most_asked(mbps(rate)));
    for n in 0..100 {
        let long = (0..1280).map(|n| part(&format!("part-{n}"), 10)).collect();
        cached.told(&engine(n), long, at(0));
    }
    let long = [10, 200].map(|rate| cached.most_asked(mbps(rate)));

    expect_that!(usual, eq([6, 12, 48, 48]));
    expect_that!(long, eq([0, 12]));
    expect_that!(cached.most_asked(None), eq(48));
}
