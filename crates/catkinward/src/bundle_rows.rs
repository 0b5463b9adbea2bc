//! Conversion of bundle store rows to and from the table service, which stores JSON under a key.

use super::*;
use catkin_decisions::{BundleChange, BundleKey, BundleRow};

/// Name of the bundle store's table in the table service.
pub(crate) const TABLE: &str = "bundle";

/// Reads rows with their row versions; absent rows are omitted.
///
/// # Errors
///
/// If the platform does not respond, or a row does not match the expected schema.
pub(crate) async fn read_rows(
    platform: &Platform,
    keys: &[BundleKey],
) -> Result<Vec<(u64, BundleRow)>> {
    let keys = keys.iter().map(|key| platform_api::RowKey {
        key: key.to_string(),
        table: TABLE.to_owned(),
    });
    let rows = (platform.read)(keys.collect()).await?;
    parse_rows(&rows)
}

/// Reads rows by key prefix.
///
/// # Errors
///
/// As for [`read_rows`].
pub(crate) async fn scan_rows(
    platform: &Platform,
    prefix: &str,
    after: Option<&BundleKey>,
    limit: std::num::NonZeroU32,
) -> Result<Vec<(u64, BundleRow)>> {
    let rows = (platform.scan)(platform_api::ScanRequest {
        after: after.map(ToString::to_string),
        limit,
        prefix: prefix.to_owned(),
        table: TABLE.to_owned(),
    });
    parse_rows(&rows.await?)
}

/// Converts a change to a transaction of the table service.
pub(crate) fn transaction(change: &BundleChange) -> platform_api::TransactRequest {
    let conditions = change.conditions.iter();
    let conditions = conditions.map(|(key, version)| platform_api::Condition {
        key: key.to_string(),
        table: TABLE.to_owned(),
        version: *version,
    });
    let writes = change.writes.iter().map(|row| platform_api::Write {
        key: row.key().to_string(),
        table: TABLE.to_owned(),
        value: Some(value(row)),
    });
    platform_api::TransactRequest {
        conditions: conditions.collect(),
        writes: writes.collect(),
    }
}

fn value(row: &BundleRow) -> String {
    let value = match row {
        BundleRow::Current(current) => serde_json::to_string(current),
        BundleRow::Draft(draft) => serde_json::to_string(draft),
        BundleRow::Release(release) => serde_json::to_string(release),
    };
    value.expect("bundle rows have only string keys")
}

fn parse_rows(rows: &[platform_api::Row]) -> Result<Vec<(u64, BundleRow)>> {
    rows.iter()
        .map(|row| Ok((row.version, parse_row(&row.key, &row.value)?)))
        .collect()
}

fn parse_row(key: &str, value: &str) -> Result<BundleRow> {
    let row = match key.split('/').next() {
        Some("draft") => serde_json::from_str(value).map(BundleRow::Draft),
        Some("release") => serde_json::from_str(value).map(BundleRow::Release),
        _ => serde_json::from_str(value).map(BundleRow::Current),
    };
    row.map_err(|source| Error::BundleRow {
        key: key.to_owned(),
        source,
    })
}
