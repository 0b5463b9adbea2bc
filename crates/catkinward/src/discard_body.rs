//! Reading the rest of a refused body. A connection that is closed with unread bytes is reset, and the response may be
//! lost.

use super::*;
use futures::StreamExt;
use http_body_util::BodyDataStream;

/// Time for which a refused body is read and discarded.
const MAX_DISCARD_TIME: Duration = Duration::from_secs(2);

/// Least that a part of a discarded body counts, in bytes: short parts take as long to read.
const MIN_PART_BYTES: usize = 256;

/// Reads and discards the rest of a refused body, up to `max_bytes`, in a task of its own.
pub fn discard_body<B>(body: B, headers: &HeaderMap, max_bytes: usize)
where
    B: http_body::Body<Data = Bytes> + Send + Unpin + 'static,
    B::Error: Send,
{
    // A caller that waits for an interim response would be invited to send its body.
    if body.is_end_stream() || headers.contains_key(header::EXPECT) {
        return;
    }
    tokio::spawn(async move {
        let reading = read_and_discard(body, max_bytes);
        let _ = tokio::time::timeout(MAX_DISCARD_TIME, reading).await;
    });
}

async fn read_and_discard(body: impl http_body::Body<Data = Bytes> + Unpin, max_bytes: usize) {
    let mut parts = BodyDataStream::new(body);
    let mut discarded = 0;
    while let Some(Ok(part)) = parts.next().await {
        discarded += part.len().max(MIN_PART_BYTES);
        if discarded > max_bytes {
            return;
        }
    }
}
