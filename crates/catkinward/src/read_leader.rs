use super::*;
use crate::{admission_pool::AdmissionPool, plain_response::PlainResponse};
use tokio::sync::oneshot;

/// What a read that was merged with another gets.
pub(crate) enum CoalescedRead {
    /// The other's answer.
    Answer(PlainResponse),
    /// The other failed; this one is sent by itself now.
    Lead(ReadLeader),
}

/// A read that others follow. If it ends without an answer, the next follower leads.
pub(crate) struct ReadLeader {
    pool: Arc<AdmissionPool>,
    key: CallKey,
    is_over: bool,
}

impl ReadLeader {
    /// Leads the reads of this key, or gets a receiver for what their leader brings.
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

    /// Hands the answer on to all who followed.
    pub(crate) fn answered(mut self, answer: &PlainResponse) {
        self.is_over = true;
        let followers = self.pool.reads.lock().complete(&self.key);
        for follower in followers {
            let _ = follower.send(CoalescedRead::Answer(answer.clone()));
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
    /// The lead travels as a value with this very drop: a follower who has left with the lead
    /// undelivered would otherwise leave all behind it waiting for nobody.
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
