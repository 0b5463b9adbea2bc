use super::*;

/// A copy of a generation's progress, kept by a VM that does not run it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProgressRecord {
    /// The generation.
    pub id: RequestId,
    /// The chain of its tokens.
    pub chain: ChainId,
    /// What it keeps for its whole life.
    pub head: ProgressHead,
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
    /// A copy that begins with `update`; `None` if that is not the first one, since a copy without
    /// its beginning could never be gone on from.
    #[must_use]
    pub fn begin(update: &ProgressUpdate) -> Option<Self> {
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
        })
    }

    /// Takes in an update of the same chain; returns false, and changes nothing, if it is of an
    /// older attempt or would leave a gap.
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

    /// Whether a caller at `point` can go on from this copy: it must hold all tokens that the
    /// caller has, and they must be those of the caller's chain. Two VMs may have gone on with one
    /// generation, and their tokens differ from there on: to give a caller of the one what the
    /// other delivered would mix two answers.
    #[must_use]
    pub fn reaches(&self, point: &ResumePoint) -> bool {
        let shared = match point.from {
            Some((_, chain)) if chain != self.chain => self.head.shared_with(chain),
            _ => Some(self.tokens.len()),
        };
        shared.is_some_and(|shared| point.next <= shared)
    }

    /// Whether another copy of the same generation is the better one to go on from.
    #[must_use]
    pub fn is_behind(&self, other: &Self) -> bool {
        (self.finish.is_some(), self.attempt, self.tokens.len())
            < (other.finish.is_some(), other.attempt, other.tokens.len())
    }
}
