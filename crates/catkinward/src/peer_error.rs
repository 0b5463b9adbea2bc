use super::*;

/// Why a peer could not be talked with.
#[derive(Clone, Debug, Display, Eq, PartialEq, StdError)]
pub enum PeerError {
    /// The connection could not be had, or broke.
    #[display("the connection to the peer broke")]
    Broken,
    /// Nothing came in time.
    #[display("the peer did not answer in time")]
    Timeout,
    /// A message is none, or not the one that is due.
    #[display("the peer sent something else than was due")]
    Form,
    /// The other does not know the key.
    #[display("the peer did not prove that it knows the key")]
    Key,
    /// The other speaks another version of the protocol.
    #[display("the peer speaks version {theirs} of the protocol, this VM version {PEER_PROTOCOL}")]
    Protocol {
        /// Its version.
        theirs: u16,
    },
    /// Another VM answered at this address.
    #[display("`{found}` answered where `{expected}` was called")]
    OtherVm {
        /// Who was called.
        expected: VmId,
        /// Who answered.
        found: VmId,
    },
    /// No VM of that name is known.
    #[display("VM `{vm}` is not known")]
    Unknown {
        /// Its name.
        vm: VmId,
    },
}
