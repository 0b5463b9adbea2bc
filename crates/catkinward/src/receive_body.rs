//! Bodies of callers' requests, read into one buffer each.

use super::*;
use futures::{Stream, StreamExt};

/// Reason why the body of a request is refused. The request has not run and will not run.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, StdError, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum BodyRefusal {
    /// The body exceeds the size limit.
    #[display("the body exceeds the size limit")]
    TooLarge,
    /// The connection closed before the end of the body, or the body is malformed.
    #[display("the body is truncated or malformed")]
    Truncated,
    /// The body did not arrive within its time limit.
    #[display("the body did not arrive in time")]
    TimedOut,
}

/// Limits on one body.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    /// Maximum size of the body, in bytes.
    pub bytes: usize,
    /// Time for the whole body. Without one, a caller that sends its body byte by byte would hold a connection forever
    /// and delay the shutdown of the process.
    pub time: Duration,
}

/// Reads a body, of which the head of the request announced the size, or none.
///
/// # Errors
///
/// Returns why the body is refused.
pub async fn receive_body<E>(
    announced: Option<u64>,
    limits: BodyLimits,
    parts: impl Stream<Item = Result<Bytes, E>>,
) -> Result<Bytes, BodyRefusal> {
    let announced = announced.map(|bytes| usize::try_from(bytes).unwrap_or(usize::MAX));
    if announced.is_some_and(|bytes| bytes > limits.bytes) {
        return Err(BodyRefusal::TooLarge);
    }
    let reading = join_parts(announced, limits.bytes, parts);
    let read = tokio::time::timeout(limits.time, reading).await;
    read.unwrap_or(Err(BodyRefusal::TimedOut))
}

/// Size of the first buffer of a body whose size is not announced, in bytes.
const FIRST_BUFFER_BYTES: usize = 8 << 10;

/// Copies each part when it arrives: a part that is kept takes more memory than its bytes if it is short, and all parts
/// stand beside their copy when they are joined at the end.
async fn join_parts<E>(
    announced: Option<usize>,
    max_bytes: usize,
    parts: impl Stream<Item = Result<Bytes, E>>,
) -> Result<Bytes, BodyRefusal> {
    let mut parts = std::pin::pin!(parts);
    let mut body = Vec::with_capacity(announced.unwrap_or(FIRST_BUFFER_BYTES.min(max_bytes)));
    while let Some(part) = parts.next().await {
        let part = part.map_err(|_| BodyRefusal::Truncated)?;
        if body.len() + part.len() > max_bytes {
            return Err(BodyRefusal::TooLarge);
        }
        if body.len() + part.len() > body.capacity() {
            // Memory that is not written to takes none of the VM's. A buffer that grows step by step is copied.
            body.reserve_exact(max_bytes - body.len());
        }
        body.extend_from_slice(&part);
    }
    body.shrink_to_fit();
    Ok(body.into())
}
