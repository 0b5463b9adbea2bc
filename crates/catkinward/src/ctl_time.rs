use super::*;
use std::time::{SystemTime, UNIX_EPOCH};

/// Formats seconds since the Unix epoch as a UTC date and time.
pub(crate) fn utc_seconds(seconds: u64) -> String {
    let time = system_time(Duration::from_secs(seconds));
    humantime::format_rfc3339_seconds(time).to_string()
}

/// Formats a clock reading as a UTC date and time with microseconds.
pub(crate) fn utc_micros(time: HybridTime) -> String {
    let time = system_time(Duration::from_micros(time.micros));
    humantime::format_rfc3339_micros(time).to_string()
}

/// Last second of the year 9999, the latest time that RFC 3339 can represent.
const MAX_TIME: Duration = Duration::from_secs(253_402_300_799);

fn system_time(since_epoch: Duration) -> SystemTime {
    UNIX_EPOCH + since_epoch.min(MAX_TIME)
}
