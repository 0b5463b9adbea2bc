//! Command-line tool for operators.

use std::process::ExitCode;

fn main() -> ExitCode {
    catkinward::run_ctl(std::env::args_os().skip(1))
}
