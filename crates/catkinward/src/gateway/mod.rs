//! Routing of opaque calls from callers to upstreams and of responses back, whatever they contain.
//!
//! The wire formats are known only to the adapter, which passes calls to a `Gateway` and gives it
//! an `UpstreamTransport`.

pub(crate) use {
    self::{
        core::SHUTDOWN_RETRY_DELAY,
        dispatches::Dispatches,
        outbox::{Addressed, Outbox},
        readiness::{Readiness, RecentServices},
        retries::WaitingRanks,
        rollouts::OwnedRollout,
        scheduling::Schedulings,
        send_path::UnopenedConnections,
        state::{Candidates, DirectoryRead, GatewayState},
        table_transfer::EncodedTransfer,
        zone_config::AdvertisedConfig,
    },
    super::{
        Arc, AtomicBool, AtomicU32, AtomicU64, AvailabilityZone, Bytes, Debug, Display, Drain,
        Duration, HeaderMap, InFlight, Instant, Method, Mutex, NotRun, NotRunEvidence, Notify,
        Ordering, Queued, RefusalReason, RequestId, ServiceId, SocketAddr, StatusCode, StdError,
        TeamId, Timer, UpstreamId, watch,
    },
    catkin_decisions::{
        BackOffTable, BlameChange, Brittleness, COMPLETION_WAIT, CONFIG_POLL_TIMEOUT,
        CachedPrompts, CallAttribute, CallAttributes, CallReport, CallSize, CompleteEvent,
        ConfigVersion, Crash, CrashPhase, CrashRefusal, CrashReport, CrashTracker, CrashVerdict,
        DELTA_WAIT, EventDecision, EventRelay, EventRun, EventSplitter, EventWait, FleetView,
        GOSSIP_MAX_AGE, GossipState, GossipView, HEARTBEAT_INTERVAL, HeartbeatRotation,
        HeartbeatTrigger, JudgedReport, LimitPart, LimitQueue, LimitStatement, LimitedRequest,
        LinkRate, LoadSample, Loan, LoanAsk, LoanRequests, MAX_CONNECTIONS_FOR_OTHERS,
        MAX_GOSSIPED_CHANGES, MAX_LENDERS, MemberStatus, NewestConfig, OWNER_TIMEOUT, OwnerStep,
        PROBE_TIMEOUT, PROMPT_SEARCH_TIMEOUT, PartCrash, PartId, PathContext, PeerDatagram,
        PeerDemand, PeerHeartbeat, PeerLimit, PeerLoad, PeerLoads, PeerStatement, PeerSuspicions,
        PeerView, PlacementCandidate, PlacementContext, Policy, Presence, PresenceChange,
        ProbeAttempt, ProcessStart, PromptPart, ReportFigure, RequestRate, RequestRateError,
        RequestedBackOff, ResponseKind, ResponseOutcome, RestartEvidence, RollbackReason, Rollout,
        RolloutClaim, RolloutGrant, RolloutNotice, RolloutOrder, RolloutOrderError, RolloutOwner,
        RolloutPhase, RolloutPrecondition, RolloutProgress, RolloutRecord, RolloutReport,
        RolloutSettings, RolloutVerdict, Rollouts, RoomCandidate, RoomContext, RoomReport, RoomRun,
        Route, RoutingConfig, RunDecision, RunDoubt, RunSign, SILENCE_TIMEOUT,
        SPEED_STATEMENT_PERIOD, STANDBY_MAX_AGE, ServiceDemand, ServiceReaches, SharedRetryBudget,
        SharedRetryBudgetConfig, StaleRestart, StatementSubject, StoreEra, StorePosition,
        StoredRecord, StreamDurationEstimator, SuccessorState, SuspendDetector, TableFreshness,
        TableRead, TableRow, TransferLimit, UpstreamCalls, UpstreamChange, UpstreamDirectory,
        UpstreamEntry, UpstreamHealth, UpstreamIncarnation, UpstreamLimit, UpstreamLoad,
        UpstreamRequestKind, UpstreamRestart, UpstreamRoom, UpstreamStatement, UpstreamTable,
        VersionAdmission, VersionSlots, VmDemand, VmIncarnation, WaitDecision, WaitingRun,
        ZoneGossip, ZoneOutageDetector, ZoneRole, ZoneVm, choose_path, gossips_changes,
        has_spare_slot, is_large_zone, limit_part, link_carries_config, pack, prefill_time,
        rank_among, rank_of_vm, ranked_priority, select_copy_holder, select_copy_holder_with_room,
        select_for_time, select_upstream, select_with_room, store_backoff,
    },
    futures::{StreamExt, future::BoxFuture, stream::BoxStream},
    std::fmt::{self, Formatter},
};

