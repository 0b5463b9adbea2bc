//! Over which path a call is sent to its upstream: over an own connection, or over one that another VM opens.
//!
//! A VM that has lost its path to the upstreams still reaches other VMs, which reach the upstreams. Only the
//! connection passes through the other VM: this VM keeps the call, its deadline, its retries and its events. The
//! other VM opens connections to upstreams only, so that none passes through a third VM.

use super::*;

/// Maximum number of connections that a VM holds open for others at once. Its own callers come first.
pub const MAX_CONNECTIONS_FOR_OTHERS: u32 = 64;

/// Path of one send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendPath {
    /// A connection of this VM.
    Direct,
    /// A connection through the VM at this address.
    Through(SocketAddr),
}

impl SendPath {
    /// Whether the send uses a connection of this VM.
    #[must_use]
    pub fn is_direct(self) -> bool {
        self == Self::Direct
    }

    /// Address of the VM through which the call is sent.
    #[must_use]
    pub fn through(self) -> Option<SocketAddr> {
        match self {
            Self::Direct => None,
            Self::Through(address) => Some(address),
        }
    }
}

/// What is known when the path of a send is chosen.
#[derive(Clone, Copy, Debug, Default)]
pub struct PathContext {
    /// Whether the upstream does not respond to this VM.
    pub suspect: bool,
    /// How much of the service this VM reaches.
    pub reach: ServiceReach,
    /// Whether a connection for this call could not be opened before.
    pub was_unreachable: bool,
}

/// Chooses the path of a send; `others` are the VMs that may reach the upstream, best first.
///
/// An upstream that is suspect is selected only if all are. While this VM's path is in doubt, a call that met one
/// dead connection does not wait for the next.
#[must_use]
pub fn choose_path(cx: PathContext, others: &[SocketAddr]) -> SendPath {
    let lost = cx.suspect || (cx.was_unreachable && cx.reach.is_doubtful());
    match others.first() {
        Some(other) if lost => SendPath::Through(*other),
        _ => SendPath::Direct,
    }
}
