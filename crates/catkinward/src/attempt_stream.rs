use super::*;
use crate::engine_event::{AttemptError, EngineEvent};
use std::pin::Pin;
use tokio::time::{Instant, Sleep};
use volo_http::client::sse::{SseEvent, SseReader};

/// Event stream of one attempt over one connection.
pub(crate) struct AttemptStream {
    attempt: Attempt,
    reader: SseReader<Body>,
    buffered: Option<EngineEvent>,
    /// Wakes the reader to check whether the stream is silent. It is reset only when it fires,
    /// because setting a timer for each token costs more than reading the token.
    silence_check: Pin<Box<Sleep>>,
}

/// Result of reading from the event stream of the HTTP library.
type ReadEvent = Result<Option<SseEvent>, volo_http::error::BoxError>;

impl AttemptStream {
    /// Reads the events of a response whose headers have been received.
    ///
    /// # Errors
    ///
    /// If the response is not an event stream.
    pub(crate) fn new(attempt: Attempt, response: Response) -> Result<Self, AttemptError> {
        Ok(Self {
            attempt,
            reader: SseReader::into_sse(response).map_err(|_| AttemptError::Broken)?,
            buffered: None,
            silence_check: Box::pin(tokio::time::sleep(Duration::ZERO)),
        })
    }

    /// Returns the number of the attempt that sends these events.
    pub(crate) fn attempt(&self) -> Attempt {
        self.attempt
    }

    /// Waits for the next event.
    ///
    /// # Errors
    ///
    /// If none arrives within `timeout`, the stream is interrupted, or an event cannot be parsed.
    pub(crate) async fn next(&mut self, timeout: Duration) -> Result<EngineEvent, AttemptError> {
        if let Some(event) = self.buffered.take() {
            return Ok(event);
        }
        let deadline = Instant::now() + timeout;
        loop {
            tokio::select! {
                biased;
                read = self.reader.read() => return parse_event(read),
                () = &mut self.silence_check => {
                    if Instant::now() >= deadline {
                        return Err(AttemptError::Silent { timeout });
                    }
                    self.silence_check.as_mut().reset(deadline);
                }
            }
        }
    }

    /// Returns an event that has already arrived, if any, without waiting.
    pub(crate) fn try_next(&mut self) -> Option<Result<EngineEvent, AttemptError>> {
        if let Some(event) = self.buffered.take() {
            return Some(Ok(event));
        }
        futures::FutureExt::now_or_never(self.reader.read()).map(parse_event)
    }

    /// Waits for the first event other than a heartbeat and buffers it for [`Self::next`].
    ///
    /// # Errors
    ///
    /// As for [`Self::next`].
    pub(crate) async fn wait_for_progress(
        &mut self,
        timeout: Duration,
    ) -> Result<(), AttemptError> {
        loop {
            let event = self.next(timeout).await?;
            if event != EngineEvent::Heartbeat {
                self.buffered = Some(event);
                return Ok(());
            }
        }
    }
}

fn parse_event(read: ReadEvent) -> Result<EngineEvent, AttemptError> {
    let event = read.ok().flatten().ok_or(AttemptError::Broken)?;
    EngineEvent::parse(event.event(), event.data().unwrap_or_default())
}