pub use catkin_decisions::SendPath;

pub use self::{
    call::{Call, Prompt},
    call_log::{CallLog, LineKind},
    compressed::{decode_compressed, encode_compressed},
    core::{Gateway, GatewaySettings, NOT_READY_RETRY_DELAY},
    feed::{
        Feed, FeedError, FeedPage, PeerRead, ReadFromPeer, RequestChanges, follow_config,
        follow_upstreams,
    },
    peer_heartbeats::exchange_heartbeats,
    read_progress::ReadProgress,
    receive_limits::{LARGE_ANSWER_BYTES, ReceiveLimit},
    reply::{EventBody, Reply, StreamCut},
    rollout_store::{ReadRecord, RolloutStore, RolloutWrite, RolloutWriteResult, WriteRecord},
    rollout_task::follow_rollouts,
    send_path::{ConnectionEnd, ConnectionPermit},
    table_transfer::decode_table_transfer,
    upstream_gate::UpstreamGate,
    upstream_transport::{
        BodyEnd, BodyError, CopyError, CopySource, HealthProbe, HealthReport, KvCopyRequest,
        QueryError, ResponseBody, SendError, UpstreamCall, UpstreamResponse, UpstreamTransport,
    },
};

/// Maximum age at which data that one VM has read from the platform is served to another: changes
/// must be read within two seconds, so an older source is itself being rejected by the platform.
pub const MIRROR_MAX_AGE: Duration = Duration::from_millis(2200);

/// Delay after a failed `accept`, usually for lack of file descriptors: long enough for some to be
/// closed, short compared with a caller's timeout of one second.
pub const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Interval at which the settings file is checked for changes that were not signalled. The file is
/// small and is read twice within the time in which a configuration must be in force.
pub const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Interval at which the limits on callers' connections are checked; the limits are in seconds.
pub const LIMITS_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Receive buffer of a caller's connection, in bytes. Bytes that are received and not read count towards the memory of
/// the VM.
pub const CALLER_RECEIVE_BUFFER: u32 = 32 << 10;

/// How long idle connections to upstreams are kept: longer than the maximum idle time of a
/// connection that a call may use.
pub const IDLE_CONNECTION_TIMEOUT: Duration = Duration::from_secs(5);

mod accepted_call;
mod back_offs;
mod buffered_call;
mod call;
mod call_log;
mod call_queue;
mod compressed;
mod core;
mod crashes;
mod dispatches;
mod doubtful_call;
mod doubtful_run;
mod feed;
mod gauges;
mod health_check;
mod kv_copy;
mod kv_copy_manager;
mod limits;
mod lost_run;
mod outbox;
mod peer_heartbeats;
mod prompt_search;
mod read_progress;
mod readiness;
mod receive_limits;
mod reply;
mod reply_log;
mod retries;
mod rollout_store;
mod rollout_task;
mod rollouts;
mod run_guard;
mod run_progress;
mod scheduling;
mod send_path;
mod sent_run;
mod shutdown;
mod state;
mod statements;
mod stream_call;
mod stream_run;
mod stream_send;
mod successor_check;
mod table_transfer;
mod upstream_gate;
mod upstream_transport;
mod zone_config;
mod zone_table;
