//! Compatibility of encodings: datagrams between VMs, rows of the store, and names in logs and metrics.
//!
//! Each line of `encodings.txt` holds a name, a tab, and a value as version f8e4dea of the program encoded it: CBOR in
//! hexadecimal for datagrams, JSON for rows, texts of ids, and the names of an enum's variants. VMs of both versions
//! run side by side during an update, and rows outlive it, so each value must be decoded and encoded again to the same
//! bytes. The test fails if a renamed field or variant lost its outer name, or if fields or variants were reordered.
//!
//! Lines of the fixture are added for new fields and kinds, and never changed.

use catkin_decisions::{
    BundleDraft, BundleRelease, BundleRow, CallKind, ChainId, ClaimKind, ClaimOutcome, ClaimStage,
    ClaimToken, CurrentBundle, DropReason, EventDecision, Finish, HybridTime, Instant, KeyHash,
    Lane, LeavingSource, LimitKind, PeerDatagram, Presence, RecordedBody, RecordedResponse,
    RecoveryPolicy, RefusalReason, RequestDigest, RolloutOrderError, RolloutPhase, RolloutRecord,
    StaleRestart, UpstreamIncarnation, VmIncarnation, ZoneRole, parse_hex, to_hex,
};
use googletest::prelude::*;
use serde::{Serialize, de::DeserializeOwned};
use std::{
    fmt::{Debug, Display},
    str::FromStr,
};

const LINES: &str = include_str!("encodings.txt");

/// Names and encoded values of the lines whose name begins with `prefix`, which is cut off.
fn lines(prefix: &str) -> impl Iterator<Item = (&'static str, &'static str)> {
    LINES
        .lines()
        .filter_map(|line| line.split_once('\t'))
        .filter_map(move |(name, encoded)| Some((name.strip_prefix(prefix)?, encoded)))
}

