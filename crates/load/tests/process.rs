//! Lifetime of the processes of an experiment.

use googletest::prelude::*;
use std::{
    io::{BufRead, BufReader},
    process::{Command, Stdio},
    time::{Duration, Instant},
};

/// Guards against processes that outlive a killed experiment, for example after the time limit of a
/// test run: they kept the output of the test open, so its reader waited forever.
#[gtest]
fn processes_exit_with_their_experiment() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_catkin-load"))
        .args(["process", "standin", "engine"])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut line = String::new();
    let mut output = child
        .stdout
        .take()
        .map(BufReader::new)
        .expect("standard output is piped");
    let read = output.read_line(&mut line);

    drop(child.stdin.take());
    let end = Instant::now() + Duration::from_secs(20);
    let mut ended = None;
    while ended.is_none() && Instant::now() < end {
        ended = child.try_wait().ok().flatten();
        std::thread::sleep(Duration::from_millis(10));
    }

    let _ = (child.kill(), child.wait());
    expect_that!(read, ok(anything()));
    expect_that!(line, starts_with("listening"));
    expect_that!(ended, some(anything()));
}
