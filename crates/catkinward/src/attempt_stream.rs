use super::*;
use crate::engine_event::{AttemptError, EngineEvent};
use std::pin::Pin;
use tokio::time::{Instant, Sleep};
use volo_http::client::sse::{SseEvent, SseReader};

/// The events of one attempt over one connection.
pub(crate) struct AttemptStream {
    attempt: Attempt,
    reader: SseReader<Body>,
    unread: Option<EngineEvent>,
    /// Wakes the reader to look whether the stream is silent. It is set anew only when it fires:
    /// to set a timer for each token costs more than to read the token.
    look: Pin<Box<Sleep>>,
}

/// What reading from the library's event stream gives.
type ReadEvent = Result<Option<SseEvent>, volo_http::error::BoxError>;

impl AttemptStream {
    /// Reads the events of an answer whose headers have come.
    ///
    /// # Errors
    ///
    /// If the answer is no event stream.
    pub(crate) fn new(attempt: Attempt, response: Response) -> Result<Self, AttemptError> {
        Ok(Self {
            attempt,
            reader: SseReader::into_sse(response).map_err(|_| AttemptError::Broken)?,
            unread: None,
            look: Box::pin(tokio::time::sleep(Duration::ZERO)),
        })
    }

    /// The attempt whose events these are.
    pub(crate) fn attempt(&self) -> Attempt {
        self.attempt
    }

    /// The next event.
    ///
    /// # Errors
    ///
    /// If none comes within `bound`, the stream breaks off, or an event cannot be read.
    pub(crate) async fn next(&mut self, bound: Duration) -> Result<EngineEvent, AttemptError> {
        if let Some(event) = self.unread.take() {
            return Ok(event);
        }
        let silent_at = Instant::now() + bound;
        loop {
            tokio::select! {
                biased;
                read = self.reader.read() => return read_event(read),
                () = &mut self.look => {
                    if Instant::now() >= silent_at {
                        return Err(AttemptError::Silent { bound });
                    }
                    self.look.as_mut().reset(silent_at);
                }
            }
        }
    }

    /// An event that has come already, if there is one.
    pub(crate) fn ready(&mut self) -> Option<Result<EngineEvent, AttemptError>> {
        if let Some(event) = self.unread.take() {
            return Some(Ok(event));
        }
        futures::FutureExt::now_or_never(self.reader.read()).map(read_event)
    }

    /// Waits for the first event that is more than a heartbeat and keeps it for [`Self::next`].
    ///
    /// # Errors
    ///
    /// As for [`Self::next`].
    pub(crate) async fn wait_for_progress(&mut self, bound: Duration) -> Result<(), AttemptError> {
        loop {
            let event = self.next(bound).await?;
            if event != EngineEvent::Heartbeat {
                self.unread = Some(event);
                return Ok(());
            }
        }
    }
}

fn read_event(read: ReadEvent) -> Result<EngineEvent, AttemptError> {
    let event = read.ok().flatten().ok_or(AttemptError::Broken)?;
    EngineEvent::read(event.event(), event.data().unwrap_or_default())
}
