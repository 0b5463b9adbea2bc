//! The command line of `catkin-load`.

use googletest::prelude::*;
use std::process::Command;

fn catkin_load(args: &[&str]) -> (Option<i32>, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_catkin-load"))
        .args(args)
        .output()
        .unwrap();
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    (output.status.code(), text)
}

/// Guards against `COMMAND --help` and `-h` being rejected with "invalid option".
#[gtest]
fn each_command_lists_its_own_flags() {
    for (command, own, other) in [
        ("run", "--router-flags", "--rounds"),
        ("compare", "--rounds", "--streams"),
        ("bench", "--streams", "--size"),
    ] {
        for flag in ["--help", "-h"] {
            let (code, text) = catkin_load(&[command, flag]);

            expect_that!(code, some(eq(0)), "{command} {flag}");
            expect_that!(text, contains_substring(own));
            expect_that!(text, not(contains_substring(other)));
        }
    }
}

#[gtest]
fn help_lists_the_commands() {
    let (code, text) = catkin_load(&["--help"]);

    expect_that!(code, some(eq(0)));
    for command in ["list", "run", "compare", "bench"] {
        expect_that!(text, contains_substring(command));
    }
}
