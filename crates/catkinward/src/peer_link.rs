use super::*;
use crate::{
    peer_handshake::PeerIdentity,
    peer_socket::{self, PeerReceiver, PeerSender},
};
use tokio::{
    io::{AsyncRead, AsyncWrite},
    sync::oneshot,
};

/// Timeout of opening a connection, including the handshake.
const OPEN_TIMEOUT: Duration = Duration::from_secs(1);

/// Capacity of the queue of outgoing messages.
const QUEUE_CAPACITY: usize = 1024;

/// Maximum number of messages in one write.
const MAX_BATCH: usize = 256;

/// How long an unused connection stays open.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// A connection that this VM has opened to a peer.
pub(crate) struct PeerLink {
    /// Distinguishes this connection from later ones to the same VM.
    pub(crate) serial: u64,
    tx: mpsc::Sender<Outgoing>,
    /// Time of the first request since the last reply.
    unanswered_since: Arc<UnansweredSince>,
}

type UnansweredSince = Mutex<Option<tokio::time::Instant>>;

struct Outgoing {
    body: PeerBody,
    completion: Completion,
}

/// What the sender of a message is waiting for.
enum Completion {
    Flushed(oneshot::Sender<()>),
    Reply(oneshot::Sender<PeerBody>),
}

/// Serial of the next connection.
static NEXT_SERIAL: AtomicU64 = AtomicU64::new(1);

impl PeerLink {
    /// Opens a connection. `on_message` gets the messages that are not replies; `on_end` is called
    /// with the serial when the connection has closed.
    pub(crate) async fn open(
        peer: &PeerEntry,
        identity: &PeerIdentity,
        clock: &Arc<ProcessClock>,
        sent: &Arc<AtomicU64>,
        on_message: impl Fn(PeerBody) + Send + 'static,
        on_end: impl FnOnce(u64) + Send + 'static,
    ) -> Result<Self, PeerError> {
        let open = async {
            let (mut tx, mut rx) = peer_socket::connect(peer.address, clock, sent).await?;
            identity.call(&peer.vm, &mut tx, &mut rx).await?;
            Ok((tx, rx))
        };
        let (sender, receiver) = tokio::time::timeout(OPEN_TIMEOUT, open)
            .await
            .unwrap_or(Err(PeerError::Timeout))?;
        let (tx, rx) = mpsc::channel(QUEUE_CAPACITY);
        let serial = NEXT_SERIAL.fetch_add(1, Ordering::Relaxed);
        let unanswered_since = Arc::<UnansweredSince>::default();
        let unanswered = unanswered_since.clone();
        tokio::spawn(async move {
            let pending = Mutex::new(Vec::new());
            tokio::select! {
                () = write(sender, rx, &pending) => {}
                () = read(receiver, &pending, &unanswered, on_message) => {}
            }
            on_end(serial);
        });
        Ok(Self {
            serial,
            tx,
            unanswered_since,
        })
    }

    /// Returns whether a request has been waiting for longer than `max_silence` and no reply to any has
    /// arrived since.
    pub(crate) fn is_silent_for(&self, max_silence: Duration) -> bool {
        let since = *self.unanswered_since.lock();
        since.is_some_and(|since| since.elapsed() > max_silence)
    }

    /// Sends a message and waits until it has been written to the socket.
    pub(crate) async fn send(&self, body: PeerBody, max_wait: Duration) -> Result<(), PeerError> {
        let written = self.start_sending(body)?;
        wait_for(written, max_wait).await
    }

    /// Queues a message. The receiver is notified when it has been written to the socket.
    pub(crate) fn start_sending(&self, body: PeerBody) -> Result<oneshot::Receiver<()>, PeerError> {
        let (tx, rx) = oneshot::channel();
        self.queue(body, Completion::Flushed(tx))?;
        Ok(rx)
    }

    /// Sends a request and waits for its reply.
    pub(crate) async fn request(
        &self,
        body: PeerBody,
        max_wait: Duration,
    ) -> Result<PeerBody, PeerError> {
        let (tx, rx) = oneshot::channel();
        let now = tokio::time::Instant::now();
        self.unanswered_since.lock().get_or_insert(now);
        self.queue(body, Completion::Reply(tx))?;
        wait_for(rx, max_wait).await
    }

    fn queue(&self, body: PeerBody, completion: Completion) -> Result<(), PeerError> {
        let outgoing = Outgoing { body, completion };
        self.tx.try_send(outgoing).map_err(|_| PeerError::Broken)
    }
}

async fn wait_for<T>(rx: oneshot::Receiver<T>, max_wait: Duration) -> Result<T, PeerError> {
    match tokio::time::timeout(max_wait, rx).await {
        Ok(Ok(reply)) => Ok(reply),
        Ok(Err(_)) => Err(PeerError::Broken),
        Err(_) => Err(PeerError::Timeout),
    }
}

/// Requests that have not been answered yet, sorted by number.
type PendingRequests = Mutex<Vec<(u64, oneshot::Sender<PeerBody>)>>;

async fn write<S: AsyncRead + AsyncWrite + Unpin>(
    mut sender: PeerSender<S>,
    mut rx: mpsc::Receiver<Outgoing>,
    pending: &PendingRequests,
) {
    let mut next_number = 1;
    let mut batch = Vec::with_capacity(MAX_BATCH);
    loop {
        let received =
            tokio::time::timeout(IDLE_TIMEOUT, rx.recv_many(&mut batch, MAX_BATCH)).await;
        if !received.is_ok_and(|count| count > 0) {
            return;
        }
        let mut messages = Vec::with_capacity(batch.len());
        let mut flushed = Vec::new();
        for Outgoing { body, completion } in batch.drain(..) {
            let number = match completion {
                Completion::Flushed(tx) => {
                    flushed.push(tx);
                    0
                }
                Completion::Reply(tx) => {
                    let number = next_number;
                    next_number += 1;
                    let mut pending = pending.lock();
                    pending.retain(|(_, tx)| !tx.is_closed());
                    pending.push((number, tx));
                    number
                }
            };
            push_message(&mut messages, number, body);
        }
        if sender.send(messages).await.is_err() {
            return;
        }
        for tx in flushed {
            let _ = tx.send(());
        }
    }
}

/// Adds a message; consecutive progress updates are combined into one message.
fn push_message(messages: &mut Vec<(u64, PeerBody)>, number: u64, body: PeerBody) {
    match (messages.last_mut(), body) {
        (Some((0, PeerBody::Progress(before))), PeerBody::Progress(more)) if number == 0 => {
            before.extend(more);
        }
        (_, body) => messages.push((number, body)),
    }
}

async fn read<S: AsyncRead + AsyncWrite + Unpin>(
    mut receiver: PeerReceiver<S>,
    pending: &PendingRequests,
    unanswered_since: &UnansweredSince,
    on_message: impl Fn(PeerBody),
) {
    while let Ok(PeerMessage { number, body, .. }) = receiver.receive().await {
        if number == 0 {
            on_message(body);
            continue;
        }
        *unanswered_since.lock() = None;
        let mut pending = pending.lock();
        if let Ok(i) = pending.binary_search_by_key(&number, |(number, _)| *number) {
            let _ = pending.remove(i).1.send(body);
        }
    }
}
