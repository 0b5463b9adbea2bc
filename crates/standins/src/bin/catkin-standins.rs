//! The stand-ins as a process of their own.

use std::process::ExitCode;

fn main() -> ExitCode {
    catkin_standins::run_standin(std::env::args_os().skip(1))
}
