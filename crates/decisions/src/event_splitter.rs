//! Cuts a stream of server-sent events into whole events.
//!
//! An upstream may die in the middle of an event. Only whole events may reach a caller, since what
//! goes on from another upstream begins with a whole one.

use super::*;

/// Largest event that is taken in.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// Cuts bytes into events. Each ends with an empty line, whose bytes belong to it.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    buf: Vec<u8>,
    /// Bytes of `buf` in which no end was found.
    searched: usize,
}

/// A whole event with its bytes as they came.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CompleteEvent {
    /// Its number, if it has one.
    pub id: Option<u64>,
    /// Its bytes, the empty line included.
    pub bytes: Vec<u8>,
}

impl EventSplitter {
    /// Takes in bytes.
    ///
    /// # Errors
    ///
    /// If an event grows beyond [`MAX_EVENT_BYTES`].
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), Error> {
        if self.buf.len() + bytes.len() > MAX_EVENT_BYTES {
            return Err(Error::EventTooLarge);
        }
        self.buf.extend_from_slice(bytes);
        Ok(())
    }

    /// The next whole event.
    pub fn next_event(&mut self) -> Option<CompleteEvent> {
        let Some(end) = event_end(&self.buf, self.searched) else {
            self.searched = self.buf.len().saturating_sub(3);
            return None;
        };
        self.searched = 0;
        let rest = self.buf.split_off(end);
        let bytes = std::mem::replace(&mut self.buf, rest);
        Some(CompleteEvent {
            id: event_id(&bytes),
            bytes,
        })
    }

    /// Whether part of an event is left over.
    #[must_use]
    pub fn has_part(&self) -> bool {
        !self.buf.is_empty()
    }
}

/// Where the first event ends: after an empty line, with either kind of line end.
fn event_end(buf: &[u8], from: usize) -> Option<usize> {
    (from..buf.len())
        .filter(|i| buf[*i] == b'\n')
        .find_map(|i| match (buf.get(i + 1), buf.get(i + 2)) {
            (Some(b'\n'), _) => Some(i + 2),
            (Some(b'\r'), Some(b'\n')) => Some(i + 3),
            _ => None,
        })
}

fn event_id(bytes: &[u8]) -> Option<u64> {
    bytes
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))
        .and_then(|value| std::str::from_utf8(value).ok())
        .and_then(|value| value.trim().parse().ok())
}
