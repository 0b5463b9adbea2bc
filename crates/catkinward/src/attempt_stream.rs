use super::*;
use crate::engine_event::{AttemptFault, EngineEvent};
use volo_http::client::sse::SseReader;

/// The events of one attempt over one connection.
pub(crate) struct AttemptStream {
    attempt: Attempt,
    reader: SseReader<Body>,
    unread: Option<EngineEvent>,
}

impl AttemptStream {
    /// Reads the events of an answer whose headers have come.
    ///
    /// # Errors
    ///
    /// If the answer is no event stream.
    pub(crate) fn new(attempt: Attempt, response: Response) -> Result<Self, AttemptFault> {
        Ok(Self {
            attempt,
            reader: SseReader::into_sse(response).map_err(|_| AttemptFault::Broken)?,
            unread: None,
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
    pub(crate) async fn next(&mut self, bound: Duration) -> Result<EngineEvent, AttemptFault> {
        if let Some(event) = self.unread.take() {
            return Ok(event);
        }
        let event = tokio::time::timeout(bound, self.reader.read())
            .await
            .map_err(|_| AttemptFault::Silent { bound })?
            .map_err(|_| AttemptFault::Broken)?
            .ok_or(AttemptFault::Broken)?;
        EngineEvent::read(event.event(), event.data().unwrap_or_default())
    }

    /// An event that has come already, if there is one.
    pub(crate) fn ready(&mut self) -> Option<Result<EngineEvent, AttemptFault>> {
        futures::FutureExt::now_or_never(self.next(Duration::MAX))
    }

    /// Waits for the first event that is more than a heartbeat and keeps it for [`Self::next`].
    ///
    /// # Errors
    ///
    /// As for [`Self::next`].
    pub(crate) async fn wait_for_progress(&mut self, bound: Duration) -> Result<(), AttemptFault> {
        loop {
            let event = self.next(bound).await?;
            if event != EngineEvent::Heartbeat {
                self.unread = Some(event);
                return Ok(());
            }
        }
    }
}
