//! Plays one case of the review against the project's program: `review-standins CASE FOLDER`, in the repository root.
//! With `TROUBLE=0` the disruption is left out.
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
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (args.next(), args.next()) else {
        eprintln!("usage: review-standins CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
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
    let temporary = std::env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
    if std::fs::create_dir_all(&temporary).is_err() {
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
    if std::env::var_os("KEEP_LOGS").is_none() {
        let _ = std::fs::remove_dir_all(&temporary);
    }
    let (text, code) = match result {
        Ok(0) => ("the rule held".to_owned(), 0),
        Ok(broken) => (format!("the rule was broken {broken} times"), 1),
        Err(error) => (format!("could not run: {error}"), 2),
    };
    record.line(&text);
    println!("{case}: {text}");
    ExitCode::from(code)
}
