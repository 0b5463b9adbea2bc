use super::*;

/// A request whose key this process has claimed. Only a settled change makes one, and only this can
/// be dispatched; dispatching takes it, so that it happens once.
///
/// It is neither `Clone` nor has it a public constructor: a non-idempotent request that could be
/// dispatched without it might run twice, and one would notice it by doubled orders.
#[derive(Debug, PartialEq)]
pub struct Claimed<T = ()> {
    held: HeldClaim,
    request: T,
}

/// A claim held by this process, by which its end is recorded.
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

    /// Binds the request that claimed the key.
    #[must_use]
    pub fn with<T>(self, request: T) -> Claimed<T> {
        Claimed {
            held: self.held,
            request,
        }
    }
}

impl<T> Claimed<T> {
    /// The request, to be looked at before its dispatch.
    pub fn request(&self) -> &T {
        &self.request
    }

    /// Takes the request for its one dispatch, and the claim to record its end by.
    pub fn dispatch(self) -> (T, HeldClaim) {
        (self.request, self.held)
    }

    /// Gives the claim back without a dispatch.
    pub fn give_back(self) -> HeldClaim {
        self.held
    }
}

impl HeldClaim {
    /// The row.
    #[must_use]
    pub fn key(&self) -> &ClaimRowKey {
        &self.key
    }

    /// What was claimed.
    #[must_use]
    pub fn record(&self) -> &ClaimRecord {
        &self.record
    }

    /// The change that records the request's end. `expires` is when the row may be swept.
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
