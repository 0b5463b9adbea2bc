//! Everything that catkinward decides, without network, async or clock.
//!
//! Time comes in as [`Instant`] values since an arbitrary start, so that each decision can be read
//! and tested by itself. The daemon feeds events in and obeys what comes out.

pub(crate) use {
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
    attempt::Attempt,
    availability_zone::AvailabilityZone,
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
    call_budget::{CallBudget, CallBudgetSettings},
    change_token::ChangeToken,
    delivery::Delivery,
    draft_id::DraftId,
    drop_reason::DropReason,
    dropped_counts::DroppedCounts,
    error::Error,
    failed_call::FailedCall,
    finish::Finish,
    hedge::{Hedge, HedgeConfig},
    hex::{parse_hex, to_hex},
    hybrid_clock::{HybridClock, LARGEST_CLOCK_LEAD},
    hybrid_time::HybridTime,
    incarnation::Incarnation,
    instant::Instant,
    key_hash::KeyHash,
    model::Model,
    operator_name::OperatorName,
    path_rule::PathRule,
    peer_entry::PeerEntry,
    peer_table::PeerTable,
    progress_record::ProgressRecord,
    progress_store::{ProgressLimits, ProgressStore},
    progress_update::ProgressUpdate,
    received_end::ReceivedEnd,
    received_token::ReceivedToken,
    recovery_policy::RecoveryPolicy,
    relay::Relay,
    rendezvous::{rendezvous_rank, rendezvous_score},
    request_digest::RequestDigest,
    request_id::RequestId,
    reserved_attempt::ReservedAttempt,
    retry_budget::{RetryBudget, RetryBudgetConfig},
    retry_refusal::RetryRefusal,
    service::Service,
    service_id::ServiceId,
    service_kind::ServiceKind,
    team::Team,
    team_id::TeamId,
    term::Term,
    token::Token,
    token_index::TokenIndex,
    token_log::TokenLog,
    upstream::Upstream,
    upstream_id::UpstreamId,
    utf8_joiner::Utf8Joiner,
    vm_id::VmId,
};

mod attempt;
mod availability_zone;
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
mod call_budget;
mod change_token;
mod delivery;
mod draft_id;
mod drop_reason;
mod dropped_counts;
mod error;
mod failed_call;
mod finish;
mod hedge;
mod hex;
mod hybrid_clock;
mod hybrid_time;
mod incarnation;
mod instant;
mod key_hash;
mod model;
mod operator_name;
mod path_rule;
mod peer_entry;
mod peer_table;
mod progress_record;
mod progress_store;
mod progress_update;
mod received_end;
mod received_token;
mod recovery_policy;
mod relay;
mod rendezvous;
mod request_digest;
mod request_id;
mod reserved_attempt;
mod retry_budget;
mod retry_refusal;
mod service;
mod service_id;
mod service_kind;
mod team;
mod team_id;
mod term;
mod token;
mod token_index;
mod token_log;
mod upstream;
mod upstream_id;
mod utf8_joiner;
mod vm_id;
