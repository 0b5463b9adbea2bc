//! The router daemon.

use std::process::ExitCode;

fn main() -> ExitCode {
    catkinward::run_daemon(std::env::args_os().skip(1))
}
