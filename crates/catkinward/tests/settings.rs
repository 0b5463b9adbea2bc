//! Tests of the command line of the `catkinward` binary.

use googletest::prelude::*;
use std::process::Command;

struct DaemonCommand {
    args: Vec<&'static str>,
    variables: Vec<(&'static str, &'static str)>,
}

fn daemon(args: &[&'static str]) -> DaemonCommand {
    DaemonCommand {
        args: args.to_vec(),
        variables: Vec::new(),
    }
}

impl DaemonCommand {
    fn variable(mut self, name: &'static str, value: &'static str) -> Self {
        self.variables.push((name, value));
        self
    }

    fn output(self) -> (Option<i32>, String, String) {
        let output = Command::new(env!("CARGO_BIN_EXE_catkinward"))
            .args(self.args)
            .envs(self.variables)
            .output()
            .expect("the daemon starts");
        (
            output.status.code(),
            String::from_utf8(output.stdout).expect("text"),
            String::from_utf8(output.stderr).expect("text"),
        )
    }
}

#[gtest]
fn check_accepts_the_defaults() {
    let output = daemon(&["--check"]).output();

    expect_that!(
        output,
        eq(&(Some(0), "the settings are valid\n".into(), String::new()))
    );
}

#[gtest]
fn version_is_that_of_the_package() {
    let output = daemon(&["--version"]).output();

    let version = concat!("catkinward ", env!("CARGO_PKG_VERSION"), "\n");
    expect_that!(output, eq(&(Some(0), version.into(), String::new())));
}

#[gtest]
fn invalid_value_names_the_flag() {
    let output = daemon(&["--check", "--listen", "localhost"]).output();

    let error = "error: `--listen` must be an IP address and port, but is `localhost`\n";
    expect_that!(output, eq(&(Some(1), String::new(), error.into())));
}

#[gtest]
fn invalid_variable_names_the_flag() {
    let output = daemon(&["--check"])
        .variable("CATKINWARD_DRAIN_GRACE_MS", "soon")
        .output();

    let error = "error: `--drain-grace-ms` must be a number of milliseconds, but is `soon`\n";
    expect_that!(output, eq(&(Some(1), String::new(), error.into())));
}

/// Without a key, the operator API would serve anyone who can reach its address.
#[gtest]
fn operators_are_not_served_without_a_key() {
    let output = daemon(&["--check", "--operator-listen", "127.0.0.1:0"]).output();

    let error =
        "error: `--operator-key-sha256` or `CATKINWARD_OPERATOR_KEY_SHA256` must be given\n";
    expect_that!(output, eq(&(Some(1), String::new(), error.into())));
}

#[gtest]
fn flag_takes_precedence_over_variable() {
    let output = daemon(&["--check", "--vm", "vm-9"])
        .variable("CATKINWARD_VM", "vm-8")
        .output();

    expect_that!(output.0, some(eq(0)));
}

#[gtest]
fn unknown_flag_is_named() {
    let output = daemon(&["--frobnicate"]).output();

    let error = "error: invalid option '--frobnicate'; `catkinward --help` lists the flags\n";
    expect_that!(output, eq(&(Some(1), String::new(), error.into())));
}

#[gtest]
fn help_lists_every_flag() {
    let (code, help, _) = daemon(&["--help"]).output();

    expect_that!(code, some(eq(0)));
    for flag in [
        "--listen",
        "--vm",
        "--zone",
        "--bundle-file",
        "--operator-listen",
        "--operator-key-sha256",
        "--timeline-events",
        "--platform",
        "--orders",
        "--check",
        "--version",
    ] {
        expect_that!(help, contains_substring(flag));
    }
}
