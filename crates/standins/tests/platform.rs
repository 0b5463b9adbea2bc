//! Contract of the platform: the router's client against the mock platform, with injected faults.

use catkin_border::platform::{
    Condition, PlatformFaults, PlatformOutage, Row, RowKey, ScanRequest, TransactRequest, VmEntry,
    VmKind, VmState, Write,
};
use catkin_decisions::{CallLimiterSettings, Instant};
use catkin_standins::{PlatformServer, PlatformStore};
use catkinward::{Platform, PlatformError, PlatformSettings, Timer, http_client::Connections};
use googletest::prelude::*;
use std::{net::SocketAddr, num::NonZeroU32, sync::Arc, time::Duration};

fn no_faults() -> PlatformFaults {
    serde_json::from_str("{}").expect("all fields are optional")
}

async fn server(faults: PlatformFaults) -> PlatformServer {
    PlatformServer::start(SocketAddr::from(([127, 0, 0, 1], 0)), faults)
        .await
        .expect("a free port")
}

fn client(address: SocketAddr) -> Platform {
    let connections = Arc::new(Connections::new().expect("a client"));
    let cfg = PlatformSettings {
        timeout: Duration::from_millis(300),
        writes: CallLimiterSettings {
            failures_before_backoff: 100,
            ..CallLimiterSettings::default()
        },
        ..PlatformSettings::default()
    };
    Platform::over_http(connections, Timer::start(), address, cfg)
}

fn put(key: &str, version: u64, value: &str) -> TransactRequest {
    TransactRequest {
        conditions: vec![Condition {
            table: "t".into(),
            key: key.into(),
            version,
        }],
        writes: vec![Write {
            table: "t".into(),
            key: key.into(),
            value: Some(value.into()),
        }],
    }
}

fn key(key: &str) -> RowKey {
    RowKey {
        table: "t".into(),
        key: key.into(),
    }
}

fn format_rows(rows: &[Row]) -> Vec<String> {
    rows.iter()
        .map(|row| format!("{}={}@{}", row.key, row.value, row.version))
        .collect()
}

#[gtest]
#[tokio::test]
async fn failed_condition_returns_the_current_row() {
    let server = server(no_faults()).await;
    let platform = client(server.address());
    (platform.transact)(put("a", 0, "one")).await.expect("up");

    let reply = (platform.transact)(put("a", 0, "two")).await.expect("up");

    let rows = (platform.read)(vec![key("a"), key("b")]).await.expect("up");
    expect_that!(reply.committed, eq(false));
    expect_that!(format_rows(&reply.conflicts), eq(&["a=one@1"]));
    expect_that!(format_rows(&rows), eq(&["a=one@1"]));
}

#[gtest]
#[tokio::test]
async fn scan_returns_a_prefix_in_pages() {
    let server = server(no_faults()).await;
    let platform = client(server.address());
    for name in ["a/1", "a/2", "a/3", "b/1"] {
        (platform.transact)(put(name, 0, "x")).await.expect("up");
    }
    let page = |after: Option<&str>| ScanRequest {
        table: "t".into(),
        prefix: "a/".into(),
        after: after.map(Into::into),
        limit: NonZeroU32::new(2).expect("not zero"),
    };

    let first = (platform.scan)(page(None)).await.expect("up");
    let second = (platform.scan)(page(Some("a/2"))).await.expect("up");

    expect_that!(format_rows(&first), eq(&["a/1=x@1", "a/2=x@1"]));
    expect_that!(format_rows(&second), eq(&["a/3=x@1"]));
}

#[gtest]
#[tokio::test]
async fn objects_are_found_by_any_name() {
    let server = server(no_faults()).await;
    let platform = client(server.address());
    let name: Arc<str> = "claims/team é?%/1".into();
    (platform.put_object)((name.clone(), "body".into()))
        .await
        .expect("up");

    let found = (platform.get_object)(name).await;
    let absent = (platform.get_object)("other".into()).await;

    expect_that!(found, ok(some(eq(&"body"))));
    expect_that!(absent, ok(none()));
}

