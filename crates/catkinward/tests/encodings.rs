//! Compatibility of encodings: messages between VMs, rows of claims and leases, bundles, settings, and names in logs
//! and metrics.
//!
//! Each line of `encodings.txt` holds a name, a tab, and a value as version f8e4dea of the program encoded it: CBOR in
//! hexadecimal for messages, JSON for rows and bundles, and the names of an enum's variants. VMs of both versions run
//! side by side during an update, and rows outlive it, so each value must be decoded and encoded again to the same
//! bytes. The test fails if a renamed field or variant lost its outer name, or if fields or variants were reordered.
//!
//! Lines of the fixture are added for new fields and kinds, and never changed.

use bytes::Bytes;
use catkin_border::{platform as api, rows};
use catkin_decisions::{
    BundleDigest, BundleVersion, ClaimKind, ClaimOutcome, ClaimVerdict, Incarnation, LeaseHolder,
    LeaseSettings, RecordedBody, RequestDigest, Term, parse_hex, to_hex,
};
use catkinward::{
    ClaimRequest, ClaimSettings, Claims, Command, EventKind, LeaseHandle, Leases, OrderPermission,
    PeerBody, PeerMessage, Platform, PlatformError, ResponseToRecord, ServiceName, Settings,
    Timeline, Timer,
    gateway::{CopyError, FeedError, LineKind, SendError},
    read_bundle, read_canonical,
};
use googletest::prelude::*;
use parking_lot::Mutex;
use serde::{Serialize, de::DeserializeOwned};
use std::{fmt::Debug, str::FromStr, sync::Arc, time::Duration};

const LINES: &str = include_str!("encodings.txt");

/// Names and encoded values of the lines whose name begins with `prefix`, which is cut off.
fn lines(prefix: &str) -> impl Iterator<Item = (&'static str, &'static str)> {
    LINES
        .lines()
        .filter_map(|line| line.split_once('\t'))
        .filter_map(move |(name, encoded)| Some((name.strip_prefix(prefix)?, encoded)))
}

fn message(encoded: &str) -> PeerMessage {
    let bytes = parse_hex(encoded).expect("hexadecimal digits");
    PeerMessage::from_bytes(&bytes).expect("a message")
}

fn json_again<T: Serialize + DeserializeOwned>(encoded: &str) -> String {
    let value: T = serde_json::from_str(encoded).expect("JSON of the type");
    serde_json::to_string(&value).expect("the value can be encoded")
}

/// Parses each name and writes it again.
fn parsed_again<T: FromStr + Into<&'static str>>(names: &str) -> String
where
    T::Err: Debug,
{
    let again = names.split(' ').map(|name| -> &'static str {
        let value: T = name.parse().expect("the name of a variant");
        value.into()
    });
    again.collect::<Vec<_>>().join(" ")
}

