//! The decision logic of catkinward, free of network access, async code and clocks.
//!
//! Times are passed in as [`Instant`] values since an arbitrary origin, so that each decision can be
//! read and tested by itself. The daemon passes events in and carries out the resulting decisions.

pub(crate) use {
    crate::claim_change::ConflictOutcome,
    crate::{
        address_index::AddressIndex,
        call_table::CallTable,
        clean_runs::CleanRuns,
        comparison_counter::ComparisonCounter,
        lane_queue::LaneQueue,
        part_blame::{MIN_MOMENTS, MOMENT, blamed_parts, moments},
    },
    derive_more::{Display, Error},
    serde::{Deserialize, Serialize},
    std::{
        fmt::{self, Formatter},
        net::SocketAddr,
        num::ParseIntError,
        str::FromStr,
        sync::Arc,
        time::Duration,
    },
    strum::{EnumString, IntoStaticStr},
};

#[macro_use]
mod newtype;

pub use crate::{
    admission_queue::{AdmissionConfig, AdmissionQueue, Arrival, QueuePosition},
    attempt::Attempt,
    availability_zone::AvailabilityZone,
    back_off_table::{BackOffChange, BackOffTable, ReturnTime, has_spare_slot},
    body_tags::BodyTags,
    brittleness::Brittleness,
    bundle::Bundle,
    bundle_author::BundleAuthor,
    bundle_change::{BundleChange, ChangeResult},
    bundle_digest::BundleDigest,
    bundle_draft::{BundleDraft, SignOff},
    bundle_refusal::BundleRefusal,
    bundle_release::{BundleRelease, CurrentBundle, ReleaseSource},
    bundle_row::{BundleKey, BundleRow, Stored},
    bundle_version::BundleVersion,
    bundle_view::{BundleView, PEER_FALLBACK_DELAY},
    cached_prompts::{CACHE_REPORT_TTL, CachedPrompts, PROMPT_SEARCH_TIMEOUT, PromptPart},
    call_attribute::CallAttribute,
    call_attributes::CallAttributes,
    call_key::CallKey,
    call_kind::CallKind,
    call_limiter::{CallLimiter, CallLimiterSettings},
    call_priority::ranked_priority,
    caller_connection_limit::{CallerConnectionLimit, ConnectionAdmission},
    caller_memory_account::{CallerMemoryAccount, MemoryHolder},
    caller_memory_settings::{CallerMemorySettings, SMALL_REQUEST, VmMemory},
    candidate::Candidate,
    capacity_share::CapacityShare,
    chain_id::ChainId,
    change_token::ChangeToken,
    choice::{ChoiceInput, choose},
    claim_change::{ClaimChange, ClaimRowKey, FoundClaim},
    claim_queue::{ClaimQueue, ClaimResult, GroupResult},
    claim_record::{
        ClaimKind, ClaimOutcome, ClaimRecord, ClaimStage, RecordedBody, RecordedResponse,
    },
    claim_token::ClaimToken,
    claim_verdict::ClaimVerdict,
    claimed::{Claimed, HeldClaim},
    concurrency_limit::{ConcurrencyLimit, ConcurrencyLimitConfig},
    config_sharing::link_carries_config,
    config_version::ConfigVersion,
    crash::{Crash, CrashPhase},
    crash_report::{BodyCrash, CrashReport, PartCrash},
    crash_tracker::{CrashTracker, MAX_CRASHES_PER_BODY},
    crash_verdict::{BlameChange, CrashRefusal, CrashVerdict},
    delivery::Delivery,
    dispatch_queue::{
        Admission, DispatchQueue, DispatchTicket, OverloadCause, OverloadRefusal, QueueLimits,
        StreamArrival,
    },
    draft_id::DraftId,
    drop_reason::DropReason,
    dropped_counts::DroppedCounts,
    eligible::Eligible,
    engine_priority::EnginePriority,
    engine_report::EngineReport,
    engine_state::EngineState,
    error::Error,
    event_relay::{EventDecision, EventRelay, EventRun},
    event_splitter::{CompleteEvent, EventSplitter, MAX_EVENT_BYTES},
    expected_time::{EngineSpeed, SPEED_STATEMENT_PERIOD},
    exposure::{
        ExposureGrants, ExposureLedger, ExposureLimit, ExposurePermit, GRANT_LIFETIME,
        VmIncarnation,
    },
    failed_call::FailedCall,
    failure_ejection::FailureEjection,
    fair_queue::{FairQueue, PopOptions, QueueTeam},
    finish::Finish,
    first_event::{
        CallReport, EventWait, FIRST_EVENT_TIMEOUT, STALL_TIMEOUT, UpstreamCalls, WaitDecision,
        WaitingRun, WaitingRuns,
    },
    heartbeat_packing::{
        HeartbeatItem, HeartbeatRotation, HeartbeatTrigger, PackedHeartbeat, pack,
    },
    hedge::{Hedge, HedgeConfig},
    hex::{parse_hex, to_hex},
    hot_keys::HotKeys,
    hybrid_clock::{HybridClock, MAX_CLOCK_LEAD},
    hybrid_time::HybridTime,
    idempotency_key::IdempotencyKey,
    incarnation::Incarnation,
    ineligible::Ineligible,
    instant::Instant,
    key_hash::KeyHash,
    lane::Lane,
    lease::Lease,
    lease_row::{LeaseHolder, LeaseRecord, LeaseRow},
    lease_settings::LeaseSettings,
    lease_step::{LeaseStep, LeaseWrite, LeaseWriteResult},
    leaving_source::LeavingSource,
    limit_kind::LimitKind,
    limit_part::{FleetView, VmDemand, limit_part},
    limit_queue::LimitQueue,
    link_rate::LinkRate,
    loan_requests::{LoanRequests, MAX_LENDERS},
    local_retry_budget::{LocalRetryBudget, LocalRetryBudgetConfig},
    memory_size::MemorySize,
    model::Model,
    operator_name::OperatorName,
    order_permit::OrderPermit,
    order_planner::OrderPlanner,
    order_scope::{EngineTarget, OrderScope, order_scopes},
    order_settings::OrderSettings,
    part_blame::BlamedPart,
    part_id::PartId,
    part_trial::TrialSlot,
    path_rule::PathRule,
    peer_datagram::{EncodedDatagrams, Loan, LoanAsk, PeerDatagram, PeerStatement},
    peer_entry::PeerEntry,
    peer_heartbeat::{MemberStatus, PeerDemand, PeerHeartbeat, PeerLimit, PeerLoad},
    peer_loads::{HEARTBEAT_INTERVAL, PEER_TIMEOUT, PeerLoads, SHARERS_PER_UPSTREAM},
    peer_suspicions::PeerSuspicions,
    peer_table::PeerTable,
    peer_view::PeerView,
    placement::{
        OTHER_PARTITION_COST, OTHER_ZONE_STREAM_COST, PlacementCandidate, PlacementContext,
        STREAM_COST, UNSHARED_COST, rank_of_vm, select_copy_holder, select_upstream,
    },
    poison_block::PoisonBlock,
    poison_record::PoisonRecord,
    poison_tracker::{MAX_CRASHES_PER_DIGEST, PROBATION_STEPS, PoisonTracker, TrackedRunId},
    policy::Policy,
    probe_attempt::ProbeAttempt,
    process_start::ProcessStart,
    progress_head::ProgressHead,
    progress_record::ProgressRecord,
    progress_store::{ProgressLimits, ProgressStore, ProgressStoreResult},
    progress_update::ProgressUpdate,
    read_coalescer::ReadCoalescer,
    received_end::ReceivedEnd,
    received_token::ReceivedToken,
    recovery_policy::RecoveryPolicy,
    refusal_reason::RefusalReason,
    relay::Relay,
    rendezvous::{rank_among, rank_below, rendezvous_rank, rendezvous_score},
    request_digest::RequestDigest,
    request_id::RequestId,
    request_rate::{RequestRate, RequestRateError},
    request_state::{Dispatched, Done, NotRun, NotRunEvidence, Queued, Unknown},
    requested_back_off::{RequestedBackOff, RequestedBackOffError},
    reserved_attempt::ReservedAttempt,
    response_kind::ResponseKind,
    resume_point::ResumePoint,
    retry_refusal::RetryRefusal,
    rollout::{OWNER_TIMEOUT, Rollout},
    rollout_claim::RolloutClaim,
    rollout_datagram::{RolloutGrant, RolloutReport},
    rollout_evidence::{ResponseCounts, ResponseOutcome, RouteEvidence, latency_bucket},
    rollout_judge::{JudgedReport, MIN_ROUTE_SAMPLES, RolloutJudge, RolloutVerdict},
    rollout_notice::{RolloutNotice, RolloutProgress},
    rollout_order::{RolloutOrder, RolloutOrderError},
    rollout_owner::{
        COMPLETION_LEAD, COMPLETION_WAIT, OwnerStep, RollbackReason, RolloutOwner, VersionSlots,
    },
    rollout_phase::RolloutPhase,
    rollout_precondition::RolloutPrecondition,
    rollout_record::{RolloutRecord, StoredRecord},
    rollouts::{ORDER_TIMEOUT, RolloutSettings, Rollouts, VersionAdmission},
    room_placement::{
        RoomCandidate, RoomContext, select_copy_holder_with_room, select_for_time, select_with_room,
    },
    room_report::{KvMemory, ReportFigure, RoomReport, Slowdown},
    route::{Route, RouteTarget},
    route_table::RouteTable,
    routing_config::{CallerKey, CallerLimits, NewestConfig, RoutingConfig, ServiceSpec},
    run_doubt::{
        MAX_RUN_OVERLAP, RunDecision, RunDoubt, RunSign, SuccessorState, UNANSWERED_CHECK_TIMEOUT,
    },
    send_path::{MAX_CONNECTIONS_FOR_OTHERS, PathContext, SendPath, choose_path},
    service::Service,
    service_demand::ServiceDemand,
    service_id::ServiceId,
    service_kind::ServiceKind,
    service_reach::{ServiceReach, ServiceReaches},
    service_time::ServiceTime,
    serving_model::serving_model,
    shared_retry_budget::{
        LentRetries, RetryBudgetUsage, SharedRetryBudget, SharedRetryBudgetConfig,
    },
    slice_allocator::{SLICE_LEASE, SLICE_RENEWAL_INTERVAL, SliceAllocator},
    slice_grant::SliceGrant,
    slice_request::SliceRequest,
    software_version::SoftwareVersion,
    stall_detector::StallDetector,
    store_backoff::store_backoff,
    store_era::StoreEra,
    store_position::StorePosition,
    stream_duration_estimator::StreamDurationEstimator,
    subset::{OTHER_ZONES_SUBSET, OWN_ZONE_SUBSET, subset},
    suspect_run::SuspectRun,
    suspect_runs::{SuspectConflicts, SuspectRuns},
    suspend_detector::SuspendDetector,
    table_replica::{TableReplica, TableSnapshot},
    table_row::TableRow,
    team::Team,
    team_id::TeamId,
    team_slice::TeamSlice,
    term::Term,
    ticket::Ticket,
    token::Token,
    token_index::TokenIndex,
    token_log::TokenLog,
    transfer_limit::TransferLimit,
    upstream::Upstream,
    upstream_crash_id::UpstreamCrashId,
    upstream_directory::{
        COPY_GRACE, LAPSE_GRACE, Presence, PresenceChange, UpstreamDirectory, UpstreamEntry,
    },
    upstream_evidence::{EVIDENCE_MAX_AGE, UpstreamEvidence},
    upstream_health::{PROBE_TIMEOUT, SILENCE_TIMEOUT, UpstreamHealth, WAITING_SILENCE_TIMEOUT},
    upstream_id::UpstreamId,
    upstream_incarnation::UpstreamIncarnation,
    upstream_limit::{LimitChange, LimitPart, LimitStatement, LimitedRequest, UpstreamLimit},
    upstream_load::{LoadSample, UpstreamLoad, prefill_time},
    upstream_record::{PendingReport, UpstreamRecord},
    upstream_report::UpstreamReport,
    upstream_request_kind::UpstreamRequestKind,
    upstream_restart::{RestartEvidence, StaleRestart, TableFreshness, UpstreamRestart},
    upstream_room::{CallSize, KnownLoad, RoomEstimate, RoomRun, UpstreamRoom},
    upstream_slots::{CapacityReport, UpstreamSlots},
    upstream_statement::{StatementSubject, UpstreamStatement},
    upstream_table::{TableRead, UpstreamChange, UpstreamTable},
    utf8_joiner::Utf8Joiner,
    vm_id::VmId,
    wall_time::WallTime,
    zone_gossip::{
        CONFIG_GOSSIP_MAX_AGE, CONFIG_POLL_TIMEOUT, DELTA_WAIT, GOSSIP_MAX_AGE, GossipState,
        GossipView, MAX_GOSSIPED_CHANGES, STANDBY_MAX_AGE, ZoneGossip, gossips_changes,
    },
    zone_outage_detector::ZoneOutageDetector,
    zone_role::{ZoneRole, ZoneVm, is_large_zone},
};

