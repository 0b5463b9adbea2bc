//! Merging of identical reads in flight.
//!
//! Load pattern: a tile or a price list turns hot and the same read comes a hundred times within
//! the time that one takes. Without merging each holds a place and the service does the same work a
//! hundred times. Here the first is the leader and is sent; the others follow and get a copy of its
//! answer. The key holds the team, so that an answer never crosses teams, and the caller of this
//! module offers idempotent reads only. A leader that fails, or whose caller leaves, fails nobody
//! else: the first follower becomes the leader and is sent by itself.
//!
//! There is no figure to ground: an answer is shared only with reads that were under way before it
//! came, so nobody gets one older than the own call.

use super::*;
use std::collections::VecDeque;

/// Reads in flight and those that wait for their answers.
#[derive(Debug)]
pub struct ReadCoalescer<F> {
    followers: CallTable<VecDeque<F>>,
}

impl<F> Default for ReadCoalescer<F> {
    fn default() -> Self {
        Self {
            followers: CallTable::default(),
        }
    }
}

impl<F> ReadCoalescer<F> {
    /// Adds a read. It comes back if it has to lead: no read of this key is in flight.
    pub fn join(&mut self, key: &CallKey, follower: F) -> Option<F> {
        if let Some(followers) = self.followers.get_mut(key) {
            followers.push_back(follower);
            return None;
        }
        self.followers.insert(key.clone(), VecDeque::new());
        Some(follower)
    }

    /// Reads that follow another.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.followers.values().map(VecDeque::len).sum()
    }

    /// Ends a read that was answered, and returns all who followed it.
    #[must_use]
    pub fn answered(&mut self, key: &CallKey) -> VecDeque<F> {
        self.followers.remove(key).unwrap_or_default()
    }

    /// Ends a leader without an answer, and returns the follower who leads from now on.
    #[must_use]
    pub fn failed(&mut self, key: &CallKey) -> Option<F> {
        let next = self.followers.get_mut(key)?.pop_front();
        if next.is_none() {
            self.followers.remove(key);
        }
        next
    }
}
