use super::*;

/// Length of a process pause, after which most timeouts have expired.
const PAUSE_DURATION: Duration = Duration::from_secs(3);

/// All scenarios of generations under faults.
pub const SCENARIOS: &[Scenario] = &[
    Scenario {
        name: "steady",
        description: "no fault",
        ..Scenario::BASE
    },
    Scenario {
        name: "engine-death",
        description: "two engine processes are killed while they run generations",
        faults: &[(0.4, Fault::KillEngine), (0.8, Fault::KillEngine)],
        ..Scenario::BASE
    },
    Scenario {
        name: "engine-death-least-work",
        description: "as engine-death, with the recovery policy least_work",
        faults: &[(0.4, Fault::KillEngine), (0.8, Fault::KillEngine)],
        recovery: RecoveryPolicy::LeastWork,
        ..Scenario::BASE
    },
    Scenario {
        name: "engine-deaths-slow-peers",
        description: "two engines are killed 60 ms apart, while messages between routers take 60 ms",
        generation_rate: 6.0,
        faults: &[(0.4, Fault::KillEngine), (0.45, Fault::KillEngine)],
        peer_delay: Duration::from_millis(60),
        ..Scenario::BASE
    },
    Scenario {
        name: "engine-pause",
        description: "an engine process is stopped for 3 s and then continued",
        faults: &[(0.4, Fault::PauseEngine(PAUSE_DURATION))],
        ..Scenario::BASE
    },
    Scenario {
        name: "silent-connection",
        description: "all open connections to an engine stop carrying data permanently; new ones work",
        faults: &[(0.4, Fault::SilenceEngine), (0.7, Fault::SilenceEngine)],
        proxied: true,
        ..Scenario::BASE
    },
    Scenario {
        name: "silent-connection-least-work",
        description: "as silent-connection, with the recovery policy least_work",
        faults: &[(0.4, Fault::SilenceEngine), (0.7, Fault::SilenceEngine)],
        recovery: RecoveryPolicy::LeastWork,
        proxied: true,
        ..Scenario::BASE
    },
    Scenario {
        name: "drain",
        description: "a router is sent SIGTERM while it relays streams",
        faults: &[(0.4, Fault::DrainRouter)],
        ..Scenario::BASE
    },
    Scenario {
        name: "drain-long",
        description: "as drain, with streams of more than 45 s",
        arrival_window: Duration::from_secs(2),
        generation_rate: 0.5,
        tokens: (950, 1000),
        step: Duration::from_millis(50),
        faults: &[(0.9, Fault::DrainRouter)],
        max_tail: Duration::from_secs(65),
        ..Scenario::BASE
    },
    Scenario {
        name: "router-death",
        description: "a router process is killed; its callers reconnect to others",
        faults: &[(0.5, Fault::KillRouter)],
        ..Scenario::BASE
    },
    Scenario {
        name: "router-death-after-stutter",
        description: "a router process is killed after all routers were repeatedly stopped for a short time",
        generation_rate: 6.0,
        faults: &[(0.3, Fault::StutterRouters), (0.31, Fault::KillRouter)],
        ..Scenario::BASE
    },
    Scenario {
        name: "router-death-slow-peers",
        description: "a router process is killed, while messages between routers take 60 ms",
        faults: &[(0.5, Fault::KillRouter)],
        peer_delay: Duration::from_millis(60),
        ..Scenario::BASE
    },
    Scenario {
        name: "router-pause",
        description: "a router process is stopped for 3 s and then continued; its callers reconnect to others",
        faults: &[(0.4, Fault::PauseRouter(PAUSE_DURATION))],
        token_timeout: Duration::from_millis(1500),
        ..Scenario::BASE
    },
    Scenario {
        name: "router-and-engine-death",
        description: "a router and an engine are killed at the same time",
        faults: &[(0.5, Fault::KillRouter), (0.5, Fault::KillEngine)],
        ..Scenario::BASE
    },
    Scenario {
        name: "many-faults",
        description: "a router and engines are killed, another engine is paused and connections stop carrying data, all at once",
        faults: &[
            (0.3, Fault::SilenceEngine),
            (0.4, Fault::PauseEngine(PAUSE_DURATION)),
            (0.4, Fault::KillRouter),
            (0.45, Fault::KillEngine),
            (0.6, Fault::SilenceEngine),
            (0.7, Fault::KillEngine),
        ],
        proxied: true,
        token_timeout: Duration::from_secs(5),
        max_tail: Duration::from_secs(20),
        ..Scenario::BASE
    },
    Scenario {
        name: "poison",
        description: "a request crashes each engine that runs it; its caller retries",
        faults: &[(0.3, Fault::Poison)],
        ..Scenario::BASE
    },
    Scenario {
        name: "poison-slow-peers",
        description: "as poison, without an idempotency key, while messages between routers take 60 ms",
        faults: &[(0.3, Fault::KeylessPoison)],
        peer_delay: Duration::from_millis(60),
        ..Scenario::BASE
    },
    Scenario {
        name: "poison-router-death",
        description: "a router is killed when a request crashes the second engine; its caller retries at another router",
        faults: &[(0.3, Fault::PoisonKillingRouter)],
        ..Scenario::BASE
    },
    Scenario {
        name: "poison-router-death-slow-peers",
        description: "as poison-router-death, while messages between routers take 60 ms",
        faults: &[(0.3, Fault::PoisonKillingRouter)],
        peer_delay: Duration::from_millis(60),
        ..Scenario::BASE
    },
    Scenario {
        name: "poison-router-death-crowded",
        description: "as poison-router-death, with many generations on each engine",
        generation_rate: 16.0,
        faults: &[(0.5, Fault::PoisonKillingRouter)],
        ..Scenario::BASE
    },
    Scenario {
        name: "poison-router-pause",
        description: "as poison-router-death, but the router is stopped for 3 s",
        faults: &[(0.3, Fault::PoisonPausingRouter(PAUSE_DURATION))],
        token_timeout: Duration::from_millis(1500),
        ..Scenario::BASE
    },
    Scenario {
        name: "poison-at-two-routers",
        description: "a request that crashes each engine arrives at two routers concurrently",
        faults: &[(0.3, Fault::PoisonAtTwoRouters)],
        ..Scenario::BASE
    },
    Scenario {
        name: "poison-lingering",
        description: "as poison, but each engine interrupts its streams and answers once more before it exits",
        generation_rate: 0.5,
        faults: &[(0.3, Fault::LingeringPoison)],
        ..Scenario::BASE
    },
    Scenario {
        name: "poison-unanswered",
        description: "as poison, but each engine crashes before it responds",
        faults: &[(0.3, Fault::UnansweredPoison)],
        ..Scenario::BASE
    },
];
