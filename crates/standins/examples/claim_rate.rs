//! Measures claims per second with and without group commit: 400 callers on 8, 40 or 400 VMs, with a
//! platform that is limited to 300 transactions per second and takes 2 ms for each.
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
const RUN_DURATION: Duration = Duration::from_secs(5);

/// One configuration to measure.
#[derive(Clone, Copy)]
struct Case {
    vms: usize,
    /// Number of VMs that the platform call budget is divided by, which may differ from `vms`.
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

/// Results of one run.
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
        (0..CALLERS / case.vms)
            .map(move |j| tokio::spawn(run_caller(vm.clone(), i * 1000 + j, start)))
    });
    let latencies = futures::future::try_join_all(callers.collect::<Vec<_>>()).await?;
    let seconds = start.elapsed().as_secs_f64();
    let refused = latencies
        .iter()
        .flatten()
        .filter(|latency| latency.is_none())
        .count();
    let mut latencies = latencies
        .into_iter()
        .flatten()
        .flatten()
        .collect::<Vec<_>>();
    latencies.sort_unstable();
    let stats = server.stats();
    let claimed = f64::from(u32::try_from(latencies.len())?);
    Ok(Rate {
        claimed_per_second: claimed / seconds,
        refused,
        p50: latencies
            .get(latencies.len() / 2)
            .copied()
            .unwrap_or_default(),
        p99: latencies
            .get(latencies.len() * 99 / 100)
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

/// Makes one caller's claims in sequence. Returns the latency of each, or `None` if it was refused.
async fn run_caller(vm: Arc<Claims>, caller: usize, start: Instant) -> Vec<Option<Duration>> {
    let team: TeamId = "counter".parse().expect("a valid name");
    let mut latencies = Vec::new();
    while start.elapsed() < RUN_DURATION {
        let key = format!("{caller}-{}", latencies.len());
        let claim_start = Instant::now();
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
            latencies.push(None);
            continue;
        };
        latencies.push(Some(claim_start.elapsed()));
        let response = ResponseToRecord {
            status: 201,
            headers: Vec::new(),
            body: Bytes::from_static(b"ticket"),
        };
        vm.record_response(claimed.dispatch().1, response);
    }
    latencies
}
