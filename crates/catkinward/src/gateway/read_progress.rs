use super::*;
use tokio::sync::mpsc;

/// Maximum duration of a full read, even if it makes progress.
const LONGEST_READ: Duration = Duration::from_secs(10);

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

/// Waits for a read as long as it makes progress at least every `bound`. A large table takes
/// seconds over a slow link; restarting the read after a fixed timeout would never complete it.
pub(crate) async fn while_it_progresses<T>(
    read: impl Future<Output = Result<FeedPage<T>, FeedError>>,
    mut parts: ReadParts<T>,
    bound: Duration,
    mut rows: impl FnMut(Vec<TableRow<T>>),
) -> Result<FeedPage<T>, FeedError> {
    let start = tokio::time::Instant::now();
    let mut until = start + bound;
    let mut read = std::pin::pin!(read);
    loop {
        tokio::select! {
            page = &mut read => return page,
            Some(part) = parts.recv() => {
                let now = tokio::time::Instant::now();
                until = (now + bound).min(start + LONGEST_READ.max(bound));
                if let ReadPart::Rows(page) = part {
                    rows(page);
                }
            }
            () = tokio::time::sleep_until(until) => return Err(FeedError::NoAnswer),
        }
    }
}
