//! Command-line tool for load tests and fault-injection experiments.

use std::process::ExitCode;

fn main() -> ExitCode {
    catkin_load::run_command(std::env::args_os().skip(1).collect())
}
