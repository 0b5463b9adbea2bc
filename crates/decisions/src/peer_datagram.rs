use super::*;

/// What VMs send each other as datagrams.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerDatagram {
    /// A VM's word on itself.
    #[serde(rename = "n")]
    Note(PeerHeartbeat),
    /// Members for one that wanted some.
    #[serde(rename = "m")]
    Members(Vec<MemberStatus>),
    /// What a VM has read of the store.
    #[serde(rename = "z")]
    Gossip(ZoneGossip),
    /// Asks for repeats that the other does not need.
    #[serde(rename = "a")]
    LoanAsk(LoanAsk),
    /// Gives some.
    #[serde(rename = "l")]
    Loan(Loan),
    /// Tells that an upstream has started anew at the address of another one.
    #[serde(rename = "r")]
    Restart(UpstreamRestart),
    /// A rollout, as soon as there is something new.
    #[serde(rename = "o")]
    Rollout(RolloutNotice),
    /// Counts for the owner of a rollout.
    #[serde(rename = "p")]
    RolloutReport(RolloutReport),
    /// The owner's answer.
    #[serde(rename = "g")]
    RolloutGrant(RolloutGrant),
}

/// Asks another VM for a part of its repeats of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoanAsk {
    /// The service.
    #[serde(rename = "s")]
    pub service: ServiceId,
    /// Tells one question from another; an answer bears it.
    #[serde(rename = "n")]
    pub number: u64,
    /// Repeats that would be of use.
    #[serde(rename = "w")]
    pub wanted: u32,
}

/// Repeats that a VM gives to another one. Its own allowance has shrunk by them already, so that a
/// lost loan costs repeats but never makes the sum of all too large.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Loan {
    /// The service.
    #[serde(rename = "s")]
    pub service: ServiceId,
    /// Number of the question.
    #[serde(rename = "n")]
    pub number: u64,
    /// Repeats given.
    #[serde(rename = "g")]
    pub given: u32,
}
