use super::*;
use crate::{
    balancer::Balancer,
    quick_call::{QuickCall, QuickResult},
    quick_report::HOT_ITEM_QUERY,
    run::{draw_calls, make_calls},
};
use catkinward::http_client::Connections;

/// Concurrency slots of each plain upstream.
const SLOTS_PER_UPSTREAM: f64 = 8.0;

/// Mean service time of a call.
const SERVICE_TIME: Duration = Duration::from_millis(40);

/// Number of plain upstreams in each [`FleetSize`].
const PLAIN_UPSTREAMS: f64 = 3.0;

/// Calls per second that all plain upstreams together serve; each slot serves 25 at 40 ms a call.
pub(crate) const CAPACITY: f64 = PLAIN_UPSTREAMS * SLOTS_PER_UPSTREAM * 25.0;

/// Runs a scenario through routers, then as a baseline with new upstreams called round robin.
///
/// # Errors
///
/// If the experiment itself cannot be run. Violated invariants are listed in the report.
pub async fn run_quick(
    program: &Path,
    scenario: &QuickScenario,
    settings: &RunSettings,
) -> Result<QuickReport, LoadError> {
    let mut scenario = scenario.clone();
    scenario.arrival_window = settings.arrival_window.unwrap_or(scenario.arrival_window);
    let size = settings.size.fleet();
    let size_without_routers = FleetSize {
        routers: 0,
        engines: 0,
        ..size
    };
    let (results, runs) = run_calls(program, &scenario, settings, size).await?;
    let (direct, direct_runs) =
        run_calls(program, &scenario, settings, size_without_routers).await?;
    let mut report = QuickReport {
        scenario: scenario.name.to_owned(),
        seed: settings.seed,
        measures: QuickMeasures::of(&results, &runs, scenario.arrival_window),
        baseline: QuickMeasures::of(&direct, &direct_runs, scenario.arrival_window),
        ..QuickReport::default()
    };
    report.check_invariants(&results, &runs);
    Ok(report)
}

async fn run_calls(
    program: &Path,
    scenario: &QuickScenario,
    settings: &RunSettings,
    size: FleetSize,
) -> Result<(Vec<QuickResult>, RunCounts), LoadError> {
    let fleet_settings = FleetSettings {
        size,
        router_flags: settings.router_flags.clone(),
        plain_flags: vec![
            format!("--service-us={}", SERVICE_TIME.as_micros()),
            format!("--capacity={SLOTS_PER_UPSTREAM}"),
        ],
        seed: settings.seed,
        ..FleetSettings::default()
    };
    let fleet = Fleet::start(program, &fleet_settings).await?;
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(settings.seed);
    let calls = draw_quick_calls(scenario, size, &mut rng);
    let start = Instant::now();
    let (results, (), ()) = tokio::try_join!(
        make_quick_calls(&fleet, calls, start),
        inject_faults(&fleet, scenario, start),
        run_generations(&fleet, scenario, size, rng, start),
    )?;
    let mut runs = RunCounts::default();
    for plain in &fleet.plain_upstreams {
        runs.runs
            .extend(fleet.plain_runs(plain.address()).await?.runs);
    }
    Ok((results, runs))
}

fn draw_quick_calls(
    scenario: &QuickScenario,
    size: FleetSize,
    rng: &mut Xoshiro256PlusPlus,
) -> Vec<QuickCall> {
    let mut calls = Vec::new();
    let mut scheduled = Duration::ZERO;
    loop {
        let share = scheduled.div_duration_f64(scenario.arrival_window);
        let factor = match scenario.burst {
            Some((from, to, factor)) if (from..to).contains(&share) => factor,
            _ => 1.0,
        };
        let uniform: f64 = rng.random_range(1e-9..1.0);
        scheduled += Duration::from_secs_f64(-uniform.ln() / (scenario.load * factor * CAPACITY));
        if scheduled > scenario.arrival_window {
            return calls;
        }
        let write = rng.random_bool(scenario.writes);
        let hot = !write && rng.random_bool(scenario.hot_key);
        calls.push(QuickCall {
            scheduled,
            team: if rng.random_bool(scenario.hot_team) {
                0
            } else {
                rng.random_range(1..size.teams)
            },
            query: if hot {
                format!("{HOT_ITEM_QUERY}1")
            } else {
                format!("n={:016x}", rng.random::<u64>())
            },
            write,
        });
    }
}

async fn make_quick_calls(
    fleet: &Fleet,
    calls: Vec<QuickCall>,
    start: Instant,
) -> Result<Vec<QuickResult>, LoadError> {
    let through_router = !fleet.routers.is_empty();
    let entry_points = if through_router {
        &fleet.routers
    } else {
        &fleet.plain_upstreams
    };
    let connections = Connections::new()?;
    let calls = calls.into_iter().enumerate().map(|(i, call)| {
        let address = entry_points[i % entry_points.len()].address();
        let connections = &connections;
        async move {
            tokio::time::sleep_until(start + call.scheduled).await;
            call.make(connections, address, through_router, start).await
        }
    });
    let calls: futures::stream::FuturesUnordered<_> = calls.collect();
    Ok(futures::StreamExt::collect(calls).await)
}

async fn inject_faults(
    fleet: &Fleet,
    scenario: &QuickScenario,
    start: Instant,
) -> Result<(), LoadError> {
    for (share, plain, fault) in scenario.faults {
        tokio::time::sleep_until(start + scenario.arrival_window.mul_f64(*share)).await;
        let is_target = |i: usize| plain.is_none_or(|plain| plain == i);
        for (_, plain) in fleet
            .plain_upstreams
            .iter()
            .enumerate()
            .filter(|(i, _)| is_target(*i))
        {
            fleet.inject_plain_fault(plain.address(), *fault).await?;
        }
    }
    Ok(())
}

/// Runs generations concurrently with the plain calls; does nothing without routers.
async fn run_generations(
    fleet: &Fleet,
    scenario: &QuickScenario,
    size: FleetSize,
    mut rng: Xoshiro256PlusPlus,
    start: Instant,
) -> Result<(), LoadError> {
    if scenario.generation_rate == 0.0 || fleet.routers.is_empty() {
        return Ok(());
    }
    let background = Scenario {
        arrival_window: scenario.arrival_window,
        generation_rate: scenario.generation_rate,
        ..Scenario::BASE
    };
    let calls = draw_calls(&background, size, &mut rng);
    let balancer = Balancer::new(fleet.routers.len());
    make_calls(&background, fleet, &balancer, calls, start, |_, _| {}).await?;
    Ok(())
}