struct FaultCase {
    name: &'static str,
    faults: PlatformFaults,
    expected: PlatformError,
    took_effect: bool,
}

fn fault_cases() -> Vec<FaultCase> {
    vec![
        FaultCase {
            name: "refused",
            faults: PlatformFaults {
                outage: Some(PlatformOutage::Refused),
                ..no_faults()
            },
            expected: PlatformError::NotRun,
            took_effect: false,
        },
        FaultCase {
            name: "silent",
            faults: PlatformFaults {
                outage: Some(PlatformOutage::Silent),
                ..no_faults()
            },
            expected: PlatformError::Unknown,
            took_effect: false,
        },
        FaultCase {
            name: "answer lost",
            faults: PlatformFaults {
                lose_answers: Some(1),
                ..no_faults()
            },
            expected: PlatformError::Unknown,
            took_effect: true,
        },
        FaultCase {
            name: "answer too late",
            faults: PlatformFaults {
                answer_delay_ms: Some(10_000),
                ..no_faults()
            },
            expected: PlatformError::Unknown,
            took_effect: true,
        },
    ]
}

/// A platform call fails in each possible way. A router that confuses "not run" with "unknown" would
/// report a request as not run although it ran, or would never run it.
#[gtest]
#[tokio::test]
async fn each_fault_is_reported_as_not_run_or_unknown() {
    for case in fault_cases() {
        let server = server(case.faults).await;
        let platform = client(server.address());

        let result = (platform.transact)(put("a", 0, "one")).await;

        expect_that!(result, err(eq(&case.expected)), "{}", case.name);
        let took_effect = server.stats().rows_written == 1;
        expect_that!(took_effect, eq(case.took_effect), "{}", case.name);
    }
}

/// The platform's process is down and connections are refused, so the call cannot have run.
#[gtest]
#[tokio::test]
async fn refused_connection_is_not_run() {
    let unused = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = unused.local_addr().expect("bound");
    drop(unused);
    let platform = client(address);

    let result = (platform.transact)(put("a", 0, "one")).await;

    expect_that!(result, err(eq(&PlatformError::NotRun)));
}

/// Writes exceed the platform's rate limit. The excess is refused, and its senders learn that it did
/// not run.
#[gtest]
#[tokio::test]
async fn writes_beyond_the_rate_are_throttled() {
    let server = server(PlatformFaults {
        writes_per_second: Some(1),
        ..no_faults()
    })
    .await;
    let platform = client(server.address());
    (platform.transact)(put("a", 0, "one"))
        .await
        .expect("the write is within the rate limit");

    let result = (platform.transact)(put("b", 0, "one")).await;

    expect_that!(result, err(eq(&PlatformError::Throttled)));
    expect_that!(server.stats().throttled, eq(1));
}

fn vm(id: &str, state: VmState) -> VmEntry {
    VmEntry {
        id: id.into(),
        kind: VmKind::Router,
        address: "127.0.0.1:1".into(),
        operator_address: None,
        availability_zone: "zone-1".into(),
        state,
    }
}

/// The platform's VM list still shows a leaving VM as live. A reader that relies on the list alone
/// would send the VM new work.
#[gtest]
fn vm_list_can_be_stale() {
    let mut store = PlatformStore::default();
    let at = |seconds| Instant(Duration::from_secs(seconds));
    store.set_vms(at(1), vec![vm("vm-1", VmState::Live)]);
    store.set_vms(at(5), vec![vm("vm-1", VmState::Leaving)]);

    let states = [0, 4, 5].map(|then| {
        let vms = store.vms(at(then));
        vms.first().map(|vm| vm.state)
    });

    expect_that!(
        states,
        eq([None, Some(VmState::Live), Some(VmState::Leaving)])
    );
}
