//! Deletes expired claims.
//!
//! Claims arrive at hundreds per second and are retained for a day, so there are millions of rows,
//! nearly all of which must stay. A scan of the claims themselves would read all of them to find
//! the few that have expired, and would use up the platform's read capacity for all clients. The
//! expiry table is ordered by time instead, with one row for each group and minute, and a sweep
//! reads only the rows that are due.

use super::*;
use crate::claim_row::{CLAIMS_TABLE, EXPIRIES_TABLE, found_claim, parse_expiry};

/// Number of expiry rows in a page. With about ten claims each, a page deletes a few hundred rows,
/// about as many as a full group writes.
const PAGE_SIZE: std::num::NonZeroU32 = std::num::NonZeroU32::new(20).expect("not zero");

pub(crate) async fn sweep_page(platform: &Platform, now: WallTime) -> Result<bool, PlatformError> {
    let page = platform_api::ScanRequest {
        table: EXPIRIES_TABLE.to_owned(),
        prefix: String::new(),
        after: None,
        limit: PAGE_SIZE,
    };
    let rows = (platform.scan)(page).await?;
    let due = rows
        .iter()
        .filter_map(|row| Some((row, parse_expiry(row)?)))
        .filter(|(_, (expires, _))| *expires <= now)
        .collect::<Vec<_>>();
    if due.is_empty() {
        return Ok(false);
    }
    let mut keys = due
        .iter()
        .flat_map(|(_, (_, keys))| keys.clone())
        .collect::<Vec<_>>();
    keys.sort();
    keys.dedup();
    let claims = read_claims(platform, keys).await?;
    let expired = claims
        .iter()
        .filter(|claim| claim.record.as_ref().is_some_and(|r| r.is_expired(now)))
        .collect::<Vec<_>>();
    let index = due
        .iter()
        .map(|(row, _)| deletion(EXPIRIES_TABLE, &row.key));
    let rows = expired
        .iter()
        .map(|claim| deletion(CLAIMS_TABLE, claim.key.as_str()));
    let req = platform_api::TransactRequest {
        // A claim that was rewritten in the meantime has a new expiry row. The transaction for this
        // page then fails, and the next sweep of the page retries it.
        conditions: expired.iter().map(|claim| unchanged(claim)).collect(),
        writes: index.chain(rows).collect(),
    };
    (platform.transact)(req).await?;
    Ok(due.len() == PAGE_SIZE.get() as usize)
}

async fn read_claims(
    platform: &Platform,
    keys: Vec<String>,
) -> Result<Vec<FoundClaim>, PlatformError> {
    let keys = keys.into_iter().map(|key| platform_api::RowKey {
        key,
        table: CLAIMS_TABLE.to_owned(),
    });
    let rows = (platform.read)(keys.collect()).await?;
    Ok(rows.iter().map(found_claim).collect())
}

fn deletion(table: &str, key: &str) -> platform_api::Write {
    platform_api::Write {
        key: key.to_owned(),
        table: table.to_owned(),
        value: None,
    }
}

fn unchanged(claim: &FoundClaim) -> platform_api::Condition {
    platform_api::Condition {
        key: claim.key.to_string(),
        table: CLAIMS_TABLE.to_owned(),
        version: claim.version,
    }
}
