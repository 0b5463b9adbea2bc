use super::*;
use tokio::sync::mpsc;

/// Maximum duration of a full read, even if it makes progress.
const MAX_READ_TIME: Duration = Duration::from_secs(10);

/// Progress of a full read.
#[derive(Clone, Debug, PartialEq)]
pub enum ReadPart<T> {
    /// Some bytes of a response were received.
    Bytes,
    /// Rows of a page that is not the last one.
    Rows(Vec<TableRow<T>>),
}

/// Sender for the progress of a full read.
pub type ReadProgress<T> = mpsc::UnboundedSender<ReadPart<T>>;

/// Receiver for the progress of a full read.
pub(crate) type ReadParts<T> = mpsc::UnboundedReceiver<ReadPart<T>>;

/// Waits for a read as long as it makes progress at least every `idle_timeout`. A large table takes
/// seconds over a slow link; restarting the read after a fixed timeout would never complete it.
pub(crate) async fn wait_while_progressing<T>(
    read: impl Future<Output = Result<FeedPage<T>, FeedError>>,
    mut parts: ReadParts<T>,
    idle_timeout: Duration,
    mut rows: impl FnMut(Vec<TableRow<T>>),
) -> Result<FeedPage<T>, FeedError> {
    let start = tokio::time::Instant::now();
    let mut deadline = start + idle_timeout;
    let mut read = std::pin::pin!(read);
    loop {
        tokio::select! {
            page = &mut read => return page,
            Some(part) = parts.recv() => {
                let now = tokio::time::Instant::now();
                deadline = (now + idle_timeout).min(start + MAX_READ_TIME.max(idle_timeout));
                if let ReadPart::Rows(page) = part {
                    rows(page);
                }
            }
            () = tokio::time::sleep_until(deadline) => return Err(FeedError::NoAnswer),
        }
    }
}
