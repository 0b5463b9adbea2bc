//! Concurrent roll-outs by two operators, with real routers.

use catkin_load::{OperatorsSettings, racing_operators};
use googletest::prelude::*;
use std::path::Path;

/// Two operators roll out concurrently while responses of the table service are lost. Exactly one must
/// win, the other must learn who won, and every router must apply every version and never return to an
/// older one.
#[gtest]
#[tokio::test]
async fn one_operator_wins_and_no_router_returns_to_an_older_bundle() {
    let settings = OperatorsSettings {
        seed: 1,
        routers: 3,
        races: 3,
    };
    let program = Path::new(env!("CARGO_BIN_EXE_catkin-load"));

    let report = racing_operators(program, &settings).await;

    let report = report.expect("the experiment runs");
    expect_that!(report.violations, is_empty());
    expect_that!(report.bundle_reverts, eq(0));
    expect_that!(report.bundle_in_force_ms.count, eq(9));
}
