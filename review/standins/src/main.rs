//! Plays one case of the review against the project's program: `review-standins CASE RECORD_FOLDER TEMPORARY_FOLDER TROUBLE`,
//! in the repository root. With 0 as the last argument the disruption is left out.
//!
//! Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.

mod caller;
mod http;
mod proxy;
mod record;
mod reused_address;
mod router;
mod slow_reader;
mod socket;
mod store;
mod through_another;
mod worker;

use record::Record;
use std::{path::PathBuf, process::ExitCode, time::Duration};

/// Longest time that a case may take.
const MAX_TIME: Duration = Duration::from_secs(110);

fn main() -> ExitCode {
    let args = std::env::args().skip(1).collect::<Vec<_>>();
    let [case, folder, temporary, trouble] = args.as_slice() else {
        eprintln!("usage: review-standins CASE RECORD_FOLDER TEMPORARY_FOLDER TROUBLE");
        return ExitCode::from(2);
    };
    let (temporary, trouble) = (PathBuf::from(temporary), trouble != "0");
    if router::end_with_parent().is_err() {
        return ExitCode::from(2);
    }
    let Ok(root) = std::env::current_dir() else {
        return ExitCode::from(2);
    };
    if !root.join(router::PROGRAM).exists() {
        eprintln!(
            "{} is missing: build it first, and run this in the repository root",
            router::PROGRAM
        );
        return ExitCode::from(2);
    }
    std::thread::spawn(|| {
        std::thread::sleep(MAX_TIME);
        // The programs that were started end with this process.
        std::process::exit(2);
    });
    let record = Record::create(&PathBuf::from(&folder).join("record.txt"));
    record.line(format!(
        "case {case}, disruption {}",
        if trouble { "on" } else { "off" }
    ));
    let result = match case.as_str() {
        "reused-address" => reused_address::play(&root, &temporary, &record, trouble),
        "slow-reader" => slow_reader::play(&root, &temporary, &record, trouble),
        "through-another" => through_another::play(&root, &temporary, &record, trouble),
        _ => Err("no such case".to_owned()),
    };
    let (text, code) = match result {
        Ok(0) => ("the rule held".to_owned(), 0),
        Ok(broken) => (format!("the rule was broken {broken} times"), 1),
        Err(error) => (format!("could not run: {error}"), 2),
    };
    record.line(&text);
    println!("{case}: {text}");
    ExitCode::from(code)
}
