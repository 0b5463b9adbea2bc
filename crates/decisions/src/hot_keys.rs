//! A limit on the calls for one key.
//!
//! Load pattern: one item is asked for by everybody at once, or one client asks for it in a loop.
//! Without a limit these calls take every place of the service and its other callers wait behind
//! one item. Here at most `limit` calls of one team for one key are queued or in flight at this
//! node; more are refused at once, not run. Reads that may be merged never come to that limit,
//! since they hold one place together (see `read_coalescer`).
//!
//! Grounds for the figure: with 16 calls of 20 ms before the 6 places that one of 8 nodes has at three
//! workers of 16 places, a key holds a backlog of about 50 ms at most. In the row `hot key` of
//! `docs/LOAD.md` the p99 of the key's own team is then 165 ms, and that of the worst other team 70 ms.

use super::*;

/// Calls of one key that may be under way.
const DEFAULT_LIMIT: u32 = 16;

/// Calls under way by key.
#[derive(Debug)]
pub struct HotKeys {
    limit: u32,
    counts: CallTable<u32>,
}

impl HotKeys {
    /// No call under way; at most `limit` for each key from now on.
    #[must_use]
    pub fn new(limit: u32) -> Self {
        Self {
            limit,
            counts: CallTable::default(),
        }
    }

    /// Counts a call in; false, and not counted, if its key has as many as it may.
    #[must_use]
    pub fn enter(&mut self, key: &CallKey) -> bool {
        match self.counts.get_mut(key) {
            Some(count) if *count >= self.limit => return false,
            Some(count) => *count += 1,
            None => self.counts.insert(key.clone(), 1),
        }
        true
    }

    /// Counts a call out.
    pub fn leave(&mut self, key: &CallKey) {
        let Some(count) = self.counts.get_mut(key) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.counts.remove(key);
        }
    }
}

impl Default for HotKeys {
    fn default() -> Self {
        Self::new(DEFAULT_LIMIT)
    }
}
