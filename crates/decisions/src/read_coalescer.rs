//! Coalesces identical reads that are in flight at the same time.
//!
//! When a map tile or a price list becomes hot, the same read may arrive a hundred times while one
//! such read takes to run. Without coalescing each one occupies a slot and the service does the same
//! work a hundred times. Here the first read is the leader and is sent; the others are followers and
//! receive a copy of its response. The key includes the team, so that a response is never shared between
//! teams, and only idempotent reads may be added. If the leader fails or its caller disconnects, the
//! first follower becomes the leader and is sent.
//!
//! A response is shared only with reads that arrived before it, so no caller receives a response that
//! is older than its own call.

use super::*;
use std::collections::VecDeque;

/// The reads in flight and the followers that wait for their responses.
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
    /// Adds a read. Returns it if no read of this key is in flight, so that it is the leader.
    pub fn join(&mut self, key: &CallKey, follower: F) -> Option<F> {
        if let Some(followers) = self.followers.get_mut(key) {
            followers.push_back(follower);
            return None;
        }
        self.followers.insert(key.clone(), VecDeque::new());
        Some(follower)
    }

    /// Number of followers.
    #[must_use]
    pub fn follower_count(&self) -> usize {
        self.followers.values().map(VecDeque::len).sum()
    }

    /// Ends a read that has a response and returns its followers.
    #[must_use]
    pub fn complete(&mut self, key: &CallKey) -> VecDeque<F> {
        self.followers.remove(key).unwrap_or_default()
    }

    /// Ends a leader without a response and returns the follower that becomes the leader.
    #[must_use]
    pub fn fail_leader(&mut self, key: &CallKey) -> Option<F> {
        let next = self.followers.get_mut(key)?.pop_front();
        if next.is_none() {
            self.followers.remove(key);
        }
        next
    }
}
