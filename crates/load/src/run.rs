use super::*;
use crate::{
    balancer::Balancer,
    generation_call::{GenerationCall, GenerationResult},
    injector::{InjectedFaults, Injector},
    tally::Tally,
};

/// Settings of a run of a scenario.
#[derive(Clone, Debug)]
pub struct RunSettings {
    /// Seed of the random number generator.
    pub seed: u64,
    /// Size of the fleet.
    pub size: Size,
    /// Time for which calls arrive; `None` for the scenario's default.
    pub arrival_window: Option<Duration>,
    /// Additional command-line flags of the routers.
    pub router_flags: Vec<String>,
}

impl Default for RunSettings {
    fn default() -> Self {
        Self {
            seed: 1,
            size: Size::Small,
            arrival_window: None,
            router_flags: Vec::new(),
        }
    }
}

/// Timeout for a draining router to exit after the load has ended.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(10);

/// Runs a scenario with real processes; `progress` receives the numbers of finished and all calls.
///
/// # Errors
///
/// If the experiment itself cannot be run. Violated invariants are listed in the report.
pub async fn run_scenario(
    program: &Path,
    scenario: &Scenario,
    settings: &RunSettings,
    progress: impl Fn(usize, usize),
) -> Result<Report, LoadError> {
    let mut scenario = scenario.clone();
    scenario.arrival_window = settings.arrival_window.unwrap_or(scenario.arrival_window);
    let fleet = Fleet::start(program, &fleet_settings(&scenario, settings)).await?;
    if !scenario.peer_delay.is_zero() {
        fleet.delay_peers(scenario.peer_delay).await?;
    }
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(settings.seed);
    let calls = draw_calls(&scenario, settings.size.fleet(), &mut rng);
    let balancer = Balancer::new(fleet.routers.len());
    let start = Instant::now();
    let injector = Injector {
        fleet: &fleet,
        balancer: &balancer,
        start,
        rng,
        injected: InjectedFaults::default(),
    };
    let load = async {
        tokio::try_join!(
            make_calls(&scenario, &fleet, &balancer, calls, start, progress),
            injector.run(&scenario),
        )
    };
    let (results, injected) = tokio::select! {
        done = load => done?,
        () = balancer.poll_readiness(&fleet) => unreachable!("the balancer polls without end"),
    };
    let mut report = collect_report(&scenario, fleet, &results, &injected).await?;
    report.seed = settings.seed;
    report.size = settings.size.to_string();
    Ok(report)
}

fn fleet_settings(scenario: &Scenario, settings: &RunSettings) -> FleetSettings {
    FleetSettings {
        size: settings.size.fleet(),
        step: scenario.step,
        recovery: scenario.recovery,
        proxied: scenario.proxied,
        peers_proxied: !scenario.peer_delay.is_zero(),
        router_flags: settings.router_flags.clone(),
        seed: settings.seed,
        ..FleetSettings::default()
    }
}

/// Draws calls with Poisson arrivals, independent of the progress of earlier calls (open loop).
pub(crate) fn draw_calls(
    scenario: &Scenario,
    size: FleetSize,
    rng: &mut Xoshiro256PlusPlus,
) -> Vec<GenerationCall> {
    let engines = u32::try_from(size.engines).unwrap_or(u32::MAX);
    let rate = scenario.generation_rate * f64::from(engines);
    let mut calls = Vec::new();
    let mut scheduled = Duration::ZERO;
    loop {
        let uniform: f64 = rng.random_range(1e-9..1.0);
        scheduled += Duration::from_secs_f64(-uniform.ln() / rate);
        if scheduled > scenario.arrival_window {
            return calls;
        }
        let id: u64 = rng.random();
        calls.push(GenerationCall {
            scheduled,
            team: rng.random_range(0..size.teams),
            prompt: format!("proofing note {id:016x}, folded twice, two colours, by Friday"),
            seed: rng.random::<u64>() >> 1,
            tokens: rng.random_range(scenario.tokens.0..=scenario.tokens.1),
            key: Some(format!("call-{id:016x}")),
        });
    }
}

pub(crate) async fn make_calls(
    scenario: &Scenario,
    fleet: &Fleet,
    balancer: &Balancer,
    calls: Vec<GenerationCall>,
    start: Instant,
    progress: impl Fn(usize, usize),
) -> Result<Vec<GenerationResult>, LoadError> {
    let teams = calls.iter().map(|call| call.team + 1).max().unwrap_or(0);
    let clients = (0..teams).map(|team| fleet.clients(team));
    let clients = clients.collect::<Result<Vec<_>, _>>()?;
    let deadline = start + scenario.arrival_window + scenario.max_tail;
    let (count, done) = (calls.len(), AtomicUsize::new(0));
    let calls = calls.into_iter().map(|call| async {
        let clients = &clients[call.team];
        tokio::time::sleep_until(start + call.scheduled).await;
        let result = call
            .make(clients, balancer, scenario.token_timeout, deadline)
            .await;
        progress(done.fetch_add(1, Ordering::Relaxed) + 1, count);
        result
    });
    Ok(join_all(calls).await)
}

/// Collects the engines' counts and the exit codes of drained routers, and builds the report.
async fn collect_report(
    scenario: &Scenario,
    mut fleet: Fleet,
    results: &[GenerationResult],
    injected: &InjectedFaults,
) -> Result<Report, LoadError> {
    let mut engines = injected.killed_engine_stats.clone();
    let mut engines_lost = 0;
    for i in 0..fleet.engines.len() {
        let work = fleet.engine_load(i).await.zip(fleet.engine_runs(i).await);
        // An engine on a busy machine may respond too late, so only its exit counts as a loss.
        engines_lost += usize::from(fleet.engines[i].has_ended());
        engines.extend(work);
    }
    let mut exit_codes = Vec::new();
    for router in &injected.drained_routers {
        let ended = tokio::time::timeout(DRAIN_TIMEOUT, fleet.routers[*router].wait()).await;
        exit_codes.push(ended.ok().transpose()?.flatten());
    }
    let tally = Tally {
        scenario,
        results,
        injected,
        engines,
        engines_lost,
        exit_codes,
    };
    Ok(tally.report())
}
