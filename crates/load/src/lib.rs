//! Load generator and fault-injection experiments.
//!
//! Starts routers and mock upstreams as real processes, injects faults, and checks the responses
//! that callers receive.

pub(crate) use {
    catkin_border::{
        bundle::{self, RecoveryPolicy},
        caller, engine,
    },
    catkin_standins::{
        Answer, CallerClient, LINGERING_POISON, POISON, PlainFault, ProxyFault, RunCounts,
        TokenChain, UNANSWERED_POISON, prompt_tokens, request_digest,
    },
    derive_more::{Display, Error, From},
    futures::future::{join_all, try_join_all},
    http::Method,
    rand::{RngExt, SeedableRng},
    rand_xoshiro::Xoshiro256PlusPlus,
    serde::Serialize,
    std::{
        ffi::OsString,
        io,
        net::SocketAddr,
        path::{Path, PathBuf},
        process::{ExitCode, Stdio},
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{
        io::{AsyncBufReadExt, BufReader, Lines},
        process::{Child, ChildStdin, ChildStdout, Command},
        time::Instant,
    },
    volo_http::response::Response,
};

pub use crate::{
    command::run_command,
    comparison::{Comparison, Spread},
    error::Error as LoadError,
    fleet::{Fleet, FleetSettings},
    percentiles::Percentiles,
    process::{Process, Role, run_process},
    process_usage::ProcessUsage,
    quick_report::{QuickMeasures, QuickReport},
    quick_run::run_quick,
    quick_scenario::{QUICK_SCENARIOS, QuickScenario},
    racing_operators::{OperatorsReport, OperatorsSettings, racing_operators},
    relay_bench::{RelayReport, RelaySettings, bench_relay},
    report::Report,
    run::{RunSettings, run_scenario},
    scenario::{Fault, Scenario},
    scenarios::SCENARIOS,
    size::{FleetSize, Size},
};

mod balancer;
mod command;
mod comparison;
mod error;
mod fleet;
mod fleet_bundle;
mod generation_call;
mod injector;
mod percentiles;
mod process;
mod process_usage;
mod quick_call;
mod quick_report;
mod quick_run;
mod quick_scenario;
mod racing_operators;
mod relay_bench;
mod report;
mod run;
mod scenario;
mod scenarios;
mod size;
mod tally;