fn joined<const N: usize>(values: [impl Into<&'static str>; N]) -> String {
    values.map(Into::into).join(" ")
}

#[gtest]
fn messages_are_read_and_written_unchanged() {
    for (name, encoded) in lines("PeerMessage/") {
        let again = to_hex(&message(encoded).to_bytes());
        expect_that!(again, eq(encoded), "{name}");
    }
    // One message of each of the 13 kinds, and five more with optional parts absent.
    expect_that!(lines("PeerMessage/").count(), eq(18));
}

#[gtest]
fn rows_are_read_and_written_unchanged() {
    let mut rows = 0;
    for (name, encoded) in lines("") {
        let again = match name.split('/').next().unwrap_or_default() {
            "ClaimRow" => json_again::<rows::ClaimRow>(encoded),
            "ClaimExpiryRow" => json_again::<rows::ClaimExpiryRow>(encoded),
            "LeaseRow" => json_again::<rows::LeaseRow>(encoded),
            "PeerMessage" | "Bundle" | "Settings" | "names" => continue,
            other => panic!("no type for `{other}`"),
        };
        rows += 1;
        expect_that!(again, eq(encoded), "{name}");
    }
    expect_that!(rows, eq(11));
}

/// A platform that collects the rows that are written, and answers the first transaction with the conflicting row, if
/// there is one. All reads return the row of the lease, if there is one.
fn platform(
    writes: &Arc<Mutex<Vec<api::Write>>>,
    conflict: Option<api::Row>,
    lease: Option<api::Row>,
) -> Platform {
    let (writes, conflict) = (writes.clone(), Mutex::new(conflict));
    Platform {
        transact: Box::new(move |req| {
            let conflicts = conflict.lock().take().into_iter().collect::<Vec<_>>();
            let committed = conflicts.is_empty();
            if committed {
                writes.lock().extend(req.writes);
            }
            let reply = api::TransactReply {
                committed,
                conflicts,
            };
            Box::pin(async { Ok(reply) })
        }),
        read: Box::new(move |_| {
            let rows = lease.iter().cloned().collect();
            Box::pin(async { Ok(rows) })
        }),
        scan: Box::new(|_| Box::pin(async { Ok(Vec::new()) })),
        put_object: Box::new(|_| Box::pin(async { Ok(()) })),
        get_object: Box::new(|_| Box::pin(async { Ok(None) })),
        vms: Box::new(|()| Box::pin(async { Ok(Vec::new()) })),
    }
}

fn row(table: &str, key: &str, value: &str) -> api::Row {
    api::Row {
        key: key.to_owned(),
        table: table.to_owned(),
        value: value.to_owned(),
        version: 5,
    }
}

fn id<T: FromStr<Err: Debug>>(text: &str) -> T {
    text.parse().expect("a valid id")
}

fn claims(platform: Platform) -> Arc<Claims> {
    let timeline = Timeline::new(id("vm-3"), id("zone-1"), Arc::default(), 1000);
    Claims::start(
        Arc::new(platform),
        Timer::start(),
        Arc::new(timeline),
        Incarnation(6),
        ClaimSettings::default(),
    )
}

/// The request whose claims stand in the fixture. Its deadline is a century away, so that a claim in progress is never
/// read as one whose holder is lost.
fn claim_request(kind: ClaimKind) -> ClaimRequest {
    ClaimRequest {
        team: id("team-a"),
        key: id("key-1"),
        digest: RequestDigest::of(&id("team-a"), b"body"),
        kind,
        request: id("request-1"),
        time_left: Duration::from_secs(100 * 365 * 24 * 3600),
    }
}

/// Key of the row of that request, which the row by which it expires holds.
fn claim_key() -> String {
    let (_, row) = lines("ClaimExpiryRow/").next().expect("a row");
    let row: rows::ClaimExpiryRow = serde_json::from_str(row).expect("a row");
    row.keys[0].clone()
}

fn claim_row(text: &str) -> rows::ClaimRow {
    serde_json::from_str(text).expect("a row of a claim")
}

/// Claims the key and records the end that the fixture's row of this name has. Returns the rows that were written.
async fn end_claim(name: &str, kind: ClaimKind) -> Vec<api::Write> {
    let writes = Arc::default();
    let claims = claims(platform(&writes, None, None));
    let ClaimVerdict::Claimed(claimed) = claims.claim(claim_request(kind)).await else {
        panic!("the key is not claimed");
    };
    let ((), held) = claimed.dispatch();
    let response = |body: &[u8]| ResponseToRecord {
        status: 201,
        headers: vec![
            ("content-type".into(), "text/plain".into()),
            ("x-id".into(), "7".into()),
        ],
        body: Bytes::copy_from_slice(body),
    };
    match name {
        "claimed-call" | "claimed-generation" => {}
        "released" => claims.release(held),
        "unknown" => claims.record_unknown(held),
        "text" => claims.record_response(held, response(b"ticket 7")),
        "hex" => claims.record_response(held, response(&[0xc3, 0xff])),
        "object" => claims.record_response(held, response(&[b'a'; 5000])),
        "too-large" => claims.record_response(held, response(&vec![b'a'; 2_000_000])),
        other => panic!("no claim `{other}`"),
    }
    claims.flush().await;
    std::mem::take(&mut *writes.lock())
}

/// The token and the two times of a claim differ from run to run, so those of the fixture are put in their place.
#[gtest]
#[tokio::test]
async fn claims_write_unchanged_rows() {
    for (name, text) in lines("ClaimRow/") {
        let expected = claim_row(text);
        let kind = match expected.kind {
            rows::ClaimKind::Call => ClaimKind::Call,
            rows::ClaimKind::Generation => ClaimKind::Generation,
        };
        let writes = end_claim(name, kind).await;
        let last = writes.iter().rfind(|write| write.table == "claims");
        let last = last.expect("a row of the claim");
        expect_that!(last.key, eq(&claim_key()));
        let value = last.value.clone().unwrap_or_default();
        let found = claim_row(&value);
        let value = value
            .replace(&found.token, &expected.token)
            .replace(
                &found.deadline_ms.to_string(),
                &expected.deadline_ms.to_string(),
            )
            .replace(
                &found.expires_ms.to_string(),
                &expected.expires_ms.to_string(),
            );
        expect_that!(value, eq(text), "{name}");
        let expiry = lines("ClaimExpiryRow/").next().expect("a row").1;
        let is_expiry = |write: &&api::Write| write.table == "claim_expiries";
        for write in writes.iter().filter(is_expiry) {
            expect_that!(write.value.as_deref(), some(eq(expiry)), "{name}");
        }
    }
    expect_that!(lines("ClaimRow/").count(), eq(8));
}

#[gtest]
#[tokio::test]
async fn claims_read_unchanged_rows() {
    for (name, text) in lines("ClaimRow/") {
        let writes = Arc::default();
        let conflict = row("claims", &claim_key(), text);
        let claims = claims(platform(&writes, Some(conflict), None));
        let verdict = claims.claim(claim_request(ClaimKind::Call)).await;
        let expected = claim_row(text);
        match (name, verdict) {
            ("claimed-call" | "claimed-generation", ClaimVerdict::InProgress(found)) => {
                let record = found.record.expect("a record");
                expect_that!(record.token.to_string(), eq(&expected.token));
                expect_that!(record.digest.to_string(), eq(&expected.digest));
                expect_that!(record.kind.to_string(), eq(&expected.kind.to_string()));
                expect_that!(record.holder.as_str(), eq(&expected.holder));
                expect_that!(record.incarnation.0, eq(expected.incarnation));
                expect_that!(record.request.as_str(), eq(&expected.request_id));
                expect_that!(record.deadline.0, eq(expected.deadline_ms));
                expect_that!(record.expires.0, eq(expected.expires_ms));
            }
            ("released", ClaimVerdict::Claimed(claimed)) => drop(claimed.release()),
            ("unknown", ClaimVerdict::Done(ClaimOutcome::Unknown)) => {}
            (
                "text" | "hex" | "object" | "too-large",
                ClaimVerdict::Done(ClaimOutcome::Answered(response)),
            ) => {
                let answer = expected.answer.expect("an answer");
                expect_that!(response.status, eq(answer.status));
                let headers = answer.headers.iter();
                let headers = headers.map(|header| (&*header.name, &*header.value));
                let found = response.headers.iter();
                let found = found.map(|(name, value)| (name.as_ref(), value.as_ref()));
                expect_that!(found.eq(headers), eq(true));
                let body = match (name, answer.body_object) {
                    ("text", None) => RecordedBody::Inline((*b"ticket 7").into()),
                    ("hex", None) => RecordedBody::Inline([0xc3, 0xff].into()),
                    (_, Some(object)) => RecordedBody::Object(object.into()),
                    (_, None) => RecordedBody::TooLarge,
                };
                expect_that!(response.body, eq(&body), "{name}");
            }
            (name, verdict) => panic!("claim `{name}` is read as {verdict:?}"),
        }
    }
}

fn leases(platform: Platform) -> Arc<Leases> {
    let me = LeaseHolder {
        vm: id("vm-3"),
        incarnation: Incarnation(6),
    };
    Leases::start(
        Arc::new(platform),
        Timer::start(),
        me,
        LeaseSettings::default(),
    )
}

async fn wait_until_held(handle: &LeaseHandle) {
    let wait = async {
        while handle.held().is_none() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    let timeout = Duration::from_secs(30);
    let held = tokio::time::timeout(timeout, wait).await;
    held.expect("a lease that nobody holds is taken at once");
}

/// A VM without a lease row takes the lease at term 1 and gives it back. Another VM that reads the row that was given
/// back need not wait for its end, and takes the next term.
#[gtest]
#[tokio::test]
async fn leases_read_and_write_unchanged_rows() {
    let writes = Arc::default();
    let (first, released) = {
        let fresh = leases(platform(&writes, None, None));
        let handle = fresh.compete("engine-1");
        wait_until_held(&handle).await;
        fresh.release_all().await;
        let mut rows = lines("LeaseRow/").map(|(_, row)| row);
        (rows.next().expect("a row"), rows.next().expect("a row"))
    };
    let written = std::mem::take(&mut *writes.lock());
    let values = written.iter().filter_map(|write| write.value.as_deref());
    expect_that!(values.collect::<Vec<_>>(), eq(&vec![first, released]));

    let row = row("leases", "engine-1", released);
    let next = leases(platform(&writes, None, Some(row)));
    let handle = next.compete("engine-1");
    wait_until_held(&handle).await;
    expect_that!(handle.held(), some(eq(Term(2))));
}

/// A release is found by the digest of its text, so the canonical form of a bundle must stay.
#[gtest]
fn canonical_bundle_is_read_and_written_unchanged() {
    let (_, text) = lines("Bundle/").next().expect("a bundle");
    let version = BundleVersion(8);
    let read = read_bundle(version, text).expect("a bundle");
    expect_that!(&*read.body, eq(text));
    let digest = BundleDigest::of(text);
    let canonical = read_canonical(version, digest, text.as_bytes()).expect("a canonical bundle");
    expect_that!(&*canonical.body, eq(text));
    expect_that!(canonical.bundle == read.bundle, eq(true));
}

/// The line holds all flags with values, and the values that were read from them, in the order of the fields of
/// [`Settings`]. The value of `--orders` is checked by itself, as `Debug` prints the name of the variant.
#[gtest]
fn settings_are_read_unchanged() {
    let (_, line) = lines("Settings/").next().expect("settings");
    let (args, expected) = line.split_once('\t').expect("flags and values");
    let flags = args.split(' ').collect::<Vec<_>>();
    let variable = |name: &str| {
        let flag = name.strip_prefix("CATKINWARD_")?.to_lowercase();
        let flag = format!("--{}", flag.replace('_', "-"));
        let place = flags.iter().position(|other| *other == flag)?;
        Some(flags[place + 1].to_owned())
    };
    let from_args = Settings::read(flags.iter().map(Into::into), |_| None).expect("settings");
    let from_variables = Settings::read([], variable).expect("settings");
    expect_that!(from_args == from_variables, eq(true));
    let Command::Run(settings) = from_args else {
        panic!("the command is not to run");
    };
    expect_that!(settings.orders, eq(OrderPermission::Checked));
    expect_that!(values(&format!("{settings:?}")), eq(expected));
}

/// The values in a text of `Debug`, without names of types and fields.
fn values(debug: &str) -> String {
    let parts = debug.split([' ', ',', '{', '}', '(', ')', '[', ']']);
    let is_value = |part: &&str| {
        let has_value = part.contains(|c: char| c.is_ascii_digit() || c == '"');
        has_value && !part.ends_with(':') || *part == "None"
    };
    parts.filter(is_value).collect::<Vec<_>>().join(" ")
}

/// Names of enum variants that are values of metric labels, log lines or settings.
#[gtest]
fn enum_names_are_unchanged() {
    let mut enums = 0;
    for (name, names) in lines("names/") {
        let again = match name {
            "PeerBody" => {
                let mut kinds = Vec::new();
                for (_, encoded) in lines("PeerMessage/") {
                    let kind: &'static str = (&message(encoded).body).into();
                    if !kinds.contains(&kind) {
                        kinds.push(kind);
                    }
                }
                // The match keeps a new kind of message from being left out of the fixture.
                match message(lines("PeerMessage/").next().expect("a message").1).body {
                    PeerBody::Challenge(_)
                    | PeerBody::Hello(_)
                    | PeerBody::Welcome(_)
                    | PeerBody::Gossip(_)
                    | PeerBody::Progress(_)
                    | PeerBody::AskSlices(_)
                    | PeerBody::Slices(_)
                    | PeerBody::Superseded(_)
                    | PeerBody::Find(..)
                    | PeerBody::Found(_)
                    | PeerBody::TakenOver(_)
                    | PeerBody::FetchBundle(_)
                    | PeerBody::BundleContent(_) => expect_that!(kinds.len(), eq(13)),
                }
                kinds.join(" ")
            }
            "EventKind" => parsed_again::<EventKind>(names),
            "ServiceName" => parsed_again::<ServiceName>(names),
            "OrderPermission" => parsed_again::<OrderPermission>(names),
            "LineKind" => joined([
                LineKind::Accepted,
                LineKind::Sent,
                LineKind::Answered,
                LineKind::Belief,
                LineKind::Probe,
            ]),
            "PlatformError" => joined([
                PlatformError::NotRun,
                PlatformError::Unknown,
                PlatformError::Throttled,
                PlatformError::OutOfBudget,
            ]),
            "FeedError" => joined([
                FeedError::HistoryGone,
                FeedError::Refused,
                FeedError::NoAnswer,
            ]),
            "CopyError" => joined([
                CopyError::NoRun,
                CopyError::Busy,
                CopyError::NoRoom,
                CopyError::NoAnswer,
            ]),
            "SendError" => joined([
                SendError::NoConnection,
                SendError::Lost,
                SendError::Crossed,
                SendError::Stalled,
            ]),
            other => panic!("no enum for `{other}`"),
        };
        enums += 1;
        expect_that!(again, eq(names), "{name}");
    }
    expect_that!(enums, eq(9));
}
