//! The committed types are those that the schemas give.

#[allow(dead_code)]
#[path = "../examples/generate.rs"]
mod generate;

use googletest::prelude::*;

/// A schema is changed and the types are not made anew. Callers would then be promised a form that
/// the code does not have.
#[gtest]
fn generated_types_are_current() {
    for (target, text) in generate::files().expect("the schemas are valid") {
        let committed = std::fs::read_to_string(&target).expect("a committed file");
        expect_that!(committed, eq(&text), "{} is old", target.display());
    }
}
