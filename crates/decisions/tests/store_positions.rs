//! Positions in the platform store: a version with the era that it belongs to.

use catkin_decisions::{StoreEra, StorePosition};
use googletest::prelude::*;
use proptest::prelude::*;

fn position(era: u64, version: u64) -> StorePosition {
    StorePosition::new(StoreEra(era), version)
}

#[gtest]
fn position_of_a_later_era_is_later_at_a_lower_version() {
    expect_that!(position(1, 60), gt(position(0, 100)));
    expect_that!(position(1, 60), lt(position(1, 61)));
}

/// VMs without eras send and expect the version alone.
#[gtest]
fn position_of_the_first_era_is_encoded_as_its_version() -> Result<()> {
    expect_that!(position(0, 60).to_string(), eq("60"));
    expect_that!(serde_json::to_string(&position(0, 60))?, eq("60"));
    expect_that!(serde_json::to_string(&position(2, 60))?, eq("[2,60]"));
    Ok(())
}

#[gtest]
fn malformed_positions_are_rejected() {
    for text in ["", ":", "1:", ":60", "1:2:3", "-1", "1.60"] {
        expect_that!(text.parse::<StorePosition>(), err(anything()), "`{text}`");
    }
}

proptest! {
    #[test]
    fn positions_are_read_as_they_were_written(era: u64, version: u64) {
        let position = position(era, version);
        prop_assert_eq!(position.to_string().parse(), Ok(position));
        let mut buf = Vec::new();
        ciborium::into_writer(&position, &mut buf).expect("a position can be encoded");
        let decoded: StorePosition = ciborium::from_reader(&buf[..]).expect("a position");
        prop_assert_eq!(decoded, position);
        let json = serde_json::to_string(&position).expect("a position can be encoded");
        prop_assert_eq!(serde_json::from_str::<StorePosition>(&json).expect("a position"), position);
    }
}
