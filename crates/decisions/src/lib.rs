//! Everything that catkinward decides, without network, async or clock.
//!
//! Time comes in as [`Instant`] values since an arbitrary start, so that each decision can be read
//! and tested by itself. The daemon feeds events in and obeys what comes out.

pub(crate) use {
    crate::claim_change::ConflictOutcome,
    crate::{
        address_index::AddressIndex, call_table::CallTable, comparisons::Comparisons,
        lane_queue::LaneQueue,
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
    admission_queue::{AdmissionConfig, AdmissionQueue, Arrival, QueuePlace},
    attempt::Attempt,
    availability_zone::AvailabilityZone,
    born::Born,
    bundle::Bundle,
    bundle_author::BundleAuthor,
    bundle_change::{BundleChange, Settled},
    bundle_digest::BundleDigest,
    bundle_draft::{BundleDraft, SignOff},
    bundle_refusal::BundleRefusal,
    bundle_release::{BundleRelease, CurrentBundle, ReleaseSource},
    bundle_row::{BundleKey, BundleRow, Stored},
    bundle_version::BundleVersion,
    bundle_view::{BundleView, PEERS_WORD_AFTER},
    cached_prompts::{CACHE_WORD_AGE, CachedPrompts, PromptPart, SEARCH_BOUND},
    call_budget::{CallBudget, CallBudgetSettings},
    call_key::CallKey,
    call_kind::CallKind,
    candidate::Candidate,
    capacity_share::CapacityShare,
    chain_id::ChainId,
    change_token::ChangeToken,
    choice::{ChoiceInput, choose},
    claim_change::{ClaimChange, ClaimRowKey, FoundClaim},
    claim_queue::{ClaimFate, ClaimQueue, GroupAnswer},
    claim_record::{
        ClaimKind, ClaimOutcome, ClaimRecord, ClaimStage, RecordedAnswer, RecordedBody,
    },
    claim_token::ClaimToken,
    claim_verdict::ClaimVerdict,
    claimed::{Claimed, HeldClaim},
    concurrency_limit::{ConcurrencyLimit, ConcurrencyLimitConfig},
    config_sharing::link_carries_config,
    config_version::ConfigVersion,
    crash_tally::{Crash, CrashTally, MOST_CRASHES},
    delivery::Delivery,
    draft_id::DraftId,
    drop_reason::DropReason,
    dropped_counts::DroppedCounts,
    eligible::Eligible,
    engine_priority::EnginePriority,
    engine_report::EngineReport,
    engine_state::EngineState,
    error::Error,
    event_relay::{EventFate, EventRelay, EventRun},
    event_splitter::{EventSplitter, LARGEST_EVENT, WholeEvent},
    exposure::{Exposed, ExposureGrants, ExposureLedger, ExposureLimit, GRANT_LIFETIME, VmLife},
    failed_call::FailedCall,
    fair_queue::{FairQueue, PopTries, QueueTeam},
    finish::Finish,
    hedge::{Hedge, HedgeConfig},
    hex::{parse_hex, to_hex},
    hot_keys::HotKeys,
    hybrid_clock::{HybridClock, LARGEST_CLOCK_LEAD},
    hybrid_time::HybridTime,
    idempotency_key::IdempotencyKey,
    incarnation::Incarnation,
    ineligible::Ineligible,
    instant::Instant,
    kept_table::{KeptTable, WholeTable},
    key_hash::KeyHash,
    lane::Lane,
    lease::Lease,
    lease_row::{LeaseHolder, LeaseRecord, LeaseRow},
    lease_settings::LeaseSettings,
    lease_step::{LeaseAnswer, LeaseStep, LeaseWrite},
    leaving_source::LeavingSource,
    limit_kind::LimitKind,
    link_rate::LinkRate,
    loan_desk::{LoanDesk, MOST_LENDERS},
    model::Model,
    operator_name::OperatorName,
    order_permit::OrderPermit,
    order_planner::OrderPlanner,
    order_scope::{EngineGoal, OrderScope, order_scopes},
    order_settings::OrderSettings,
    path_rule::PathRule,
    peer_datagram::{Loan, LoanAsk, PeerDatagram},
    peer_entry::PeerEntry,
    peer_loads::{NOTE_PERIOD, PEER_LIVES, PeerLoads, SHARERS},
    peer_note::{MemberWord, PeerLoad, PeerNote},
    peer_table::PeerTable,
    peer_view::PeerView,
    placement::{
        NOT_SHARED, OTHER_PART, OTHER_ZONE_STREAM, PlacementCandidate, PlacementFor, STREAM_COST,
        place, place_copy, rank_of_vm,
    },
    poison_hold::PoisonHold,
    poison_mark::PoisonMark,
    poison_tracker::{MOST_DEATHS, PoisonRun, PoisonTracker, WATCHED_STEPS},
    policy::Policy,
    progress_head::ProgressHead,
    progress_record::ProgressRecord,
    progress_store::{KeptProgress, ProgressLimits, ProgressStore},
    progress_update::ProgressUpdate,
    read_merger::ReadMerger,
    received_end::ReceivedEnd,
    received_token::ReceivedToken,
    recovery_policy::RecoveryPolicy,
    refusal_reason::RefusalReason,
    relay::Relay,
    rendezvous::{rank_among, rendezvous_rank, rendezvous_score},
    repeat_budget::{RepeatBudget, RepeatBudgetConfig},
    request_digest::RequestDigest,
    request_id::RequestId,
    request_state::{Dispatched, Done, NotRun, NotRunEvidence, Queued, Unknown},
    reserved_attempt::ReservedAttempt,
    retry_budget::{RetryBudget, RetryBudgetConfig},
    retry_refusal::RetryRefusal,
    return_point::ReturnPoint,
    rollout::{OWNER_LOST, Rollout},
    rollout_datagram::{RolloutGrant, RolloutReport},
    rollout_evidence::{AnswerCounts, AnswerOutcome, RouteEvidence, latency_bucket},
    rollout_judge::{JudgedReport, ROUTE_TRIES, RolloutJudge, RolloutVerdict},
    rollout_notice::{RolloutNotice, RolloutProgress},
    rollout_order::{RolloutFault, RolloutOrder},
    rollout_owner::{
        COMPLETE_AHEAD, COMPLETING, OwnerStep, RollbackReason, RolloutOwner, VersionSlots,
    },
    rollout_phase::RolloutPhase,
    rollout_record::{RolloutRecord, StoredRecord},
    rollouts::{Admission, ORDER_WAIT, RolloutSettings, Rollouts},
    route::{Route, RouteTarget},
    route_table::RouteTable,
    routing_config::{CallerKey, CallerLimits, NewestConfig, RoutingConfig, ServiceSpec},
    service::Service,
    service_id::ServiceId,
    service_kind::ServiceKind,
    service_time::ServiceTime,
    serving_model::serving_model,
    slice_grant::SliceGrant,
    slice_home::{SLICE_LEASE, SLICE_PERIOD, SliceHome},
    slice_request::SliceRequest,
    software_version::SoftwareVersion,
    stall_detector::StallDetector,
    store_backoff::store_backoff,
    stream_pace::StreamPace,
    subset::{OTHER_ZONES, OWN_ZONE, subset},
    suspect_run::SuspectRun,
    suspect_runs::{SuspectConflicts, SuspectRuns},
    suspicion::Suspicion,
    table_row::TableRow,
    team::Team,
    team_id::TeamId,
    team_slice::TeamSlice,
    term::Term,
    ticket::Ticket,
    token::Token,
    token_index::TokenIndex,
    token_log::TokenLog,
    upstream::Upstream,
    upstream_death::UpstreamDeath,
    upstream_directory::{LAPSE_GRACE, Presence, PresenceChange, UpstreamDirectory, UpstreamEntry},
    upstream_evidence::{EVIDENCE_BOUND, UpstreamEvidence},
    upstream_health::{PROBE_TIMEOUT, SILENCE, UpstreamHealth},
    upstream_id::UpstreamId,
    upstream_incarnation::UpstreamIncarnation,
    upstream_load::{LoadReading, UpstreamLoad, reading_time},
    upstream_places::{CapacityReport, UpstreamPlaces},
    upstream_record::{AskedReport, UpstreamRecord},
    upstream_report::UpstreamReport,
    upstream_restart::{RestartEvidence, StaleRestart, TableView, UpstreamRestart},
    upstream_table::{TableRead, UpstreamChange, UpstreamTable},
    utf8_joiner::Utf8Joiner,
    vm_id::VmId,
    wake_detector::WakeDetector,
    wall_time::WallTime,
    zone_alarm::ZoneAlarm,
    zone_gossip::{
        CHANGES_TOLD, CONFIG_GOSSIP_AGE, CONFIG_WAIT, GOSSIP_AGE, GossipState, GossipView,
        REST_WAIT, STANDBY_AGE, ZoneGossip,
    },
    zone_role::{ZoneRole, is_large_zone},
};

mod address_index;
mod admission_queue;
mod attempt;
mod availability_zone;
mod born;
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
mod call_budget;
mod call_key;
mod call_kind;
mod call_table;
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
mod comparisons;
mod concurrency_limit;
mod config_sharing;
mod config_version;
mod crash_tally;
mod delivery;
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
mod exposure;
mod failed_call;
mod fair_queue;
mod finish;
mod hedge;
mod hex;
mod hot_keys;
mod hybrid_clock;
mod hybrid_time;
mod idempotency_key;
mod incarnation;
mod ineligible;
mod instant;
mod kept_table;
mod key_hash;
mod lane;
mod lane_queue;
mod lease;
mod lease_row;
mod lease_settings;
mod lease_step;
mod leaving_source;
mod limit_kind;
mod link_rate;
mod loan_desk;
mod model;
mod operator_name;
mod order_permit;
mod order_planner;
mod order_scope;
mod order_settings;
mod path_rule;
mod peer_datagram;
mod peer_entry;
mod peer_loads;
mod peer_note;
mod peer_table;
mod peer_view;
mod placement;
mod poison_hold;
mod poison_mark;
mod poison_tracker;
mod policy;
mod progress_head;
mod progress_record;
mod progress_store;
mod progress_update;
mod read_merger;
mod received_end;
mod received_token;
mod recovery_policy;
mod refusal_reason;
mod relay;
mod rendezvous;
mod repeat_budget;
mod request_digest;
mod request_id;
mod request_state;
mod reserved_attempt;
mod retry_budget;
mod retry_refusal;
mod return_point;
mod rollout;
mod rollout_datagram;
mod rollout_evidence;
mod rollout_judge;
mod rollout_notice;
mod rollout_order;
mod rollout_owner;
mod rollout_phase;
mod rollout_record;
mod rollouts;
mod route;
mod route_table;
mod routing_config;
mod service;
mod service_id;
mod service_kind;
mod service_time;
mod serving_model;
mod slice_grant;
mod slice_home;
mod slice_request;
mod software_version;
mod stall_detector;
mod store_backoff;
mod stream_pace;
mod subset;
mod suspect_run;
mod suspect_runs;
mod suspicion;
mod table_row;
mod team;
mod team_id;
mod team_slice;
mod term;
mod ticket;
mod token;
mod token_index;
mod token_log;
mod upstream;
mod upstream_death;
mod upstream_directory;
mod upstream_evidence;
mod upstream_health;
mod upstream_id;
mod upstream_incarnation;
mod upstream_load;
mod upstream_places;
mod upstream_record;
mod upstream_report;
mod upstream_restart;
mod upstream_table;
mod utf8_joiner;
mod vm_id;
mod wake_detector;
mod wall_time;
mod zone_alarm;
mod zone_gossip;
mod zone_role;
