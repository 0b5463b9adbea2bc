//! Measures plain calls through two routers to three upstreams, at a multiple of their capacity:
//! `cargo run --release -p catkin-load --example plain_overload -- 2.0`. Routers, upstreams and callers
//! share this process, so the reported latencies include delays of the callers.

use bytes::Bytes;
use catkin_border::{bundle, caller::Problem};
use catkin_decisions::KeyHash;
use catkin_standins::{PlainServer, PlainSettings};
use catkinward::{
    Node, Settings,
    http_client::{Connections, HttpCall},
    http_server::Listener,
    start_logging,
};
use http::Method;
use std::{error::Error, net::SocketAddr, sync::Arc, time::Duration};
use tokio::time::Instant;
use volo_http::body::BodyConversion;

const UPSTREAM_COUNT: usize = 3;
const ROUTERS: usize = 2;
const SLOTS_PER_UPSTREAM: usize = 4;
const SERVICE_TIME: Duration = Duration::from_millis(20);
const DEADLINE_MS: u64 = 1000;
const TEAMS: usize = 5;
const RUN_SECONDS: u64 = 8;

/// Initial part of a run, in which the routers' concurrency limits adapt. Its calls are not counted.
const WARM_UP: Duration = Duration::from_secs(2);

#[derive(Clone, Copy, Debug, PartialEq)]
enum Received {
    Answer,
    Refusal,
    Other,
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    start_logging("error");
    let load: f64 = std::env::args().nth(1).unwrap_or("2.0".into()).parse()?;
    let mut servers = Vec::new();
    for seed in 0..UPSTREAM_COUNT as u64 {
        let settings = PlainSettings {
            service_time: SERVICE_TIME,
            capacity: SLOTS_PER_UPSTREAM,
            seed,
            ..PlainSettings::default()
        };
        servers.push(PlainServer::start(free_address(), settings).await?);
    }
    let mut routers = Vec::new();
    for _ in 0..ROUTERS {
        routers.push(start_router(&servers).await?);
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    let slots = u32::try_from(UPSTREAM_COUNT * SLOTS_PER_UPSTREAM)?;
    let capacity = f64::from(slots) / SERVICE_TIME.as_secs_f64();
    let calls = offer_load(&routers, capacity * load).await?;
    report(capacity, &calls);
    Ok(())
}

fn free_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

async fn start_router(servers: &[PlainServer]) -> Result<SocketAddr, Box<dyn Error>> {
    let listener = Listener::bind(free_address()).await?;
    let address = listener.address()?;
    let settings = Settings {
        entry_vms: u32::try_from(ROUTERS)?,
        ..Settings::default()
    };
    let node = Node::start(settings)?;
    node.activate_bundle(1, &serde_json::to_string(&bundle_of(servers))?)?;
    tokio::spawn(async move { node.serve(listener).await });
    Ok(address)
}

fn bundle_of(servers: &[PlainServer]) -> bundle::Bundle {
    let upstreams = servers.iter().enumerate();
    bundle::Bundle {
        services: vec![bundle::ServiceEntry {
            deadline_ms: None,
            kind: bundle::ServiceKind::Plain,
            model: None,
            name: "shopfront".to_owned(),
            paths: Vec::new(),
            recovery: None,
            teams: Vec::new(),
        }],
        teams: (0..TEAMS)
            .map(|team| bundle::TeamEntry {
                key_sha256: KeyHash::of(key(team)).to_string(),
                name: format!("team-{team}"),
                requests_per_second: None,
                tokens_per_second: None,
                weight: std::num::NonZeroU32::MIN,
            })
            .collect(),
        upstreams: upstreams
            .map(|(i, server)| bundle::UpstreamEntry {
                address: server.address().to_string(),
                availability_zone: "zone-1".to_owned(),
                checks_orderer: false,
                enforces_fencing: false,
                id: format!("worker-{i}"),
                services: vec!["shopfront".to_owned()],
            })
            .collect(),
    }
}

fn key(team: usize) -> String {
    format!("key-{team}")
}

/// Makes `rate` calls per second, evenly spaced, and returns the outcome and latency of each.
async fn offer_load(
    routers: &[SocketAddr],
    rate: f64,
) -> Result<Vec<(Received, Duration)>, Box<dyn Error>> {
    let connections = Arc::new(Connections::new()?);
    let start = Instant::now();
    let mut calls = Vec::new();
    for i in 0_u32.. {
        let at = Duration::from_secs_f64(f64::from(i) / rate);
        if at >= Duration::from_secs(RUN_SECONDS) {
            break;
        }
        tokio::time::sleep_until(start + at).await;
        let router = routers[i as usize % routers.len()];
        let call = make_call(connections.clone(), router, i);
        calls.push((at, tokio::spawn(call)));
    }
    let mut received = Vec::new();
    for (at, call) in calls {
        let result = call.await?;
        if at >= WARM_UP {
            received.push(result);
        }
    }
    Ok(received)
}

async fn make_call(
    connections: Arc<Connections>,
    address: SocketAddr,
    i: u32,
) -> (Received, Duration) {
    let mut headers = http::HeaderMap::new();
    let bearer = format!("Bearer {}", key(i as usize % TEAMS));
    headers.insert(
        http::header::AUTHORIZATION,
        bearer.parse().expect("a valid header value"),
    );
    headers.insert("catkin-deadline-ms", DEADLINE_MS.into());
    let call = HttpCall {
        address,
        method: Method::POST,
        path: format!("/v1/services/shopfront/orders?item={i}"),
        headers,
        body: Bytes::from_static(b"order"),
        timeout: Duration::from_secs(5),
        new_connection: false,
    };
    let start = Instant::now();
    let received = match connections.call(call).await {
        Ok(response) if response.status().is_success() => Received::Answer,
        Ok(response) => match response.into_body().into_bytes().await {
            Ok(body) => match serde_json::from_slice::<Problem>(&body) {
                Ok(problem) if problem.outcome.to_string() == "not_run" => Received::Refusal,
                _ => Received::Other,
            },
            Err(_) => Received::Other,
        },
        Err(_) => Received::Other,
    };
    (received, start.elapsed())
}

fn report(capacity: f64, calls: &[(Received, Duration)]) {
    let latencies_of = |kind| {
        let mut latencies = calls
            .iter()
            .filter(|(received, _)| *received == kind)
            .map(|(_, latency)| *latency)
            .collect::<Vec<_>>();
        latencies.sort_unstable();
        latencies
    };
    let (answers, refusals, others) = (
        latencies_of(Received::Answer),
        latencies_of(Received::Refusal),
        latencies_of(Received::Other),
    );
    let in_time = answers
        .iter()
        .filter(|latency| **latency <= Duration::from_millis(DEADLINE_MS))
        .count();
    let seconds = Duration::from_secs(RUN_SECONDS).saturating_sub(WARM_UP);
    let possible = capacity * seconds.as_secs_f64();
    #[allow(clippy::cast_precision_loss)]
    let share = in_time as f64 / possible;
    println!("calls {}, capacity {possible:.0}", calls.len());
    println!("answered in deadline {in_time} ({share:.2} of capacity)");
    println!("refused {}, other {}", refusals.len(), others.len());
    println!(
        "refusal wait p50 {:?} p99 {:?}",
        percentile(&refusals, 50),
        percentile(&refusals, 99)
    );
    println!(
        "answer wait p50 {:?} p99 {:?}",
        percentile(&answers, 50),
        percentile(&answers, 99)
    );
}

fn percentile(sorted: &[Duration], percent: usize) -> Duration {
    sorted
        .get(sorted.len() * percent / 100)
        .copied()
        .unwrap_or_default()
}
