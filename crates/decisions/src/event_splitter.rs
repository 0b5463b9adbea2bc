//! Splits a stream of server-sent events into complete events.
//!
//! An upstream may crash in the middle of an event. Only complete events are forwarded to the
//! caller, because the upstream that resumes the stream starts with a complete event.

use super::*;

/// Maximum size of an event, in bytes.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// Splits received bytes into events. An event includes the empty line that terminates it.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    buf: Vec<u8>,
    /// Length of the prefix of `buf` that holds no end of an event, so it is not searched again.
    searched_len: usize,
}

/// A complete event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CompleteEvent {
    /// Value of the `id` field; `None` if it is absent or not a number.
    pub id: Option<u64>,
    /// The bytes as received, including the terminating empty line.
    pub bytes: Vec<u8>,
}

impl EventSplitter {
    /// Appends received bytes.
    ///
    /// # Errors
    ///
    /// Fails if the buffered bytes exceed [`MAX_EVENT_BYTES`].
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), Error> {
        if self.buf.len() + bytes.len() > MAX_EVENT_BYTES {
            return Err(Error::EventTooLarge);
        }
        self.buf.extend_from_slice(bytes);
        Ok(())
    }

    /// Removes and returns the next complete event.
    pub fn next_event(&mut self) -> Option<CompleteEvent> {
        let Some(end) = event_end(&self.buf, self.searched_len) else {
            self.searched_len = self.buf.len().saturating_sub(3);
            return None;
        };
        self.searched_len = 0;
        let rest = self.buf.split_off(end);
        let bytes = std::mem::replace(&mut self.buf, rest);
        Some(CompleteEvent {
            id: event_id(&bytes),
            bytes,
        })
    }

    /// Number of bytes that are buffered.
    #[must_use]
    pub fn buffered_len(&self) -> usize {
        self.buf.len()
    }

    /// Whether an incomplete event is buffered.
    #[must_use]
    pub fn has_incomplete_event(&self) -> bool {
        !self.buf.is_empty()
    }
}

/// Returns the end of the first event, after its empty line. Lines end with LF or CRLF.
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
