//! The catkinward router: a micro-kernel, its services, and the daemon made of them.
//!
//! Whatever is decided is decided in `catkin-decisions`; this crate brings the network, the clock
//! and the platform to those decisions and obeys them.

pub(crate) use {
    crate::http_client::{Connections, HttpCall},
    arc_swap::ArcSwap,
    bytes::Bytes,
    catkin_border::{
        bundle as bundle_api, caller, engine, operator, platform as platform_api,
    },
    catkin_decisions::{
        AdmissionConfig, AdmissionQueue, Arrival, AskedReport, Attempt, AvailabilityZone, Bundle,
        BundleDigest, BundleVersion, CallKey, Candidate, CapacityReport, CapacityShare, ChainId,
        ChoiceInput, ClaimChange, ClaimResult, ClaimKind, ClaimOutcome, ClaimQueue, ClaimRecord,
        ClaimRowKey, ClaimStage, ClaimToken, ClaimVerdict, Claimed, Delivery, Dispatched,
        DropReason, DroppedCounts, Eligible, EnginePriority, FailedCall, Finish, FoundClaim,
        GroupResult, Hedge, HeldClaim, HotKeys, HybridClock, IdempotencyKey, Incarnation, Instant,
        ProgressStoreResult, KeyHash, Lane, LeavingSource, LimitKind, Model, NotRun, NotRunEvidence,
        PathRule, PeerEntry, PeerTable, PoisonBlock, PoisonRecord, TrackedRunId, PoisonTracker,
        ProgressHead, ProgressLimits, ProgressRecord, ProgressStore, ProgressUpdate, QueuePosition,
        QueueTeam, Queued, ReadCoalescer, ReceivedEnd, ReceivedToken, RecordedResponse, RecordedBody,
        RecoveryPolicy, RefusalReason, Relay, RequestDigest, RequestId, ReservedAttempt,
        ServiceRetryBudget, ResumePoint, SLICE_RENEWAL_INTERVAL, Service, ServiceId, ServiceKind, SliceGrant,
        SliceAllocator, SliceRequest, StallDetector, SuspectConflicts, SuspectRun, Team, TeamId,
        TeamSlice, Term, Token, TokenIndex, TokenLog, Upstream, UpstreamId, UpstreamRecord,
        UpstreamReport, Utf8Joiner, VmId, WallTime, choose, parse_hex, rendezvous_score,
        serving_model, subset,
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
    bundle_in_force::BundleInForce,
    bundle_store::{Applied, BundleStore, BundleStoreSettings},
    bundle_watch::{BundleWatch, FetchBundle},
    claim_settings::ClaimSettings,
    claims::{ResponseToRecord, ClaimRequest, Claims},
    ctl::run_ctl,
    daemon::run_daemon,
    drain::{Drain, InFlight},
    error::Error,
    event::{Event, EventKind},
    generation::Generation,
    generations::Generations,
    gossip::{Gossip, GossipSources},
    service_registry::ServiceRegistry,
    resumable_state::ResumableState,
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
    service_name::ServiceName,
    settings::{Command, HELP, Settings},
    team_limits::{TeamSliceRequest, TeamLimits},
    timeline::{Timeline, TimelineExtract, TimelineQuery, TimelineRecord},
    timer::Timer,
    upstream_handle::UpstreamHandle,
    upstream_query::{NoUpstream, UpstreamQuery},
    upstreams::Upstreams,
};

/// The outcome of anything here that can fail.
pub type Result<T, E = Error> = std::result::Result<T, E>;

mod admission;
mod admission_pool;
mod coordination;
mod attempt_stream;
mod bundle_canonical;
mod bundle_diff;
mod bundle_format;
mod bundle_in_force;
mod bundle_rows;
mod bundle_store;
mod bundle_watch;
mod caller_api;
mod claim_committer;
mod claim_row;
mod claim_settings;
mod claim_sweep;
mod claims;
mod ctl;
mod ctl_bundle;
mod ctl_explain;
mod ctl_settings;
mod ctl_status;
mod ctl_time;
mod ctl_timeline;
mod ctl_vms;
mod daemon;
mod drain;
mod engine_client;
mod engine_event;
mod engine_orders;
mod error;
mod event;
mod event_stream;
/// The way of opaque calls from a caller to an upstream and back.
pub mod gateway;
mod generation;
mod generation_admission;
mod generation_driver;
mod generation_request;
mod generations;
mod gossip;
/// HTTP calls to other processes.
pub mod http_client;
/// The HTTP server and its connection limits.
pub mod http_server;
mod service_registry;
mod resumable_state;
mod upstream_observer;
mod lease_row;
mod leases;
mod logging;
mod metrics_endpoint;
mod peer_updates;
mod node;
mod operator_api;
mod operator_problem;
mod orders;
mod progress_replicas;
mod peer_exchange;
mod peer_error;
mod peer_handshake;
mod peer_key;
mod peer_link;
mod peer_links;
mod peer_message;
mod peer_server;
mod peer_socket;
mod peers;
mod slot_guard;
mod plain_response;
mod plain_api;
mod plain_call;
mod plain_calls;
mod plain_claim;
mod plain_dispatch;
mod plain_headers;
mod plain_send;
mod platform;
mod platform_client;
mod problem;
mod process_clock;
mod progress_replicator;
mod read_bundle;
mod read_leader;
mod recovery;
mod generation_lookup;
mod running_attempt;
mod service_name;
mod settings;
mod slice_exchange;
mod team_limits;
mod timeline;
mod timer;
mod upstream_gossip;
mod upstream_handle;
mod upstream_state;
mod upstream_query;
mod upstreams;
mod queued_request;
