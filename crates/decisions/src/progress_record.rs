use super::*;

/// A copy of a generation's progress, kept by a VM that does not run it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProgressRecord {
    /// The generation.
    pub id: RequestId,
    /// Digest of the request.
    pub digest: RequestDigest,
    /// What it keeps for its whole life.
    pub pinned: Pinned,
    /// Largest attempt known of.
    pub attempt: Attempt,
    /// Upstream that runs it.
    pub upstream: Option<UpstreamId>,
    /// Tokens delivered, from the first one.
    pub tokens: TokenLog,
    /// Why the answer ended, once it is whole.
    pub finish: Option<Finish>,
}

impl ProgressRecord {
    /// Takes in an update; returns false, and changes nothing, if it is of an older attempt, of
    /// another request, or would leave a gap.
    ///
    /// A newer attempt goes on after `update.from` tokens and knows nothing of what an older one,
    /// on a VM that was paused, may have added here beyond that: those tokens are dropped, or two
    /// generations would be mixed in the copy and in the answer that goes on from it.
    pub(crate) fn merge(&mut self, update: &ProgressUpdate) -> bool {
        let old = update.attempt < self.attempt || update.digest != self.digest;
        if old || update.from > self.tokens.len() {
            return false;
        }
        if update.attempt > self.attempt {
            self.tokens.truncate(update.from);
        }
        let known = TokenIndex(self.tokens.len().0 - update.from.0);
        self.tokens.append(&update.tokens.tail(known));
        self.attempt = update.attempt;
        self.upstream.clone_from(&update.upstream);
        self.finish = update.finish.or(self.finish);
        true
    }

    /// Whether another copy of the same generation is the better one to go on from.
    #[must_use]
    pub fn is_behind(&self, other: &Self) -> bool {
        (self.finish.is_some(), self.attempt, self.tokens.len())
            < (other.finish.is_some(), other.attempt, other.tokens.len())
    }
}

impl ProgressRecord {
    /// A copy that begins with `update`; `None` if that is not the first one, since a copy without
    /// its beginning could never be gone on from.
    #[must_use]
    pub fn begin(update: &ProgressUpdate) -> Option<Self> {
        if update.from > TokenIndex(0) {
            return None;
        }
        Some(Self {
            id: update.id.clone(),
            digest: update.digest,
            pinned: update.pinned.clone()?,
            attempt: update.attempt,
            upstream: update.upstream.clone(),
            tokens: update.tokens.clone(),
            finish: update.finish,
        })
    }
}
