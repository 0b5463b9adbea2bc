use super::*;

/// A request whose key this process has claimed. Only a committed claim creates one, and `dispatch`
/// consumes it, so the request is dispatched at most once.
///
/// It does not implement `Clone` and has no public constructor: a non-idempotent request that could
/// be dispatched without a claim might run twice, which shows up as duplicate orders.
#[derive(Debug, PartialEq)]
pub struct Claimed<T = ()> {
    held: HeldClaim,
    request: T,
}

/// A claim held by this process, needed to record the outcome of the request.
#[derive(Debug, PartialEq)]
pub struct HeldClaim {
    key: ClaimRowKey,
    version: u64,
    record: ClaimRecord,
}

impl Claimed {
    pub(crate) fn new(change: ClaimChange, version: u64) -> Self {
        Self {
            held: HeldClaim {
                key: change.key,
                version,
                record: change.record,
            },
            request: (),
        }
    }

    /// Attaches the request that claimed the key.
    #[must_use]
    pub fn with_request<T>(self, request: T) -> Claimed<T> {
        Claimed {
            held: self.held,
            request,
        }
    }
}

impl<T> Claimed<T> {
    /// The request, for inspection before its dispatch.
    pub fn request(&self) -> &T {
        &self.request
    }

    /// Returns the request for its only dispatch, and the claim to record its outcome with.
    pub fn dispatch(self) -> (T, HeldClaim) {
        (self.request, self.held)
    }

    /// Returns the claim to be released, and drops the request without a dispatch.
    pub fn release(self) -> HeldClaim {
        self.held
    }
}

impl HeldClaim {
    /// Key of the claim row.
    #[must_use]
    pub fn key(&self) -> &ClaimRowKey {
        &self.key
    }

    /// Record that was written when the key was claimed.
    #[must_use]
    pub fn record(&self) -> &ClaimRecord {
        &self.record
    }

    /// Returns the change that records the end of the request. The row may be deleted from
    /// `expires` on.
    #[must_use]
    pub fn end(self, stage: ClaimStage, expires: WallTime) -> ClaimChange {
        ClaimChange {
            key: self.key,
            expected: self.version,
            record: ClaimRecord {
                expires,
                stage,
                ..self.record
            },
        }
    }
}
