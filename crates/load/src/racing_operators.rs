use super::*;
use catkin_border::{
    operator::TimelineReply,
    platform::{PlatformFaults, PlatformStats},
};
use catkin_decisions::{BundleAuthor, BundleRefusal, BundleVersion, DraftId, KeyHash};
use catkin_standins::PlatformServer;
use catkinward::{
    BundleStore, BundleStoreSettings, HybridTime, Platform, PlatformSettings, Timer,
    http_client::{Connections, HttpCall},
};
use http::{HeaderMap, header};
use std::time::{SystemTime, UNIX_EPOCH};

/// Metrics and invariant violations of a run of [`racing_operators()`].
#[derive(Clone, Debug, Default, Serialize)]
pub struct OperatorsReport {
    /// Seed of the random number generator.
    pub seed: u64,
    /// Number of routers, connected as peers.
    pub routers: usize,
    /// Number of pairs of concurrent roll-outs.
    pub races: u64,
    /// Responses of the table service that were dropped.
    pub answers_lost: u64,
    /// Time from the roll-out call until a router had the bundle in force.
    pub bundle_in_force_ms: Percentiles,
    /// Number of times that a router returned to an older bundle.
    pub bundle_reverts: usize,
    /// Reads of the table service per second by all routers and operators.
    pub platform_reads_per_s: f64,
    /// Transactions of the table service per second by all routers and operators.
    pub platform_writes_per_s: f64,
    /// Violated invariants; empty if the run passed.
    pub violations: Vec<String>,
}

/// Settings of [`racing_operators()`].
#[derive(Clone, Debug)]
pub struct OperatorsSettings {
    /// Seed of the number of lost responses and of the delays between roll-outs.
    pub seed: u64,
    /// Number of routers.
    pub routers: usize,
    /// Number of pairs of concurrent roll-outs.
    pub races: u64,
}

const OPERATOR_KEY: &str = "operator-key";

/// Number of routers that later ones get as peers at startup; they discover the rest by gossip.
const MAX_SEED_PEERS: usize = 3;

/// Timeout until all routers have the last bundle in force.
const LAST_BUNDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Lets two operators repeatedly roll out at once, loses responses, checks the routers' timelines.
///
/// # Errors
///
/// If the processes do not start, or the platform does not respond.
pub async fn racing_operators(
    program: &Path,
    cfg: &OperatorsSettings,
) -> Result<OperatorsReport, LoadError> {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let platform = PlatformServer::start(any, PlatformFaults::default()).await?;
    let routers = start_routers(program, platform.address(), cfg.routers).await?;
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(cfg.seed);
    let mut report = OperatorsReport {
        seed: cfg.seed,
        routers: cfg.routers,
        races: cfg.races,
        ..OperatorsReport::default()
    };
    let store = bundle_store(platform.address())?;
    let start = Instant::now();
    let before = platform.stats();
    let mut rolled_out = Vec::new();
    for version in 1..=cfg.races {
        let lost = rng.random_range(0..3);
        rolled_out.push(race_operators(&store, &platform, version, lost, &mut report).await?);
        // Matches the interval between the routers' store reads, with random phase.
        tokio::time::sleep(Duration::from_millis(rng.random_range(1_000..2_000))).await;
    }
    let timelines = timelines(&routers, cfg.races).await?;
    report.record_platform_load(&before, &platform.stats(), start.elapsed());
    report.record_bundle_times(&rolled_out, &timelines);
    Ok(report)
}

async fn start_routers(
    program: &Path,
    platform: SocketAddr,
    count: usize,
) -> Result<Vec<Process>, LoadError> {
    let mut routers = Vec::new();
    let mut seed_peers = Vec::new();
    for i in 0..count {
        let args = [
            "--listen=127.0.0.1:0".to_owned(),
            "--operator-listen=127.0.0.1:0".to_owned(),
            format!("--operator-key-sha256={}", KeyHash::of(OPERATOR_KEY)),
            format!("--platform={platform}"),
            "--peer-listen=127.0.0.1:0".to_owned(),
            "--peer-key=secret".to_owned(),
            format!("--peers={}", seed_peers.join(",")),
            format!("--vm=vm-{i}"),
            format!("--zone=zone-{}", i % 3),
            "--log=error".to_owned(),
        ];
        let router = Process::start(program, Role::Router, &args).await?;
        if let Some(address) = router.other_address("peers").filter(|_| i < MAX_SEED_PEERS) {
            seed_peers.push(format!("vm-{i}={address}@zone-{}", i % 3));
        }
        routers.push(router);
    }
    Ok(routers)
}

fn bundle_store(platform: SocketAddr) -> Result<BundleStore, LoadError> {
    let connections = Arc::new(Connections::new()?);
    let cfg = PlatformSettings::default();
    let platform = Platform::over_http(connections, Timer::start(), platform, cfg);
    Ok(BundleStore::new(
        Arc::new(platform),
        BundleStoreSettings::default(),
    ))
}

