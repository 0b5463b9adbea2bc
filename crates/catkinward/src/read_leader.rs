use super::*;
use crate::{admission_pool::AdmissionPool, plain_response::PlainResponse};
use tokio::sync::oneshot;

/// What a read that was coalesced with another read receives.
pub(crate) enum CoalescedRead {
    /// The response of the leading read.
    Response(PlainResponse),
    /// The leading read failed; this read now takes the lead.
    Lead(ReadLeader),
}

/// A read whose response is shared with the reads that follow it. If it ends without a response,
/// the next follower takes the lead.
pub(crate) struct ReadLeader {
    pool: Arc<AdmissionPool>,
    key: CallKey,
    is_over: bool,
}

impl ReadLeader {
    /// Becomes the leader of the reads of `key`, or returns a receiver for the result of their
    /// leader.
    pub(crate) fn join(
        pool: &Arc<AdmissionPool>,
        key: &CallKey,
    ) -> Result<Self, oneshot::Receiver<CoalescedRead>> {
        let (tx, rx) = oneshot::channel();
        match pool.reads.lock().join(key, tx) {
            Some(_) => Ok(Self::new(pool.clone(), key.clone())),
            None => Err(rx),
        }
    }

    /// Sends the response to all followers.
    pub(crate) fn share_response(mut self, response: &PlainResponse) {
        self.is_over = true;
        let followers = self.pool.reads.lock().complete(&self.key);
        for follower in followers {
            let _ = follower.send(CoalescedRead::Response(response.clone()));
        }
    }

    fn new(pool: Arc<AdmissionPool>, key: CallKey) -> Self {
        Self {
            pool,
            key,
            is_over: false,
        }
    }
}

impl Drop for ReadLeader {
    /// Passes the lead to the next follower as a value with this same `Drop`. Otherwise, if that
    /// follower left before it received the lead, the followers behind it would wait forever.
    fn drop(&mut self) {
        if self.is_over {
            return;
        }
        loop {
            let Some(next) = self.pool.reads.lock().fail_leader(&self.key) else {
                return;
            };
            let lead = Self::new(self.pool.clone(), self.key.clone());
            match next.send(CoalescedRead::Lead(lead)) {
                Err(CoalescedRead::Lead(mut lead)) => lead.is_over = true,
                _ => return,
            }
        }
    }
}
