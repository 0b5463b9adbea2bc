use super::*;

/// Version of the protocol between VMs; two that differ do not talk.
pub const PEER_PROTOCOL: u16 = 1;

/// A message between VMs: one CBOR value in one WebSocket message.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PeerMessage {
    /// Number by which an answer finds its question; 0 where no answer is wanted.
    #[serde(rename = "n")]
    pub number: u64,
    /// Reading of the sender's clock: microseconds and count.
    #[serde(rename = "c")]
    pub clock: (u64, u32),
    /// What it is about.
    #[serde(rename = "b")]
    pub body: PeerBody,
}

/// What a message between VMs is about.
#[derive(Clone, Debug, Serialize, Deserialize, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum PeerBody {
    /// First word of the one that was called.
    Challenge(PeerChallenge),
    /// First word of the one that calls.
    Hello(PeerHello),
    /// The one that was called shows who it is.
    Welcome(PeerWelcome),
    /// News both ways; answered by [`PeerBody::Gossip`].
    Gossip(Box<Gossip>),
    /// News of generations whose copies the other keeps; answered by [`PeerBody::Superseded`] where
    /// another VM has taken one over, else not at all.
    #[serde(rename = "p")]
    Progress(Vec<ProgressUpdate>),
    /// Question for slices of teams' limits; answered by [`PeerBody::Slices`].
    AskSlices(Vec<SliceRequest>),
    /// Slices granted.
    Slices(Vec<SliceGrant>),
    /// Chains that another VM has taken over, each with the attempt that it goes on with.
    Superseded(Vec<(RequestId, ChainId, Attempt)>),
    /// Question for the best copy for a caller who has come so far, and from that chain; answered
    /// by [`PeerBody::Found`].
    Find(RequestId, TokenIndex, Option<(VmId, ChainId)>),
    /// A copy, if there is one.
    Found(Option<Box<ProgressRecord>>),
    /// A VM has taken a generation over; the chains that it goes on from end. Not answered.
    TakenOver(Box<ProgressUpdate>),
    /// Question for the content of a bundle; answered by [`PeerBody::BundleContent`].
    FetchBundle(BundleDigest),
    /// The content of a bundle, if it is the one in force.
    BundleContent(Option<Arc<str>>),
}

/// First word of the one that was called.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PeerChallenge {
    /// Its protocol version.
    pub protocol: u16,
    /// Drawn for this connection.
    #[serde(with = "serde_bytes")]
    pub nonce: Vec<u8>,
}

/// First word of the one that calls.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PeerHello {
    /// Who it is and where it can be called.
    pub entry: PeerEntry,
    /// Drawn for this connection.
    #[serde(with = "serde_bytes")]
    pub nonce: Vec<u8>,
    /// Proof over both nonces and the name of the VM.
    #[serde(with = "serde_bytes")]
    pub proof: Vec<u8>,
}

/// The one that was called shows who it is.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PeerWelcome {
    /// Who it is.
    pub vm: VmId,
    /// Proof over both nonces and the name of the VM.
    #[serde(with = "serde_bytes")]
    pub proof: Vec<u8>,
}

impl PeerMessage {
    /// Its bytes on the wire.
    ///
    /// # Panics
    ///
    /// Never: these types hold nothing that CBOR cannot express.
    #[must_use]
    pub fn to_bytes(&self) -> Bytes {
        let mut buf = Vec::with_capacity(256);
        ciborium::into_writer(self, &mut buf).expect("peer messages can be written as CBOR");
        buf.into()
    }

    /// Reads a message from the wire.
    ///
    /// # Errors
    ///
    /// If it is none.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, PeerError> {
        ciborium::from_reader(bytes).map_err(|_| PeerError::Form)
    }
}
