//! Limits the connections of callers, so that the calls which are read can reach an upstream.
//!
//! Load pattern: for some seconds the platform hands most new connections of a zone to one VM. Each connection
//! takes a descriptor, and each call that is served another one. A VM that accepts all connections has none left for
//! its upstreams, reads requests and answers 503, while other VMs are idle. A connection that is closed before its
//! request is read costs the caller a round trip, and the retry reaches another VM.

use super::*;

/// Share of the descriptors that callers may take. Each call needs one more for its upstream.
const CALLERS_SHARE: f64 = 0.5;

/// How long a connection must have been idle to make room for a new one: a request may be on its way on others.
const MIN_IDLE: Duration = Duration::from_secs(1);

/// Maximum number of open connections of callers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum CallerConnectionLimit {
    /// It is not known how many the VM may have.
    #[default]
    Unlimited,
    /// This many.
    AtMost(usize),
}

/// What to do with a new connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionAdmission {
    /// Serve it.
    Admit,
    /// Serve it, and close the open connection with this index.
    Replace(usize),
    /// Close it unread.
    Reject,
}

impl CallerConnectionLimit {
    /// The limit of a VM that may have this many connections of all kinds.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "far below 2^52"
    )]
    pub fn of_vm(connections: usize) -> Self {
        Self::AtMost((CALLERS_SHARE * connections as f64) as usize)
    }

    /// Decides on a new connection, given since when each open one has been idle; `None` for one with a request.
    #[must_use]
    pub fn admit(self, idle_since: &[Option<Instant>], now: Instant) -> ConnectionAdmission {
        let has_room = match self {
            Self::Unlimited => true,
            Self::AtMost(limit) => idle_since.len() < limit,
        };
        if has_room {
            return ConnectionAdmission::Admit;
        }
        let idle = idle_since.iter().enumerate();
        let longest = idle
            .filter_map(|(index, since)| Some(((*since)?, index)))
            .min();
        match longest {
            Some((since, index)) if now.since(since) >= MIN_IDLE => {
                ConnectionAdmission::Replace(index)
            }
            _ => ConnectionAdmission::Reject,
        }
    }
}