/// Rolls out two drafts based on one version concurrently, while `lost` responses are dropped.
/// Returns the wall-clock time at which the calls began.
async fn race_operators(
    store: &BundleStore,
    platform: &PlatformServer,
    version: u64,
    lost: u32,
    report: &mut OperatorsReport,
) -> Result<Duration, LoadError> {
    let first = propose_and_sign_off(store, version * 2, "ada", "bea").await?;
    let second = propose_and_sign_off(store, version * 2 + 1, "bea", "ada").await?;
    platform.change_faults(&PlatformFaults {
        lose_answers: Some(lost),
        ..PlatformFaults::default()
    });
    let started_at = wall_clock();
    let outcomes = tokio::join!(
        store.roll_out(&first, author("ada")),
        store.roll_out(&second, author("bea")),
    );
    let winner = match outcomes {
        (Ok(won), Err(lost)) => Some(("ada", won.value, lost)),
        (Err(lost), Ok(won)) => Some(("bea", won.value, lost)),
        _ => None,
    };
    match winner {
        Some((by, value, refused)) if value == BundleVersion(version) => {
            let expected = BundleRefusal::Superseded {
                by: author(by).operator,
                version: value,
            };
            if refused.to_string() != expected.to_string() {
                report
                    .record_violation(format!("version {version}: the loser was told `{refused}`"));
            }
        }
        _ => report.record_violation(format!(
            "version {version}: not exactly one operator won it"
        )),
    }
    Ok(started_at)
}

async fn propose_and_sign_off(
    store: &BundleStore,
    weight: u64,
    proposer: &str,
    signer: &str,
) -> Result<DraftId, LoadError> {
    let key = KeyHash::of("caller-key");
    let json = format!(
        r#"{{"teams": [{{"name": "counter", "key_sha256": "{key}", "weight": {weight}}}],
            "services": [], "upstreams": []}}"#
    );
    let draft = store.propose(&json, author(proposer)).await?.value;
    let signed_off = store.sign_off(&draft.id, draft.digest, author(signer));
    Ok(signed_off.await?.value.id)
}

fn author(operator: &str) -> BundleAuthor {
    let change = format!("{:08x}", rand::random::<u32>());
    BundleAuthor {
        operator: operator.parse().expect("a valid name"),
        change: change
            .parse()
            .expect("hexadecimal digits are visible ASCII"),
        at: wall_clock().as_secs(),
    }
}

fn wall_clock() -> Duration {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.unwrap_or_default()
}

/// Reads the routers' timelines after each has the last version in force, or after the timeout.
async fn timelines(routers: &[Process], last: u64) -> Result<Vec<TimelineReply>, LoadError> {
    let connections = Connections::new()?;
    let mut headers = HeaderMap::new();
    let bearer = header::HeaderValue::from_static("Bearer operator-key");
    headers.insert(header::AUTHORIZATION, bearer);
    let deadline = Instant::now() + LAST_BUNDLE_TIMEOUT;
    let mut replies = Vec::new();
    for router in routers {
        let role = Role::Router;
        let operators = router.other_address("operators");
        let address = operators.ok_or(LoadError::NotListening { role })?;
        loop {
            let call = HttpCall {
                address,
                path: "/v1/timeline".to_owned(),
                headers: headers.clone(),
                ..HttpCall::default()
            };
            let reply: TimelineReply = connections.call_json(call).await?;
            let in_force = reply.events.iter().any(|event| event.bundle == Some(last));
            if in_force || Instant::now() > deadline {
                replies.push(reply);
                break;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
    Ok(replies)
}

impl OperatorsReport {
    fn record_violation(&mut self, violation: String) {
        self.violations.push(violation);
    }

    fn record_platform_load(
        &mut self,
        before: &PlatformStats,
        after: &PlatformStats,
        time: Duration,
    ) {
        let per_second = |calls: u64| {
            let calls = u32::try_from(calls).unwrap_or(u32::MAX);
            f64::from(calls) / time.as_secs_f64()
        };
        self.answers_lost = after.answers_lost - before.answers_lost;
        self.platform_reads_per_s = per_second(after.reads - before.reads);
        self.platform_writes_per_s = per_second(after.writes - before.writes);
    }

    fn record_bundle_times(&mut self, rolled_out: &[Duration], timelines: &[TimelineReply]) {
        let mut times = Vec::new();
        for timeline in timelines {
            let mut last = 0;
            for event in &timeline.events {
                let Some(version) = event.bundle else {
                    continue;
                };
                if version <= last {
                    self.bundle_reverts += 1;
                }
                last = version;
                let index = usize::try_from(version - 1).ok();
                let started_at = index.and_then(|i| rolled_out.get(i));
                if let (Some(started_at), Ok(time)) = (started_at, event.time.parse::<HybridTime>())
                {
                    times.push(Duration::from_micros(time.micros).saturating_sub(*started_at));
                }
            }
            if last != self.races {
                self.record_violation(format!(
                    "{}: version {last} is in force at the end",
                    timeline.vm
                ));
            }
        }
        if self.bundle_reverts > 0 {
            self.record_violation("a router went back to an older bundle".to_owned());
        }
        self.bundle_in_force_ms = Percentiles::of(times);
    }
}
