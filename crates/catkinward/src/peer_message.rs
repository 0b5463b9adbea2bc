use super::*;

/// Version of the protocol between VMs. VMs with different versions do not communicate.
pub const PEER_PROTOCOL: u16 = 1;

/// A message between VMs: one CBOR value in one WebSocket message.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PeerMessage {
    /// Number that a reply shares with its request; 0 if no reply is expected.
    #[serde(rename = "n")]
    pub number: u64,
    /// Reading of the sender's hybrid logical clock: microseconds and count.
    #[serde(rename = "c")]
    pub clock: (u64, u32),
    /// Content of the message.
    #[serde(rename = "b")]
    pub body: PeerBody,
}

/// Content of a message between VMs.
#[derive(Clone, Debug, Serialize, Deserialize, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum PeerBody {
    /// First message of the handshake, from the callee.
    Challenge(PeerChallenge),
    /// Second message of the handshake, from the caller.
    Hello(PeerHello),
    /// Last message of the handshake, from the callee.
    Welcome(PeerWelcome),
    /// State of the sender; answered by [`PeerBody::Gossip`] with the state of the receiver.
    Gossip(Box<Gossip>),
    /// Progress of generations that the receiver stores replicas of. Answered by
    /// [`PeerBody::Superseded`] if another VM has taken one over, otherwise not answered.
    #[serde(rename = "p")]
    Progress(Vec<ProgressUpdate>),
    /// Request for slices of teams' limits; answered by [`PeerBody::Slices`].
    AskSlices(Vec<SliceRequest>),
    /// Granted slices of teams' limits.
    Slices(Vec<SliceGrant>),
    /// Chains that another VM has taken over, each with the attempt that it continues with.
    Superseded(Vec<(RequestId, ChainId, Attempt)>),
    /// Request for the best progress replica for a caller that reconnects: the next token it needs,
    /// and the VM and chain that served it before. Answered by [`PeerBody::Found`].
    Find(RequestId, TokenIndex, Option<(VmId, ChainId)>),
    /// The progress replica, if the VM has one.
    Found(Option<Box<ProgressRecord>>),
    /// Notification that a VM has taken a generation over and the earlier chains end. Not answered.
    TakenOver(Box<ProgressUpdate>),
    /// Request for the content of a bundle; answered by [`PeerBody::BundleContent`].
    FetchBundle(BundleDigest),
    /// The content of the bundle, if it is the one in force on the VM.
    BundleContent(Option<Arc<str>>),
}

/// First message of the handshake, from the callee.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PeerChallenge {
    /// Protocol version of the callee.
    pub protocol: u16,
    /// Random nonce of the callee for this connection.
    #[serde(with = "serde_bytes")]
    pub nonce: Vec<u8>,
}

/// Second message of the handshake, from the caller.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PeerHello {
    /// Name, address and availability zone of the caller.
    pub entry: PeerEntry,
    /// Random nonce of the caller for this connection.
    #[serde(with = "serde_bytes")]
    pub nonce: Vec<u8>,
    /// Proof of knowing the key, over both nonces and the caller's name.
    #[serde(with = "serde_bytes")]
    pub proof: Vec<u8>,
}

/// Last message of the handshake, from the callee.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PeerWelcome {
    /// Name of the callee.
    pub vm: VmId,
    /// Proof of knowing the key, over both nonces and the callee's name.
    #[serde(with = "serde_bytes")]
    pub proof: Vec<u8>,
}

impl PeerMessage {
    /// Encodes the message as CBOR.
    ///
    /// # Panics
    ///
    /// Never: CBOR can represent all values of these types.
    #[must_use]
    pub fn to_bytes(&self) -> Bytes {
        let mut buf = Vec::with_capacity(256);
        ciborium::into_writer(self, &mut buf).expect("peer messages can be encoded as CBOR");
        buf.into()
    }

    /// Decodes a message from CBOR.
    ///
    /// # Errors
    ///
    /// [`PeerError::Form`] if the bytes are not a valid message.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, PeerError> {
        ciborium::from_reader(bytes).map_err(|_| PeerError::Form)
    }
}
