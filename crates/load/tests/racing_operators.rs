//! Operators who race each other, with real routers.

use catkin_load::{OperatorsSettings, racing_operators};
use googletest::prelude::*;
use std::path::Path;

/// Two operators roll out at the same moment while the table service's answers are lost. Exactly one
/// wins, the other is told who, and every router takes every version and none back.
#[gtest]
#[tokio::test]
async fn one_operator_wins_and_no_router_goes_back() {
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
