//! The load and experiment tool.

use catkin_load::{LoadError, Role, run_process};
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut args = std::env::args_os().skip(1);
    match args.next().as_deref().and_then(std::ffi::OsStr::to_str) {
        Some("process") => {
            let role = args
                .next()
                .and_then(|role| role.to_str()?.parse::<Role>().ok());
            if let Some(role) = role {
                return run_process(role, args.collect());
            }
            fail(&LoadError::UnknownCommand)
        }
        _ => fail(&LoadError::UnknownCommand),
    }
}

fn fail(error: &LoadError) -> ExitCode {
    eprintln!("error: {error}");
    ExitCode::FAILURE
}
