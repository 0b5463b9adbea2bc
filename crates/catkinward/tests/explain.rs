//! Tests of `catkinctl explain`, which finds the cause of a request's outcome in logs.

use googletest::prelude::*;
use std::process::{Command, Output};

fn line(second: u32, fields: &str) -> String {
    format!(
        "{{\"timestamp\":\"2026-01-01T10:00:{second:02}.000000Z\",\"level\":\"INFO\",{fields}}}\n"
    )
}

fn explain(args: &[&str], logs: &[(&str, String)]) -> Output {
    let folder = tempfile::tempdir().unwrap();
    let files = logs.iter().map(|(name, text)| {
        let path = folder.path().join(name);
        std::fs::write(&path, text).unwrap();
        path
    });
    let files = files.collect::<Vec<_>>();
    let mut command = Command::new(env!("CARGO_BIN_EXE_catkinctl"));
    command
        .arg("explain")
        .args(args)
        .args(files)
        .output()
        .unwrap()
}

fn text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn accepted(second: u32) -> String {
    line(second, r#""message":"accepted","request":"r1","route":"a""#)
}

/// A stream ended early. The log lines of two VMs must be merged and the cause shown.
#[gtest]
fn cut_stream_is_explained() {
    let lost = r#""message":"run of a stream lost","request":"r1","upstream":"u1","loss":"silent""#;
    let cut = r#""message":"stream cut","request":"r1","cut":"no upstream could go on""#;
    let suspect = r#""message":"upstream is suspect","upstream":"u1""#;
    let other = r#""message":"accepted","request":"r2""#;
    let one = accepted(1) + &line(3, lost) + &line(4, cut) + &line(2, other);
    let two = line(3, suspect);

    let output = explain(
        &["--request", "r1"],
        &[("vm-1.log", one), ("vm-2.log", two)],
    );

    let text = text(&output);
    expect_that!(text, contains_substring("vm-2  upstream is suspect"));
    expect_that!(text, not(contains_substring("r2")));
    expect_that!(
        text,
        contains_substring(
            "cause: cut: no upstream could go on; the last of 1 lost runs was on u1 (silent)"
        )
    );
}

/// A process crashed with a request in flight: the request's lines end without an outcome, and the
/// process logs another start.
#[gtest]
fn crash_of_the_process_is_explained() {
    let lost = line(2, r#""message":"store unreachable","feed":"config""#);
    let log = accepted(1) + &lost + &line(4, r#""message":"start","vm":"vm-1""#);

    let output = explain(&["--request", "r1"], &[("vm-1.log", log)]);

    expect_that!(
        text(&output),
        contains_substring("cause: its process crashed")
    );
}

/// A VM refused a call. The explanation must name the VM's reason.
#[gtest]
fn refused_call_is_explained() {
    let refused = r#""message":"request rejected locally","request":"r1","outcome":"not_run","reason":"upstream_refused""#;
    let log = accepted(1) + &line(1, refused);

    let output = explain(&["--request", "r1"], &[("vm-1.log", log)]);

    let text = text(&output);
    expect_that!(
        text,
        contains_substring("cause: answered by the VM itself: not_run, upstream_refused")
    );
}

/// Guards against an operator who sees that a call was refused for overload but not by how much.
#[gtest]
fn refusal_for_overload_shows_the_forecast() {
    let refused = r#""message":"call refused: no room in time","request":"r1","cause":"forecast","ahead":7,"expected_ms":9000,"allowed_ms":4000"#;
    let rejected = r#""message":"request rejected locally","request":"r1","outcome":"not_run","reason":"overloaded","retry_after_ms":9000"#;
    let log = accepted(1) + &line(1, refused) + &line(1, rejected);

    let output = explain(&["--request", "r1"], &[("vm-1.log", log)]);

    expect_that!(
        text(&output),
        contains_substring(
            "not_run, overloaded; 7 calls were ahead, its start was expected in 9000 ms and had to be within 4000 ms"
        )
    );
}

/// Guards against an operator who sees that a body was refused but not that the memory was used up.
#[gtest]
fn refused_body_shows_the_memory_that_was_held() {
    let refused = r#""message":"body of a request refused","request":"r1","team":"team-1","reason":"no_memory","announced":4000000,"limit":4194304,"held":9000000,"waiting":3,"memory_limit":10000000"#;

    let output = explain(&["--request", "r1"], &[("vm-1.log", line(1, refused))]);

    expect_that!(
        text(&output),
        contains_substring(
            "not run: its body was refused, no_memory; 9000000 bytes were held of 10000000, and 3 requests waited"
        )
    );
}

/// The log lacks lines and has a line that is not JSON. The explanation must report both and not
/// guess a cause.
#[gtest]
fn missing_and_invalid_log_lines_are_reported() {
    let log = accepted(1) + "no json\n";

    let output = explain(&["--request", "r1"], &[("vm-1.log", log)]);

    let text = text(&output);
    expect_that!(
        text,
        contains_substring("cause: unknown: log lines are missing")
    );
    expect_that!(text, contains_substring("1 lines are not JSON"));
}

/// The request's id, the log files or lines about the request are missing. Each case must be reported
/// with its own message.
#[gtest]
fn missing_input_is_reported() {
    let no_id = explain(&[], &[("vm-1.log", accepted(1))]);
    let no_file = explain(&["--request", "r1"], &[]);
    let unknown = explain(&["--request", "r9"], &[("vm-1.log", accepted(1))]);

    let error = |output: &Output| String::from_utf8_lossy(&output.stderr).into_owned();
    expect_that!(
        error(&no_id),
        eq("error: `explain` requires the request's id: `--request ID`\n")
    );
    expect_that!(
        error(&no_file),
        contains_substring("`explain` requires FILE")
    );
    expect_that!(text(&unknown), eq("no log line mentions the request r9\n"));
}

/// A request was sent again although its body was refused. The refusal line names no request, only the body.
#[gtest]
fn refusal_of_the_body_is_shown() {
    let lost = r#""message":"run of a stream lost","request":"r1","body":"0bb4""#;
    let refused = r#""message":"calls with this body are rejected from now on","body":"0bb4""#;
    let other = r#""message":"calls with this body are rejected from now on","body":"ffff""#;
    let log = accepted(1) + &line(2, lost) + &line(3, refused) + &line(3, other);

    let output = explain(&["--request", "r1"], &[("vm-1.log", log)]);

    let text = text(&output);
    expect_that!(text, contains_substring("rejected from now on body=0bb4"));
    expect_that!(text, not(contains_substring("ffff")));
}

/// Guards against a refusal that nobody can trace: the crashes under the part are of other requests, and long ago.
#[gtest]
fn refusal_for_a_crashing_part_shows_the_crashes() {
    let crashes = (1..=3).map(|n| {
        let lost = format!(
            r#""message":"run of a stream lost","request":"other-{n}","upstream":"u{n}","parts":"shared,7a2","produced_events":false"#
        );
        line(n, &lost)
    });
    let beside = r#""message":"run of a stream lost","request":"beside","upstream":"u3","parts":"shared,b1","produced_events":false"#;
    let blamed = r#""message":"part crashes upstreams: calls with it are rejected from now on","cause":"part 7a2@engines","crashes":3"#;
    let refused = r#""message":"call refused: upstreams crashed under others like it","request":"r1","cause":"part 7a2@engines""#;
    let rejected = r#""message":"request rejected locally","request":"r1","outcome":"not_run","reason":"crashing_part""#;
    let log = crashes.collect::<String>()
        + &line(3, beside)
        + &line(3, blamed)
        + &line(50, refused)
        + &line(50, rejected);

    let output = explain(&["--request", "r1"], &[("vm-1.log", log)]);

    let text = text(&output);
    expect_that!(text.matches("run of a stream lost").count(), eq(3));
    expect_that!(text, contains_substring("part crashes upstreams"));
    expect_that!(text, not(contains_substring("b1")));
    expect_that!(text, contains_substring("not_run, crashing_part"));
}

/// Guards against a rejection that nobody can trace: the upstream asked for the back-off in its response to another
/// request, seconds ago.
#[gtest]
fn rejection_for_a_back_off_shows_the_response_that_asked_for_it() {
    let back_off = |second, upstream: &str, answer_to: &str, left: u32| {
        let fields = format!(
            r#""message":"back-off of an upstream","upstream":"{upstream}","change":"begun","asked_ms":{left},"left_ms":{left},"status":503,"answer_to":"{answer_to}""#
        );
        line(second, &fields)
    };
    let left_out = r#""message":"upstreams left out of the choice","request":"r1","reason":"back_off","left_out":"u1,u2""#;
    let rejected = r#""message":"request rejected locally","request":"r1","outcome":"not_run","reason":"back_off","retry_after_ms":4000"#;
    let log = back_off(1, "u1", "ended", 2000)
        + &back_off(5, "u1", "r0", 30_000)
        + &back_off(6, "u3", "beside", 30_000)
        + &accepted(20)
        + &line(20, left_out)
        + &line(20, rejected);

    let output = explain(&["--request", "r1"], &[("vm-1.log", log)]);

    let text = text(&output);
    expect_that!(text, contains_substring("answer_to=r0"));
    expect_that!(
        text,
        contains_substring(
            "not_run, back_off; u1 asked for a back-off of 30000 ms in its response to r0"
        )
    );
    expect_that!(text, not(contains_substring("ended")));
    expect_that!(text, not(contains_substring("beside")));
}
