use super::*;
use tokio::sync::mpsc;

/// Sender for the progress of a read: a message for each part of a response that arrives.
pub type ReadProgress = mpsc::UnboundedSender<()>;

/// Waits for a read for at most `max_time`, as long as it makes progress at least every `idle_timeout`. A
/// large response takes seconds over a slow link; restarting the read after a fixed timeout would never
/// complete it.
pub(crate) async fn wait_while_progressing<R>(
    read: impl Future<Output = Result<R, FeedError>>,
    mut received: mpsc::UnboundedReceiver<()>,
    idle_timeout: Duration,
    max_time: Duration,
) -> Result<R, FeedError> {
    let start = tokio::time::Instant::now();
    let mut deadline = start + idle_timeout;
    let mut read = std::pin::pin!(read);
    loop {
        tokio::select! {
            page = &mut read => return page,
            Some(()) = received.recv() => {
                let now = tokio::time::Instant::now();
                deadline = (now + idle_timeout).min(start + max_time.max(idle_timeout));
            }
            () = tokio::time::sleep_until(deadline) => return Err(FeedError::NoAnswer),
        }
    }
}
