use super::*;

/// A datagram from one VM to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerDatagram {
    /// The sender's heartbeat.
    #[serde(rename = "n")]
    Note(PeerHeartbeat),
    /// Status of some members of the fleet, for a VM that requested members in its heartbeat.
    #[serde(rename = "m")]
    Members(Vec<MemberStatus>),
    /// What the sender has read from the platform store.
    #[serde(rename = "z")]
    Gossip(ZoneGossip),
    /// Requests a part of the receiver's retry budget that the receiver does not need.
    #[serde(rename = "a")]
    LoanAsk(LoanAsk),
    /// Transfers a part of the sender's retry budget.
    #[serde(rename = "l")]
    Loan(Loan),
    /// Reports that an upstream has started at the address of another one.
    #[serde(rename = "r")]
    Restart(UpstreamRestart),
    /// An update of a rollout, sent as soon as its state changes.
    #[serde(rename = "o")]
    Rollout(RolloutNotice),
    /// The sender's counts of requests, used grants and responses of both versions, for the owner of a
    /// rollout.
    #[serde(rename = "p")]
    RolloutReport(RolloutReport),
    /// The owner's reply to a rollout report: how many canary requests the VM may send.
    #[serde(rename = "g")]
    RolloutGrant(RolloutGrant),
    /// Crashes of upstreams under parts of prompts.
    #[serde(rename = "c")]
    Crashes(CrashReport),
    /// Tells what an upstream stated in a response.
    #[serde(rename = "s")]
    Statement(PeerStatement),
}

/// What an upstream stated in a response to the sender that concerns the receiver too.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerStatement {
    /// The upstream.
    #[serde(rename = "u")]
    pub upstream: UpstreamIncarnation,
    /// Time in milliseconds for which it wants no requests, on a connection that the receiver opened for the sender.
    #[serde(rename = "b", default, skip_serializing_if = "Option::is_none")]
    pub back_off_ms: Option<u32>,
    /// Whether it is leaving.
    #[serde(rename = "l", default, skip_serializing_if = "std::ops::Not::not")]
    pub leaving: bool,
}

/// Requests a part of another VM's retry budget for a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoanAsk {
    /// Service whose retries are requested.
    #[serde(rename = "s")]
    pub service: ServiceId,
    /// Identifies the request; a loan carries the number of its request.
    #[serde(rename = "n")]
    pub number: u64,
    /// Number of retries that the sender can use.
    #[serde(rename = "w")]
    pub wanted: u32,
}

/// A transfer of retries from one VM to another. The lender deducts them from its own budget before it
/// sends the loan, so a lost loan loses retries but never makes the sum of all budgets too large.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Loan {
    /// Service whose retries are transferred.
    #[serde(rename = "s")]
    pub service: ServiceId,
    /// Number of the loan request that this loan answers.
    #[serde(rename = "n")]
    pub number: u64,
    /// Number of retries transferred.
    #[serde(rename = "g")]
    pub given: u32,
    /// Number of buckets of the budget's window in which the receiver may use them, after the one of their arrival.
    #[serde(rename = "u", default, skip_serializing_if = "is_zero")]
    pub usable_buckets: u64,
}

impl Loan {
    /// The retries that this loan transfers.
    #[must_use]
    pub fn retries(&self) -> LentRetries {
        LentRetries {
            count: self.given,
            usable_buckets: self.usable_buckets,
        }
    }
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
fn is_zero(buckets: &u64) -> bool {
    *buckets == 0
}
