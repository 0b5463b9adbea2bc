use super::*;
use tokio::sync::mpsc;

/// Longest time that a whole read may take, however it progresses.
const LONGEST_READ: Duration = Duration::from_secs(10);

/// A part of a whole read that has come.
#[derive(Clone, Debug, PartialEq)]
pub enum ReadPart<T> {
    /// Bytes of an answer.
    Bytes,
    /// Rows of a page, with more to come.
    Rows(Vec<TableRow<T>>),
}

/// Where a whole read shows its parts.
pub type ReadProgress<T> = mpsc::UnboundedSender<ReadPart<T>>;

/// The parts of a whole read.
pub(crate) type ReadParts<T> = mpsc::UnboundedReceiver<ReadPart<T>>;

/// Waits for a read for as long as its parts come within `bound` of each other. A large table takes seconds over a
/// small link; read anew from its start each time, it would never be there.
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
