//! Mocks of the systems around catkinward: model engines, plain services and the platform, with a
//! caller client and a fault-injecting TCP proxy.
//!
//! They are used by tests and load runs only. They implement the protocols of `catkin-border`, inject
//! faults on request, and generate responses whose correctness the caller can verify.

pub(crate) use {
    crate::weight_store::WeightLoadGuard,
    bytes::Bytes,
    catkin_border::{caller, engine},
    catkin_decisions::to_hex,
    catkinward::http_client::{Connections, HttpCall, HttpError, json_bytes},
    derive_more::{Display, Error, From},
    http::{Method, StatusCode, header},
    parking_lot::Mutex,
    std::{
        convert::Infallible,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::sync::watch,
    tokio_util::sync::CancellationToken,
    volo_http::{
        body::{Body, BodyConversion},
        context::ServerContext,
        request::Request,
        response::Response,
    },
};

pub use crate::{
    answer::Answer,
    answer_check::{AnswerError, check_answer},
    answer_verdict::AnswerVerdict,
    caller_client::{CallError, CallerClient},
    daemon::{StandinError, run_standin},
    demo_bundle::{DEMO_KEY, demo_bundle},
    engine_batch::{LINGERING_POISON, POISON, UNANSWERED_POISON},
    engine_fault::EngineFault,
    engine_server::EngineServer,
    engine_settings::EngineSettings,
    fault_proxy::FaultProxy,
    mock_platform::{MockPlatform, TransactOutcome},
    plain_fault::PlainFault,
    plain_server::{PlainResponse, PlainServer},
    plain_settings::PlainSettings,
    platform_server::PlatformServer,
    platform_store::PlatformStore,
    prefix_cache::prompt_tokens,
    proxy_fault::ProxyFault,
    run_counts::{RunCount, RunCounts, request_digest},
    token_chain::TokenChain,
    upstream_probe::{first_busy, upstream_load},
    weight_store::WeightStore,
};

mod answer;
mod answer_check;
mod answer_verdict;
mod caller_client;
mod daemon;
mod demo_bundle;
mod engine_batch;
mod engine_fault;
mod engine_models;
mod engine_server;
mod engine_settings;
mod fault_proxy;
mod killable_listener;
mod mock_platform;
mod plain_fault;
mod plain_server;
mod plain_settings;
mod platform_server;
mod platform_store;
mod prefix_cache;
mod proxy_fault;
mod proxy_route;
mod query;
mod rate_limit;
mod run_counts;
mod sequence;
mod token_chain;
mod upstream_probe;
mod weight_store;
