//! A limit on the concurrent calls for one key.
//!
//! Load pattern: many callers request one item at the same time, or one client requests it in a loop.
//! Without a limit these calls take every slot of the service and its other callers queue behind
//! one item. At most `limit` calls of one team for one key are queued or in flight at this VM; further
//! ones are refused at once, without being run. Coalesced reads do not reach the limit, since they share
//! one slot (see `read_coalescer`).
//!
//! With a limit of 16 calls of 20 ms each, and the 6 slots that one of 8 VMs has at three workers of 16
//! slots, a key has a backlog of about 50 ms at most. In the row `hot key` of `docs/LOAD.md` the p99 of
//! the key's own team is then 165 ms, and that of the worst other team 70 ms.

use super::*;

/// Maximum number of queued or running calls per key.
const DEFAULT_MAX_CALLS_PER_KEY: u32 = 16;

/// Number of queued or running calls per key.
#[derive(Debug)]
pub struct HotKeys {
    limit: u32,
    counts: CallTable<u32>,
}

impl HotKeys {
    /// Creates empty counts with a maximum of `limit` calls per key.
    #[must_use]
    pub fn new(limit: u32) -> Self {
        Self {
            limit,
            counts: CallTable::default(),
        }
    }

    /// Counts the start of a call; false if its key is at the limit, and then the call is not counted.
    #[must_use]
    pub fn try_acquire(&mut self, key: &CallKey) -> bool {
        match self.counts.get_mut(key) {
            Some(count) if *count >= self.limit => return false,
            Some(count) => *count += 1,
            None => self.counts.insert(key.clone(), 1),
        }
        true
    }

    /// Counts the end of a call.
    pub fn release(&mut self, key: &CallKey) {
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
        Self::new(DEFAULT_MAX_CALLS_PER_KEY)
    }
}
