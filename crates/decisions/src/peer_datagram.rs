use super::*;

/// A datagram from one VM to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerDatagram {
    /// The sender's heartbeat.
    #[serde(rename = "n")]
    Note(PeerHeartbeat),
    /// Part of a heartbeat that does not fit into a datagram: what it does not list stays as it was.
    #[serde(rename = "h")]
    Partial(PeerHeartbeat),
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

/// A datagram in encoded form.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EncodedDatagrams {
    /// One datagram, or several if its lists did not fit into one.
    pub datagrams: Vec<Vec<u8>>,
    /// Number of datagrams with a single item that are too large; they are not sent.
    pub too_large: usize,
}

impl PeerDatagram {
    /// Encodes the datagram in at most `max_bytes`, or as several datagrams with a part of its lists each.
    #[must_use]
    pub fn encode(&self, max_bytes: usize) -> EncodedDatagrams {
        let mut encoded = EncodedDatagrams::default();
        self.encode_into(max_bytes, &mut encoded);
        encoded
    }

    fn encode_into(&self, max_bytes: usize, encoded: &mut EncodedDatagrams) {
        let mut bytes = Vec::with_capacity(max_bytes);
        ciborium::into_writer(self, &mut bytes).expect("datagrams can be written as CBOR");
        if bytes.len() <= max_bytes {
            encoded.datagrams.push(bytes);
        } else if let Some(halves) = self.halves() {
            for half in halves {
                half.encode_into(max_bytes, encoded);
            }
        } else {
            encoded.too_large += 1;
        }
    }

    /// Two datagrams that have the same effect as this one; `None` if it contains no list of several items.
    /// Heartbeats are divided by [`pack`](crate::pack) instead.
    fn halves(&self) -> Option<[Self; 2]> {
        match self {
            Self::Members(members) => Some(halves(members)?.map(Self::Members)),
            Self::Crashes(report) => Some(halves(&report.parts)?.map(|parts| {
                let vm = report.vm.clone();
                Self::Crashes(CrashReport { vm, parts })
            })),
            Self::RolloutReport(report) => Some(halves(&report.evidence)?.map(|evidence| {
                Self::RolloutReport(RolloutReport {
                    evidence,
                    ..report.clone()
                })
            })),
            // Each part names routes that need samples, whichever arrives last.
            Self::RolloutGrant(grant) => Some(halves(&grant.undersampled_routes)?.map(|routes| {
                Self::RolloutGrant(RolloutGrant {
                    undersampled_routes: routes,
                    ..grant.clone()
                })
            })),
            Self::Gossip(gossip) => {
                let with = |changes, members| {
                    Self::Gossip(ZoneGossip {
                        changes,
                        members,
                        ..gossip.clone()
                    })
                };
                if !gossip.members.is_empty() && !gossip.changes.is_empty() {
                    return Some([
                        with(gossip.changes.clone(), Vec::new()),
                        with(Vec::new(), gossip.members.clone()),
                    ]);
                }
                if let Some(changes) = halves(&gossip.changes) {
                    return Some(changes.map(|changes| with(changes, Vec::new())));
                }
                Some(halves(&gossip.members)?.map(|members| with(Vec::new(), members)))
            }
            _ => None,
        }
    }
}

/// The two halves of a list; `None` if it has less than two items.
fn halves<T: Clone>(items: &[T]) -> Option<[Vec<T>; 2]> {
    let (first, second) = items.split_at(items.len() / 2);
    (!first.is_empty()).then(|| [first.to_vec(), second.to_vec()])
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
