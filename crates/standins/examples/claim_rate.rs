//! Measures claims a second with and without group commit: 400 callers at 8, 40 or 400 VMs before one
//! platform that does 300 transactions a second, each transaction 2 ms under way.
//!
//! `cargo run --release -p catkin-standins --example claim_rate`

use bytes::Bytes;
use catkin_border::platform::PlatformFaults;
use catkin_decisions::{ClaimKind, ClaimVerdict, Incarnation, RequestDigest, TeamId};
use catkin_standins::PlatformServer;
use catkinward::{
    ClaimRequest, ClaimSettings, Claims, Platform, PlatformSettings, ResponseToRecord, Timeline,
    Timer, http_client::Connections,
};
use std::{
    error::Error,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

const CALLERS: usize = 400;
const RUN: Duration = Duration::from_secs(5);

/// What is compared.
#[derive(Clone, Copy)]
struct Case {
    vms: usize,
    /// Number of VMs for which each one's part of the platform is reckoned.
    shared_by: u32,
    group_max: usize,
}

const CASES: [Case; 5] = [
    Case {
        vms: 8,
        shared_by: 8,
        group_max: 1,
    },
    Case {
        vms: 8,
        shared_by: 8,
        group_max: 200,
    },
    Case {
        vms: 40,
        shared_by: 8,
        group_max: 200,
    },
    Case {
        vms: 40,
        shared_by: 40,
        group_max: 200,
    },
    Case {
        vms: 400,
        shared_by: 400,
        group_max: 200,
    },
];

/// What one run gave.
struct Rate {
    claimed_per_second: f64,
    refused: usize,
    p50: Duration,
    p99: Duration,
    writes_per_second: f64,
    rows_per_claim: f64,
    throttled: u64,
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    for case in CASES {
        let rate = run(case).await?;
        println!(
            "{{\"vms\":{},\"shared_by\":{},\"group_max\":{},\"claimed_per_s\":{:.0},\"refused\":{},\"claim_ms\":{{\"p50\":{},\"p99\":{}}},\"transactions_per_s\":{:.0},\"rows_per_claim\":{:.2},\"throttled\":{}}}",
            case.vms,
            case.shared_by,
            case.group_max,
            rate.claimed_per_second,
            rate.refused,
            rate.p50.as_millis(),
            rate.p99.as_millis(),
            rate.writes_per_second,
            rate.rows_per_claim,
            rate.throttled,
        );
    }
    Ok(())
}

async fn run(case: Case) -> Result<Rate, Box<dyn Error>> {
    let mut faults = serde_json::from_str::<PlatformFaults>("{}")?;
    faults.writes_per_second = Some(300);
    faults.delay_ms = Some(2);
    let server = PlatformServer::start(SocketAddr::from(([127, 0, 0, 1], 0)), faults).await?;
    let vms = (0..case.vms)
        .map(|i| start_vm(i, server.address(), case))
        .collect::<Result<Vec<_>, Box<dyn Error>>>()?;
    let start = Instant::now();
    let callers = vms.iter().enumerate().flat_map(|(i, vm)| {
        (0..CALLERS / case.vms).map(move |j| tokio::spawn(call(vm.clone(), i * 1000 + j, start)))
    });
    let waits = futures::future::try_join_all(callers.collect::<Vec<_>>()).await?;
    let seconds = start.elapsed().as_secs_f64();
    let refused = waits.iter().flatten().filter(|wait| wait.is_none()).count();
    let mut waits = waits.into_iter().flatten().flatten().collect::<Vec<_>>();
    waits.sort_unstable();
    let stats = server.stats();
    let claimed = f64::from(u32::try_from(waits.len())?);
    Ok(Rate {
        claimed_per_second: claimed / seconds,
        refused,
        p50: waits.get(waits.len() / 2).copied().unwrap_or_default(),
        p99: waits
            .get(waits.len() * 99 / 100)
            .copied()
            .unwrap_or_default(),
        writes_per_second: f64::from(u32::try_from(stats.writes)?) / seconds,
        rows_per_claim: f64::from(u32::try_from(stats.rows_written)?) / claimed,
        throttled: stats.throttled,
    })
}

fn start_vm(i: usize, address: SocketAddr, case: Case) -> Result<Arc<Claims>, Box<dyn Error>> {
    let timer = Timer::start();
    let connections = Arc::new(Connections::new()?);
    let cfg = PlatformSettings::shared_by(case.shared_by);
    let platform = Platform::over_http(connections, timer.clone(), address, cfg);
    let cfg = ClaimSettings {
        max_group_size: case.group_max,
        ..ClaimSettings::default()
    };
    let vm = format!("vm-{i}").parse()?;
    let timeline = Timeline::new(vm, "zone-1".parse()?, Arc::default(), 1000);
    Ok(Claims::start(
        Arc::new(platform),
        timer,
        Arc::new(timeline),
        Incarnation(1),
        cfg,
    ))
}

/// One caller's claims one after another; the wait of each, `None` if it was refused.
async fn call(vm: Arc<Claims>, caller: usize, start: Instant) -> Vec<Option<Duration>> {
    let team: TeamId = "counter".parse().expect("a valid name");
    let mut waits = Vec::new();
    while start.elapsed() < RUN {
        let key = format!("{caller}-{}", waits.len());
        let asked = Instant::now();
        let verdict = vm
            .claim(ClaimRequest {
                team: team.clone(),
                key: key.parse().expect("a valid key"),
                digest: RequestDigest::of(&team, key.as_bytes()),
                kind: ClaimKind::Call,
                request: "request".parse().expect("a valid id"),
                time_left: Duration::from_secs(2),
            })
            .await;
        let ClaimVerdict::Claimed(claimed) = verdict else {
            waits.push(None);
            continue;
        };
        waits.push(Some(asked.elapsed()));
        let answer = ResponseToRecord {
            status: 201,
            headers: Vec::new(),
            body: Bytes::from_static(b"ticket"),
        };
        vm.record_response(claimed.dispatch().1, answer);
    }
    waits
}
