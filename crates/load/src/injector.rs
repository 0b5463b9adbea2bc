use super::*;
use crate::{balancer::Balancer, generation_call::GenerationCall};
use rustix::process::Signal;

/// Length of each stop and of each run phase of stuttering routers.
const STUTTER_INTERVAL: Duration = Duration::from_millis(80);

/// Number of stops of stuttering routers.
const STUTTER_COUNT: u32 = 8;

/// Timeout of a caller whose request crashes engines.
const POISON_CALL_TIMEOUT: Duration = Duration::from_secs(4);

/// Injects the faults of a scenario and records the work of engines before they are killed.
pub(crate) struct Injector<'a> {
    pub(crate) fleet: &'a Fleet,
    pub(crate) balancer: &'a Balancer,
    pub(crate) start: Instant,
    pub(crate) rng: Xoshiro256PlusPlus,
    pub(crate) injected: InjectedFaults,
}

/// Faults injected in a run, and the state of the processes that they ended.
#[derive(Clone, Debug, Default)]
pub(crate) struct InjectedFaults {
    /// Start time of each fault.
    pub(crate) fault_times: Vec<Instant>,
    /// Load reports and run counts of killed engines, read before the kill.
    pub(crate) killed_engine_stats: Vec<(engine::UpstreamLoad, RunCounts)>,
    /// Indexes of killed engines.
    pub(crate) killed_engines: Vec<usize>,
    /// Indexes of killed routers.
    pub(crate) killed_routers: Vec<usize>,
    /// Indexes of routers that were sent SIGTERM.
    pub(crate) drained_routers: Vec<usize>,
}

impl Injector<'_> {
    /// Injects the faults of a scenario at their scheduled times.
    pub(crate) async fn run(mut self, scenario: &Scenario) -> Result<InjectedFaults, LoadError> {
        for (share, fault) in scenario.faults {
            tokio::time::sleep_until(self.start + scenario.arrival_window.mul_f64(*share)).await;
            self.inject(*fault).await?;
        }
        Ok(self.injected)
    }

    async fn inject(&mut self, fault: Fault) -> Result<(), LoadError> {
        let fleet = self.fleet;
        let engine = self.pick_target(fleet.engines.len(), &self.injected.killed_engines.clone());
        let router = self.pick_target(fleet.routers.len(), &self.injected.killed_routers.clone());
        if fault == Fault::KillEngine {
            self.record_engine_work(engine).await;
        }
        self.injected.fault_times.push(Instant::now());
        match fault {
            Fault::KillEngine => {
                self.injected.killed_engines.push(engine);
                fleet.signal_engine(engine, Signal::KILL)?;
            }
            Fault::PauseEngine(pause) => {
                fleet.signal_engine(engine, Signal::STOP)?;
                tokio::time::sleep(pause).await;
                fleet.signal_engine(engine, Signal::CONT)?;
            }
            Fault::SilenceEngine => fleet.inject(engine, ProxyFault::Silence).await?,
            Fault::KillRouter => {
                self.injected.killed_routers.push(router);
                fleet.signal_router(router, Signal::KILL)?;
            }
            Fault::PauseRouter(pause) => {
                fleet.signal_router(router, Signal::STOP)?;
                tokio::time::sleep(pause).await;
                fleet.signal_router(router, Signal::CONT)?;
            }
            Fault::StutterRouters => {
                for _ in 0..STUTTER_COUNT {
                    for signal in [Signal::STOP, Signal::CONT] {
                        for router in 0..fleet.routers.len() {
                            fleet.signal_router(router, signal)?;
                        }
                        tokio::time::sleep(STUTTER_INTERVAL).await;
                    }
                }
            }
            Fault::DrainRouter => {
                self.injected.drained_routers.push(router);
                fleet.signal_router(router, Signal::TERM)?;
            }
            Fault::Poison => self.poison(POISON, true).await?,
            Fault::KeylessPoison => self.poison(POISON, false).await?,
            Fault::UnansweredPoison => self.poison(UNANSWERED_POISON, true).await?,
            Fault::LingeringPoison => self.poison(LINGERING_POISON, true).await?,
            Fault::PoisonAtTwoRouters => self.poison_two_routers(router).await?,
            Fault::PoisonKillingRouter => {
                self.injected.killed_routers.push(router);
                self.poison_and_signal_router(router, Signal::KILL).await?;
            }
            Fault::PoisonPausingRouter(pause) => {
                self.poison_and_signal_router(router, Signal::STOP).await?;
                tokio::time::sleep(pause).await;
                fleet.signal_router(router, Signal::CONT)?;
            }
        }
        Ok(())
    }

    async fn record_engine_work(&mut self, engine: usize) {
        let load = self.fleet.engine_load(engine).await;
        let runs = self.fleet.engine_runs(engine).await;
        self.injected.killed_engine_stats.extend(load.zip(runs));
    }

    /// Sends a request that crashes its engine, then retries it once as its caller would.
    async fn poison(&mut self, prompt: &str, keyed: bool) -> Result<(), LoadError> {
        let clients = self.fleet.clients(0)?;
        let call = self.poison_call(prompt, keyed);
        for _ in 0..2 {
            let call = call.clone();
            call.make(
                &clients,
                self.balancer,
                POISON_CALL_TIMEOUT,
                Instant::now() + POISON_CALL_TIMEOUT,
            )
            .await;
        }
        Ok(())
    }

    /// Sends a request that crashes its engine to one router, which is sent a signal when the second
    /// engine is lost. The caller immediately retries at the next router.
    async fn poison_and_signal_router(
        &mut self,
        router: usize,
        signal: Signal,
    ) -> Result<(), LoadError> {
        let clients = self.fleet.clients(0)?;
        let call = self.poison_call(POISON, false);
        let engines = self.fleet.live_engines().await;
        let send = |router: usize| call_router(&clients[router], &call);
        let lost = async {
            while self.fleet.live_engines().await + 2 > engines {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        };
        tokio::select! {
            biased;
            () = lost => {}
            () = send(router) => {}
        }
        self.fleet.signal_router(router, signal)?;
        send((router + 1) % clients.len()).await;
        Ok(())
    }

    /// Sends a request that crashes its engine to two routers concurrently.
    async fn poison_two_routers(&mut self, router: usize) -> Result<(), LoadError> {
        let clients = self.fleet.clients(0)?;
        let call = self.poison_call(POISON, false);
        let other = (router + 1) % clients.len();
        tokio::join!(
            call_router(&clients[router], &call),
            call_router(&clients[other], &call)
        );
        Ok(())
    }

    fn poison_call(&mut self, prompt: &str, keyed: bool) -> GenerationCall {
        let prompt = format!("{prompt} {:x}", self.rng.random::<u64>());
        let key = format!("poison-{:x}", self.rng.random::<u64>());
        GenerationCall {
            scheduled: Duration::ZERO,
            team: 0,
            prompt,
            seed: 1,
            tokens: 50,
            key: keyed.then_some(key),
        }
    }

    fn pick_target(&mut self, count: usize, excluded: &[usize]) -> usize {
        let remaining: Vec<_> = (0..count).filter(|i| !excluded.contains(i)).collect();
        remaining[self.rng.random_range(0..remaining.len())]
    }
}

/// Makes a call at a single router and discards the result.
async fn call_router(client: &CallerClient, call: &GenerationCall) {
    let balancer = Balancer::new(1);
    let deadline = Instant::now() + POISON_CALL_TIMEOUT;
    let clients = std::slice::from_ref(client);
    call.clone()
        .make(clients, &balancer, POISON_CALL_TIMEOUT, deadline)
        .await;
}
