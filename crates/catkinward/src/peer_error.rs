use super::*;

/// Why communication with a peer failed.
#[derive(Clone, Debug, Display, Eq, PartialEq, StdError)]
pub enum PeerError {
    /// The connection could not be opened, or closed unexpectedly.
    #[display("the connection to the peer could not be opened or was lost")]
    Broken,
    /// No reply arrived within the timeout.
    #[display("the peer did not answer in time")]
    Timeout,
    /// A message is malformed, or of an unexpected type.
    #[display("the peer sent a malformed or unexpected message")]
    Form,
    /// The peer does not know the shared key.
    #[display("the peer did not prove that it knows the key")]
    Key,
    /// The peer uses another version of the protocol.
    #[display("the peer uses protocol version {theirs}, this VM version {PEER_PROTOCOL}")]
    Protocol {
        /// Protocol version of the peer.
        theirs: u16,
    },
    /// Another VM answered at this address.
    #[display("called VM `{expected}`, but VM `{found}` answered")]
    OtherVm {
        /// The VM that was called.
        expected: VmId,
        /// The VM that answered.
        found: VmId,
    },
    /// No VM of this name is known.
    #[display("VM `{vm}` is not known")]
    Unknown {
        /// Name of the VM.
        vm: VmId,
    },
}
