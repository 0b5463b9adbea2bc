//! Short runs of the plain-call scenarios with real processes.

use catkin_load::{QuickReport, QuickScenario, RunSettings, run_quick};
use googletest::prelude::*;
use std::{path::Path, time::Duration};

async fn short_run(name: &str) -> QuickReport {
    let scenario = QuickScenario::find(name).expect("a known scenario");
    let settings = RunSettings {
        arrival_window: Some(Duration::from_secs(1)),
        ..RunSettings::default()
    };
    let program = Path::new(env!("CARGO_BIN_EXE_catkin-load"));
    run_quick(program, &scenario, &settings)
        .await
        .expect("the experiment runs")
}

/// Twice as many calls arrive as can be served. Some are refused, and these must not have run; the
/// others must get the response to their own request.
#[gtest]
#[tokio::test]
async fn overload() {
    let report = short_run("overload").await;

    expect_that!(report.violations, is_empty());
    expect_that!(report.measures.refused, gt(0));
    expect_that!(report.measures.completed, gt(0));
}

/// Most calls read one item. Reads are coalesced; writes must not be.
#[gtest]
#[tokio::test]
async fn hot_key() {
    let report = short_run("hot-key").await;

    expect_that!(report.violations, is_empty());
    expect_that!(report.measures.completed, gt(0));
}

/// All upstreams refuse calls for a while. Calls that are reported as not run must not have run.
#[gtest]
#[tokio::test]
async fn brownout() {
    let report = short_run("brownout").await;

    expect_that!(report.violations, is_empty());
    expect_that!(report.measures.completed, gt(0));
}
