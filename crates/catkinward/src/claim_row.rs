//! Conversion between rows of the tables `claims` and `claim_expiries` and the types of the
//! decisions crate.

use super::*;
use catkin_border::rows;
use catkin_decisions::to_hex;

/// Name of the table of claims.
pub(crate) const CLAIMS_TABLE: &str = "claims";

/// Name of the expiry table, an index of claims by expiry time.
pub(crate) const EXPIRIES_TABLE: &str = "claim_expiries";

/// Parses the row of a claim; the record is `None` if the row is absent or cannot be parsed.
pub(crate) fn found_claim(row: &platform_api::Row) -> FoundClaim {
    FoundClaim {
        key: ClaimRowKey::from(row.key.as_str()),
        version: row.version,
        record: parse_record(&row.value),
    }
}

/// Returns the JSON value of a claim's row.
pub(crate) fn claim_value(record: &ClaimRecord) -> String {
    let (stage, response) = match &record.stage {
        ClaimStage::Claimed => (rows::ClaimStage::Claimed, None),
        ClaimStage::Released => (rows::ClaimStage::Released, None),
        ClaimStage::Done(ClaimOutcome::Unknown) => (rows::ClaimStage::Unknown, None),
        ClaimStage::Done(ClaimOutcome::Answered(response)) => {
            (rows::ClaimStage::Answered, Some(response_row(response)))
        }
    };
    json_text(&rows::ClaimRow {
        answer: response,
        deadline_ms: record.deadline.0,
        digest: record.digest.to_string(),
        expires_ms: record.expires.0,
        holder: record.holder.to_string(),
        incarnation: record.incarnation.0,
        kind: match record.kind {
            ClaimKind::Call => rows::ClaimKind::Call,
            ClaimKind::Generation => rows::ClaimKind::Generation,
        },
        request_id: record.request.to_string(),
        stage,
        token: record.token.to_string(),
    })
}

/// Returns an expiry row for claims that expire together; `salt` makes the keys of such rows
/// unique.
pub(crate) fn expiry_write(expires: WallTime, salt: u64, keys: Vec<String>) -> platform_api::Write {
    platform_api::Write {
        key: format!("{:015}/{salt:016x}", expires.0),
        table: EXPIRIES_TABLE.to_owned(),
        value: Some(json_text(&rows::ClaimExpiryRow { keys })),
    }
}

/// Parses an expiry row into the expiry time and the keys of its claims.
pub(crate) fn parse_expiry(row: &platform_api::Row) -> Option<(WallTime, Vec<String>)> {
    let (expires, _) = row.key.split_once('/')?;
    let value = serde_json::from_str::<rows::ClaimExpiryRow>(&row.value).ok()?;
    Some((expires.parse().ok()?, value.keys))
}

fn parse_record(value: &str) -> Option<ClaimRecord> {
    let row = serde_json::from_str::<rows::ClaimRow>(value).ok()?;
    let stage = match (row.stage, row.answer) {
        (rows::ClaimStage::Claimed, _) => ClaimStage::Claimed,
        (rows::ClaimStage::Released, _) => ClaimStage::Released,
        (rows::ClaimStage::Unknown, _) => ClaimStage::Done(ClaimOutcome::Unknown),
        (rows::ClaimStage::Answered, response) => {
            ClaimStage::Done(ClaimOutcome::Answered(parse_response(response?)?))
        }
    };
    Some(ClaimRecord {
        digest: row.digest.parse().ok()?,
        token: row.token.parse().ok()?,
        kind: match row.kind {
            rows::ClaimKind::Call => ClaimKind::Call,
            rows::ClaimKind::Generation => ClaimKind::Generation,
        },
        holder: row.holder.parse().ok()?,
        incarnation: Incarnation(row.incarnation),
        request: row.request_id.parse().ok()?,
        deadline: WallTime(row.deadline_ms),
        expires: WallTime(row.expires_ms),
        stage,
    })
}

fn response_row(response: &RecordedResponse) -> rows::ClaimAnswer {
    let headers = response
        .headers
        .iter()
        .map(|(name, value)| rows::ClaimHeader {
            name: name.to_string(),
            value: value.to_string(),
        });
    let mut row = rows::ClaimAnswer {
        body_hex: None,
        body_object: None,
        body_text: None,
        headers: headers.collect(),
        status: response.status,
    };
    match &response.body {
        RecordedBody::Inline(body) => match std::str::from_utf8(body) {
            Ok(text) => row.body_text = Some(text.to_owned()),
            Err(_) => row.body_hex = Some(to_hex(body)),
        },
        RecordedBody::Object(name) => row.body_object = Some(name.to_string()),
        RecordedBody::TooLarge => {}
    }
    row
}

fn parse_response(row: rows::ClaimAnswer) -> Option<RecordedResponse> {
    let body = match (row.body_text, row.body_hex, row.body_object) {
        (Some(text), ..) => RecordedBody::Inline(text.into_bytes().into()),
        (_, Some(hex), _) => RecordedBody::Inline(parse_hex(&hex)?.into()),
        (.., Some(name)) => RecordedBody::Object(name.into()),
        _ => RecordedBody::TooLarge,
    };
    let headers = row.headers.into_iter();
    Some(RecordedResponse {
        status: row.status,
        headers: headers
            .map(|header| (header.name.into(), header.value.into()))
            .collect(),
        body,
    })
}

fn json_text<T: serde::Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("API types have only string keys")
}
