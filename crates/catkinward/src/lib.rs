//! The catkinward router: a service registry, the services, and the daemon that runs them.
//!
//! The decision logic is in `catkin-decisions` and does no I/O. This crate supplies it with input from
//! the network, the clock and the platform, and carries out its decisions.

pub(crate) use {
    crate::http_client::{Connections, HttpCall},
    arc_swap::ArcSwap,
    bytes::Bytes,
    catkin_border::{bundle as bundle_api, caller, engine, operator, platform as platform_api},
    catkin_decisions::{
        AdmissionConfig, AdmissionQueue, Arrival, Attempt, AvailabilityZone, Bundle, BundleDigest,
        BundleVersion, CallKey, CallerConnectionLimit, CallerMemorySettings, Candidate,
        CapacityReport, CapacityShare, ChainId, ChoiceInput, ClaimChange, ClaimKind, ClaimOutcome,
        ClaimQueue, ClaimRecord, ClaimResult, ClaimRowKey, ClaimStage, ClaimToken, ClaimVerdict,
        Claimed, Delivery, Dispatched, DropReason, DroppedCounts, Eligible, EnginePriority,
        FailedCall, Finish, FoundClaim, GroupResult, Hedge, HeldClaim, HotKeys, HybridClock,
        IdempotencyKey, Incarnation, Instant, KeyHash, Lane, LeavingSource, LimitKind,
        LocalRetryBudget, MemorySize, Model, NotRun, NotRunEvidence, PathRule, PeerEntry,
        PeerTable, PendingReport, PoisonBlock, PoisonRecord, PoisonTracker, ProgressHead,
        ProgressLimits, ProgressRecord, ProgressStore, ProgressStoreResult, ProgressUpdate,
        QueuePosition, QueueTeam, Queued, ReadCoalescer, ReceivedEnd, ReceivedToken, RecordedBody,
        RecordedResponse, RecoveryPolicy, RefusalReason, Relay, RequestDigest, RequestId,
        ReservedAttempt, ResumePoint, SLICE_RENEWAL_INTERVAL, Service, ServiceId, ServiceKind,
        SliceAllocator, SliceGrant, SliceRequest, StallDetector, SuspectConflicts, SuspectRun,
        Team, TeamId, TeamSlice, Term, Token, TokenIndex, TokenLog, TrackedRunId, Upstream,
        UpstreamId, UpstreamRecord, UpstreamReport, Utf8Joiner, VmId, VmMemory, WallTime, choose,
        parse_hex, rendezvous_score, serving_model, subset,
    },
    derive_more::{Display, Error as StdError, From},
    http::{HeaderMap, Method, StatusCode, header},
    parking_lot::{Mutex, RwLock},
    serde::{Deserialize, Serialize},
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
            atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
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
    admission::Admission,
    body_refusal::BodyRefusal,
    bundle_in_force::BundleInForce,
    bundle_store::{Applied, BundleStore, BundleStoreSettings},
    bundle_watch::{BundleWatch, FetchBundle},
    caller_memory::{CallerMemory, ReceivedBody, UnreadBody, headers_size},
    claim_settings::ClaimSettings,
    claims::{ClaimRequest, Claims, ResponseToRecord},
    ctl::run_ctl,
    daemon::run_daemon,
    discard_body::discard_body,
    drain::{Drain, InFlight},
    error::Error,
    event::{Event, EventKind},
    generation::Generation,
    generations::Generations,
    gossip::{Gossip, GossipHooks},
    leases::{LeaseHandle, Leases, PermitError},
    logging::{start_decision_log, start_logging},
    metrics_endpoint::metrics_text,
    node::Node,
    orders::{OrderPermission, Orders},
    peer_error::PeerError,
    peer_key::PeerKey,
    peer_message::{PEER_PROTOCOL, PeerBody, PeerChallenge, PeerHello, PeerMessage, PeerWelcome},
    peers::{PeerParts, Peers},
    platform::{Platform, PlatformCall, PlatformError},
    platform_client::PlatformSettings,
    process_clock::{CLOCK_HEADER, ProcessClock},
    read_bundle::{ReadBundle, read_bundle, read_canonical},
    request_memory::RequestMemory,
    resumable_state::ResumableState,
    service_name::ServiceName,
    service_registry::ServiceRegistry,
    settings::{Command, HELP, Settings},
    team_limits::{TeamLimits, TeamSliceRequest},
    timeline::{Timeline, TimelineExtract, TimelineQuery, TimelineRecord},
    timer::Timer,
    upstream_handle::UpstreamHandle,
    upstream_query::{NoUpstream, UpstreamQuery},
    upstreams::Upstreams,
};

/// Result type of this crate, with [`Error`] as the default error.
pub type Result<T, E = Error> = std::result::Result<T, E>;

mod admission;
mod admission_pool;
mod attempt_stream;
mod body_refusal;
mod bundle_canonical;
mod bundle_diff;
mod bundle_format;
mod bundle_in_force;
mod bundle_rows;
mod bundle_store;
mod bundle_watch;
mod caller_api;
mod caller_memory;
mod claim_committer;
mod claim_row;
mod claim_settings;
mod claim_sweep;
mod claims;
mod coordination;
mod ctl;
mod ctl_bundle;
mod ctl_explain;
mod ctl_settings;
mod ctl_status;
mod ctl_time;
mod ctl_timeline;
mod ctl_vms;
mod daemon;
mod discard_body;
mod drain;
mod engine_client;
mod engine_event;
mod engine_orders;
mod error;
mod event;
mod event_stream;
/// Gateway that forwards opaque calls from callers to upstreams and returns the responses.
pub mod gateway;
mod generation;
mod generation_admission;
mod generation_driver;
mod generation_lookup;
mod generation_request;
mod generations;
mod gossip;
/// HTTP calls to other processes.
pub mod http_client;
/// The HTTP server and its connection limits.
pub mod http_server;
mod lease_row;
mod leases;
mod logging;
mod metrics_endpoint;
mod node;
mod operator_api;
mod operator_problem;
mod orders;
mod peer_error;
mod peer_exchange;
mod peer_handshake;
mod peer_key;
mod peer_link;
mod peer_links;
mod peer_message;
mod peer_server;
mod peer_socket;
mod peer_updates;
mod peers;
mod plain_api;
mod plain_call;
mod plain_calls;
mod plain_claim;
mod plain_dispatch;
mod plain_headers;
mod plain_response;
mod plain_send;
mod platform;
mod platform_client;
mod problem;
mod process_clock;
mod progress_replicas;
mod progress_replicator;
mod queued_request;
mod read_bundle;
mod read_leader;
mod recovery;
mod request_memory;
mod resumable_state;
mod running_attempt;
mod service_name;
mod service_registry;
mod settings;
mod slice_exchange;
mod slot_guard;
mod team_limits;
mod timeline;
mod timer;
mod upstream_gossip;
mod upstream_handle;
mod upstream_observer;
mod upstream_query;
mod upstream_state;
mod upstreams;
