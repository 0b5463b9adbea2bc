use super::*;

/// Key of a claim row: the team's name, then a digest of its idempotency key.
#[derive(Clone, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ClaimRowKey(Arc<str>);

impl ClaimRowKey {
    /// Key of the row for a team's idempotency key.
    #[must_use]
    pub fn new(team: &TeamId, key: &IdempotencyKey) -> Self {
        Self(format!("{team}/{}", RequestId::of_key(team, key.as_str())).into())
    }

    /// The key as it is stored.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl From<&str> for ClaimRowKey {
    fn from(key: &str) -> Self {
        Self(key.into())
    }
}

/// Conditional write of a claim row: the record is written only if the row has the expected
/// version.
#[derive(Clone, Debug, PartialEq)]
pub struct ClaimChange {
    /// Key of the row to write.
    pub key: ClaimRowKey,
    /// Version that the row must have; 0 if the row must not exist.
    pub expected: u64,
    /// Record to write.
    pub record: ClaimRecord,
}

/// Claim row as returned by the platform store; version 0 and no record if the row does not exist.
#[derive(Clone, Debug, PartialEq)]
pub struct FoundClaim {
    /// Key of the row.
    pub key: ClaimRowKey,
    /// Version of the row; 0 if it does not exist.
    pub version: u64,
    /// Record of the row; `None` if the row does not exist or cannot be decoded.
    pub record: Option<ClaimRecord>,
}

/// What a row with an unexpected version means for a change.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum ConflictOutcome {
    /// The change was committed at this version, although its result was lost.
    Committed(u64),
    /// The change may be retried against this version.
    Retry(u64),
    /// The row belongs to another claim.
    Lost,
}

impl ClaimChange {
    /// Decides how to proceed with this change, given the row that the platform store returned as a
    /// conflict.
    pub(crate) fn resolve_conflict(&self, found: &FoundClaim) -> ConflictOutcome {
        let Some(record) = &found.record else {
            return ConflictOutcome::Lost;
        };
        if record.token == self.record.token {
            return match (record.stage.is_final(), self.record.stage.is_final()) {
                (false, false) | (true, true) => ConflictOutcome::Committed(found.version),
                (false, true) => ConflictOutcome::Retry(found.version),
                (true, false) => ConflictOutcome::Lost,
            };
        }
        let released = record.stage == ClaimStage::Released && record.digest == self.record.digest;
        if released && self.record.stage == ClaimStage::Claimed {
            return ConflictOutcome::Retry(found.version);
        }
        ConflictOutcome::Lost
    }
}
