//! Checks that the committed types match the schemas.

#[allow(dead_code)]
#[path = "../examples/generate.rs"]
mod generate;

use googletest::prelude::*;

/// A schema is changed without regenerating the types, so that the documented form of a message
/// differs from the one that the code implements.
#[gtest]
fn generated_types_are_current() {
    for (target, text) in generate::generated_files().expect("the schemas are valid") {
        let committed = std::fs::read_to_string(&target).expect("a committed file");
        expect_that!(committed, eq(&text), "{} is out of date", target.display());
    }
}
