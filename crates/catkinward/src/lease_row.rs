//! Rows of the table `leases`.

use super::*;
use catkin_border::rows;
use catkin_decisions::{LeaseHolder, LeaseRecord, LeaseRow};

/// Name of the table of leases.
pub(crate) const LEASES_TABLE: &str = "leases";

/// Parses a row; `record` is `None` if its value is invalid.
pub(crate) fn lease_row(row: &platform_api::Row) -> LeaseRow {
    LeaseRow {
        version: row.version,
        record: parse_record(&row.value),
    }
}

/// Serializes a lease as the value of a row.
pub(crate) fn lease_value(record: &LeaseRecord) -> String {
    let row = rows::LeaseRow {
        duration_ms: u64::try_from(record.duration.as_millis()).unwrap_or(u64::MAX),
        holder: record.holder.vm.to_string(),
        incarnation: record.holder.incarnation.0,
        term: record.term.0,
    };
    serde_json::to_string(&row).expect("types of catkin_border have string keys only")
}

fn parse_record(value: &str) -> Option<LeaseRecord> {
    let row = serde_json::from_str::<rows::LeaseRow>(value).ok()?;
    Some(LeaseRecord {
        holder: LeaseHolder {
            vm: row.holder.parse().ok()?,
            incarnation: Incarnation(row.incarnation),
        },
        term: Term(row.term),
        duration: Duration::from_millis(row.duration_ms),
    })
}
