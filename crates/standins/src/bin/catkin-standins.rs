//! Runs one mock as a separate process; see [`catkin_standins::run_standin`].

use std::process::ExitCode;

fn main() -> ExitCode {
    catkin_standins::run_standin(std::env::args_os().skip(1))
}
