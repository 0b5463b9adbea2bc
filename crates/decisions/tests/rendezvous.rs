//! Ranks of candidates for a key.

use catkin_decisions::{rank_among, rank_below};
use googletest::prelude::*;
use std::sync::Arc;

/// Guards against a rank that differs between the decision that needs only the first ranks and the complete order.
#[gtest]
fn limited_rank_agrees_with_the_complete_order() {
    for count in [1, 3, 8, 200] {
        let all = (0..count).map(|n| Arc::from(format!("vm-{n}")));
        let all = all.collect::<Vec<Arc<str>>>();
        for key in (0..50).map(|n| format!("engine-{n}")) {
            let rank = rank_among(&key, &all[0], &all);

            expect_that!(
                rank_below(4, &key, &all[0], &all),
                eq(rank.min(4)),
                "{key} of {count}"
            );
        }
    }
}