mod address_index;
mod admission_queue;
mod attempt;
mod availability_zone;
mod back_off_table;
mod body_tags;
mod brittleness;
mod bundle;
mod bundle_author;
mod bundle_change;
mod bundle_digest;
mod bundle_draft;
mod bundle_refusal;
mod bundle_release;
mod bundle_row;
mod bundle_version;
mod bundle_view;
mod cached_prompts;
mod call_attribute;
mod call_attributes;
mod call_key;
mod call_kind;
mod call_limiter;
mod call_priority;
mod call_table;
mod caller_connection_limit;
mod caller_memory_account;
mod caller_memory_settings;
mod candidate;
mod capacity_share;
mod chain_id;
mod change_token;
mod choice;
mod claim_change;
mod claim_queue;
mod claim_record;
mod claim_token;
mod claim_verdict;
mod claimed;
mod clean_runs;
mod comparison_counter;
mod concurrency_limit;
mod config_sharing;
mod config_version;
mod crash;
mod crash_report;
mod crash_tracker;
mod crash_verdict;
mod delivery;
mod dispatch_queue;
mod draft_id;
mod drop_reason;
mod dropped_counts;
mod eligible;
mod engine_priority;
mod engine_report;
mod engine_state;
mod engine_view;
mod error;
mod event_relay;
mod event_splitter;
mod expected_time;
mod exposure;
mod failed_call;
mod failure_ejection;
mod fair_queue;
mod finish;
mod first_event;
mod heartbeat_packing;
mod hedge;
mod hex;
mod hot_keys;
mod hybrid_clock;
mod hybrid_time;
mod idempotency_key;
mod incarnation;
mod ineligible;
mod instant;
mod key_hash;
mod lane;
mod lane_queue;
mod lease;
mod lease_row;
mod lease_settings;
mod lease_step;
mod leaving_source;
mod limit_kind;
mod limit_part;
mod limit_queue;
mod link_rate;
mod loan_requests;
mod local_retry_budget;
mod memory_size;
mod model;
mod operator_name;
mod order_permit;
mod order_planner;
mod order_scope;
mod order_settings;
mod part_blame;
mod part_id;
mod part_trial;
mod path_rule;
mod peer_datagram;
mod peer_entry;
mod peer_heartbeat;
mod peer_loads;
mod peer_suspicions;
mod peer_table;
mod peer_view;
mod placement;
mod poison_block;
mod poison_record;
mod poison_tracker;
mod policy;
mod probe_attempt;
mod process_start;
mod progress_head;
mod progress_record;
mod progress_store;
mod progress_update;
mod read_coalescer;
mod received_end;
mod received_token;
mod recovery_policy;
mod refusal_reason;
mod relay;
mod rendezvous;
mod request_digest;
mod request_id;
mod request_rate;
mod request_state;
mod requested_back_off;
mod reserved_attempt;
mod response_kind;
mod resume_point;
mod retry_refusal;
mod rollout;
mod rollout_claim;
mod rollout_datagram;
mod rollout_evidence;
mod rollout_judge;
mod rollout_notice;
mod rollout_order;
mod rollout_owner;
mod rollout_phase;
mod rollout_precondition;
mod rollout_record;
mod rollouts;
mod room_placement;
mod room_report;
mod route;
mod route_table;
mod routing_config;
mod run_doubt;
mod send_path;
mod service;
mod service_demand;
mod service_id;
mod service_kind;
mod service_reach;
mod service_time;
mod serving_model;
mod shared_retry_budget;
mod slice_allocator;
mod slice_grant;
mod slice_request;
mod software_version;
mod stall_detector;
mod store_backoff;
mod store_era;
mod store_position;
mod stream_duration_estimator;
mod subset;
mod suspect_run;
mod suspect_runs;
mod suspend_detector;
mod table_replica;
mod table_row;
mod team;
mod team_id;
mod team_slice;
mod term;
mod ticket;
mod token;
mod token_index;
mod token_log;
mod transfer_limit;
mod upstream;
mod upstream_crash_id;
mod upstream_directory;
mod upstream_evidence;
mod upstream_health;
mod upstream_id;
mod upstream_incarnation;
mod upstream_limit;
mod upstream_load;
mod upstream_record;
mod upstream_report;
mod upstream_request_kind;
mod upstream_restart;
mod upstream_room;
mod upstream_slots;
mod upstream_statement;
mod upstream_table;
mod utf8_joiner;
mod vm_id;
mod wall_time;
mod zone_gossip;
mod zone_outage_detector;
mod zone_role;