fn cbor_again<T: Serialize + DeserializeOwned>(encoded: &str) -> String {
    let bytes = parse_hex(encoded).expect("hexadecimal digits");
    let value: T = ciborium::from_reader(&bytes[..]).expect("CBOR of the type");
    let mut buf = Vec::new();
    ciborium::into_writer(&value, &mut buf).expect("the value can be encoded");
    to_hex(&buf)
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
fn datagrams_are_read_and_written_unchanged() {
    for (name, encoded) in lines("PeerDatagram/") {
        expect_that!(cbor_again::<PeerDatagram>(encoded), eq(encoded), "{name}");
    }
    // Three heartbeats and three gossip datagrams (all fields set, optional ones absent, later fields set), gossip and a
    // restart of a later era of the store, five rollouts, two statements, and one datagram of each other variant.
    expect_that!(lines("PeerDatagram/").count(), eq(23));
}

/// Each variant of [`PeerDatagram`] stands in the fixture. A new variant does not compile here until it has a name.
#[gtest]
fn each_kind_of_datagram_is_covered() {
    let mut kinds = lines("PeerDatagram/")
        .map(|(_, encoded)| {
            let bytes = parse_hex(encoded).expect("hexadecimal digits");
            match ciborium::from_reader(&bytes[..]).expect("a datagram") {
                PeerDatagram::Note(_) => "heartbeat",
                PeerDatagram::Partial(_) => "partial heartbeat",
                PeerDatagram::Members(_) => "members",
                PeerDatagram::Gossip(_) => "gossip",
                PeerDatagram::LoanAsk(_) => "loan request",
                PeerDatagram::Loan(_) => "loan",
                PeerDatagram::Restart(_) => "restart",
                PeerDatagram::Rollout(_) => "rollout",
                PeerDatagram::RolloutReport(_) => "rollout report",
                PeerDatagram::RolloutGrant(_) => "rollout grant",
                PeerDatagram::Crashes(_) => "crashes",
                PeerDatagram::Statement(_) => "statement",
            }
        })
        .collect::<Vec<_>>();
    kinds.sort_unstable();
    kinds.dedup();
    expect_that!(kinds.len(), eq(12));
}

#[gtest]
fn rows_are_read_and_written_unchanged() {
    let mut rows = 0;
    for (name, encoded) in lines("") {
        let again = match name.split('/').next().unwrap_or_default() {
            "BundleDraft" => json_again::<BundleDraft>(encoded),
            "BundleRelease" => json_again::<BundleRelease>(encoded),
            "CurrentBundle" => json_again::<CurrentBundle>(encoded),
            "RolloutRecord" => json_again::<RolloutRecord>(encoded),
            "HybridTime" => json_again::<HybridTime>(encoded),
            "KeyHash" => json_again::<KeyHash>(encoded),
            "PeerDatagram" | "BundleKey" | "names" | "text" => continue,
            other => panic!("no type for `{other}`"),
        };
        rows += 1;
        expect_that!(again, eq(encoded), "{name}");
    }
    expect_that!(rows, eq(11));
}

/// The key under which a row of the bundle store is found again.
#[gtest]
fn bundle_rows_keep_their_keys() {
    let row = |prefix| lines(prefix).next().expect("a row of this kind").1;
    let draft = serde_json::from_str(row("BundleDraft/")).expect("a draft");
    let release = serde_json::from_str(row("BundleRelease/")).expect("a release");
    let current = serde_json::from_str(row("CurrentBundle/")).expect("the current bundle");
    for (kind, row) in [
        ("BundleDraft", BundleRow::Draft(draft)),
        ("BundleRelease", BundleRow::Release(release)),
        ("CurrentBundle", BundleRow::Current(current)),
    ] {
        let expected = lines("BundleKey/").find(|(name, _)| *name == kind);
        expect_that!(
            expected,
            some((eq(kind), eq(row.key().to_string().as_str())))
        );
    }
}

/// Ids as they stand in keys of rows, headers and log lines.
#[gtest]
fn ids_are_written_unchanged() {
    fn parsed<T: FromStr<Err: Debug> + Display>(text: &str) -> String {
        text.parse::<T>().expect("an id").to_string()
    }
    fn decoded<T: DeserializeOwned + Display>(json: &str) -> String {
        let value: T = serde_json::from_str(json).expect("JSON of the type");
        value.to_string()
    }
    for (name, text) in lines("text/") {
        let again = match (name, text.split_once(['@', '/'])) {
            ("ChainId", _) => parsed::<ChainId>(text),
            ("RequestDigest", _) => parsed::<RequestDigest>(text),
            ("ClaimToken", _) => parsed::<ClaimToken>(text),
            ("UpstreamIncarnation", None) => parsed::<UpstreamIncarnation>(text),
            ("UpstreamIncarnation", Some((id, start))) => {
                decoded::<UpstreamIncarnation>(&format!(r#"{{"i":"{id}","b":{start}}}"#))
            }
            ("VmIncarnation", Some((vm, hex))) => {
                let number = u64::from_str_radix(hex, 16).expect("a number");
                decoded::<VmIncarnation>(&format!(r#"{{"v":"{vm}","i":{number}}}"#))
            }
            (other, _) => panic!("no type for `{other}`"),
        };
        expect_that!(again, eq(text), "{name}");
    }
    expect_that!(lines("text/").count(), eq(6));
}

/// Names of enum variants that are values of metric labels, log lines or settings.
#[gtest]
fn enum_names_are_unchanged() {
    let response = RecordedResponse {
        status: 200,
        headers: Vec::new(),
        body: RecordedBody::TooLarge,
    };
    let mut enums = 0;
    for (name, names) in lines("names/") {
        let again = match name {
            "CallKind" => parsed_again::<CallKind>(names),
            "ClaimKind" => parsed_again::<ClaimKind>(names),
            "DropReason" => parsed_again::<DropReason>(names),
            "Finish" => parsed_again::<Finish>(names),
            "Lane" => parsed_again::<Lane>(names),
            "LeavingSource" => parsed_again::<LeavingSource>(names),
            "LimitKind" => parsed_again::<LimitKind>(names),
            "RecoveryPolicy" => parsed_again::<RecoveryPolicy>(names),
            "RefusalReason" => parsed_again::<RefusalReason>(names),
            "RolloutPhase" => parsed_again::<RolloutPhase>(names),
            "ClaimStage" => joined([
                ClaimStage::Claimed,
                ClaimStage::Released,
                ClaimStage::Done(ClaimOutcome::Unknown),
            ]),
            "ClaimOutcome" => joined([
                ClaimOutcome::Answered(response.clone()),
                ClaimOutcome::Unknown,
            ]),
            "EventDecision" => joined([
                EventDecision::Deliver,
                EventDecision::Drop,
                EventDecision::Gap,
            ]),
            "Presence" => joined([
                Presence::Present,
                Presence::Lapsed(Instant::default()),
                Presence::Reported(None),
                Presence::Replaced,
                Presence::Denied,
                Presence::Leaving,
                Presence::Gone,
                Presence::Superseded,
            ]),
            "RolloutOrderError" => joined([
                RolloutOrderError::UnknownService,
                RolloutOrderError::NoTime,
                RolloutOrderError::VersionInUse,
            ]),
            "StaleRestart" => joined([
                StaleRestart::Known,
                StaleRestart::Removed,
                StaleRestart::TableIsCurrent,
                StaleRestart::TableIsNewer,
            ]),
            "ZoneRole" => [
                ZoneRole::Reader,
                ZoneRole::Standby,
                ZoneRole::Deputy,
                ZoneRole::Member,
            ]
            .map(|role| role.to_string())
            .join(" "),
            other => panic!("no enum for `{other}`"),
        };
        enums += 1;
        expect_that!(again, eq(names), "{name}");
    }
    expect_that!(enums, eq(17));
}
