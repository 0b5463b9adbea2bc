//! The catkinward router: a micro-kernel, its services, and the daemon made of them.
//!
//! Whatever is decided is decided in `catkin-decisions`; this crate brings the network, the clock
//! and the platform to those decisions and obeys them.

pub(crate) use {
    crate::http_client::{Connections, HttpCall},
    arc_swap::ArcSwap,
    bytes::Bytes,
    catkin_border::{
        bundle as border_bundle, caller, engine, operator, platform as platform_border,
    },
    catkin_decisions::{
        Attempt, AvailabilityZone, Bundle, BundleDigest, BundleVersion, Delivery, Finish,
        HybridClock, Instant, KeyHash, Model, PathRule, ReceivedEnd, ReceivedToken, RecoveryPolicy,
        Relay, RequestId, ReservedAttempt, Service, ServiceId, ServiceKind, Team, TeamId, Term,
        Token, TokenIndex, TokenLog, Upstream, UpstreamId, Utf8Joiner, VmId, parse_hex,
    },
    derive_more::{Display, Error as StdError, From},
    http::{HeaderMap, Method, StatusCode, header},
    parking_lot::{Mutex, RwLock},
    std::{
        any::Any,
        convert::Infallible,
        ffi::OsString,
        fmt::Debug,
        future::Future,
        io,
        net::SocketAddr,
        path::PathBuf,
        str::FromStr,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        time::Duration,
    },
    strum::{EnumString, IntoStaticStr},
    tokio::sync::{Notify, mpsc, watch},
    volo_http::{
        body::{Body, BodyConversion},
        context::ServerContext,
        request::Request,
        response::Response,
    },
};

pub use catkin_decisions::HybridTime;

pub use crate::{
    bundle_in_force::BundleInForce,
    bundle_store::{Applied, BundleStore, BundleStoreSettings},
    bundle_watch::{BundleWatch, FetchBundle},
    daemon::run_daemon,
    drain::Drain,
    error::Error,
    event::{Event, EventKind},
    generation::Generation,
    generations::Generations,
    kernel::Kernel,
    logging::start_logging,
    node::Node,
    platform::{Platform, PlatformCall, PlatformFault},
    platform_client::PlatformSettings,
    process_clock::{CLOCK_HEADER, ProcessClock},
    read_bundle::{ReadBundle, read_bundle, read_canonical},
    service_name::ServiceName,
    settings::{Command, HELP, Settings},
    timeline::{Timeline, TimelineExtract, TimelineQuery, TimelineRecord},
    timer::Timer,
    upstreams::Upstreams,
};

/// The outcome of anything here that can fail.
pub type Result<T, E = Error> = std::result::Result<T, E>;

mod attempt_stream;
mod bundle_canonical;
mod bundle_format;
mod bundle_in_force;
mod bundle_rows;
mod bundle_store;
mod bundle_watch;
mod caller_border;
mod daemon;
mod drain;
mod engine_client;
mod engine_event;
mod error;
mod event;
mod event_stream;
mod generation;
mod generation_driver;
mod generation_request;
mod generations;
/// HTTP calls to other processes.
pub mod http_client;
/// The HTTP server and its connection limits.
pub mod http_server;
mod kernel;
mod logging;
mod node;
mod operator_border;
mod operator_problem;
mod platform;
mod platform_client;
mod problem;
mod process_clock;
mod read_bundle;
mod service_name;
mod settings;
mod timeline;
mod timer;
mod upstream_handle;
mod upstreams;
