//! The load and experiment tool.

use std::process::ExitCode;

fn main() -> ExitCode {
    catkin_load::run_command(std::env::args_os().skip(1).collect())
}
