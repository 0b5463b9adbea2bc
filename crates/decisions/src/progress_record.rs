use super::*;

/// A replica of a generation's progress on a VM that does not run it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProgressRecord {
    /// Request that started the generation.
    pub id: RequestId,
    /// Chain to which the tokens belong.
    pub chain: ChainId,
    /// Properties that stay the same when another VM or engine continues the generation.
    pub head: ProgressHead,
    /// Highest known attempt.
    pub attempt: Attempt,
    /// Upstream that runs the latest attempt, if known.
    pub upstream: Option<UpstreamId>,
    /// All tokens delivered so far.
    pub tokens: TokenLog,
    /// Why the response ended, once it is complete.
    pub finish: Option<Finish>,
    /// Whether the VM that sent the record runs the generation and a caller is connected to it.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub has_caller: bool,
}

impl ProgressRecord {
    /// Creates a replica from the first update of a generation. Returns `None` for a later update,
    /// because a generation cannot be resumed from a replica without its first tokens.
    #[must_use]
    pub fn from_first_update(update: &ProgressUpdate) -> Option<Self> {
        if update.from > TokenIndex(0) {
            return None;
        }
        Some(Self {
            id: update.id.clone(),
            chain: update.chain,
            head: update.head.clone()?,
            attempt: update.attempt,
            upstream: update.upstream.clone(),
            tokens: update.tokens.clone(),
            finish: update.finish,
            has_caller: false,
        })
    }

    /// Merges an update of the same chain. Returns false, without a change, if the update belongs to
    /// an older attempt or would leave a gap.
    pub(crate) fn merge(&mut self, update: &ProgressUpdate) -> bool {
        if update.attempt < self.attempt || update.from > self.tokens.len() {
            return false;
        }
        let known = TokenIndex(self.tokens.len().0 - update.from.0);
        self.tokens.append(&update.tokens.tail(known));
        self.attempt = update.attempt;
        self.upstream = update.upstream.clone().or(self.upstream.take());
        self.finish = update.finish.or(self.finish);
        true
    }

    /// Whether a caller at `point` can be resumed from this replica, which must hold all tokens that
    /// the caller has, on the caller's chain. Two VMs may have continued the same generation with
    /// different tokens, and a caller of one must not receive tokens of the other, because that
    /// would mix two responses.
    #[must_use]
    pub fn can_resume(&self, point: &ResumePoint) -> bool {
        let shared = match point.origin {
            Some((_, chain)) if chain != self.chain => self.head.shared_tokens(chain),
            _ => Some(self.tokens.len()),
        };
        shared.is_some_and(|shared| point.next <= shared)
    }

    /// Whether a caller receives the response from another VM at present.
    #[must_use]
    pub fn is_being_served(&self) -> bool {
        self.has_caller && self.finish.is_none()
    }

    /// Whether another replica of the same generation is the better one to resume from.
    #[must_use]
    pub fn is_worse_than(&self, other: &Self) -> bool {
        (self.finish.is_some(), self.attempt, self.tokens.len())
            < (other.finish.is_some(), other.attempt, other.tokens.len())
    }
}
