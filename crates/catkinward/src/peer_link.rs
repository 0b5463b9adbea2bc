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
const OPEN_BOUND: Duration = Duration::from_secs(1);

/// Capacity of the queue of outgoing messages.
const QUEUE: usize = 1024;

/// Maximum number of messages in one write.
const BATCH: usize = 256;

/// How long an unused connection stays open.
const IDLE_BOUND: Duration = Duration::from_secs(10);

/// A connection that this VM has opened to a peer.
pub(crate) struct PeerLink {
    /// Distinguishes this connection from later ones to the same VM.
    pub(crate) serial: u64,
    tx: mpsc::Sender<Outgoing>,
}

struct Outgoing {
    body: PeerBody,
    then: Then,
}

/// What the sender of a message is waiting for.
enum Then {
    Flushed(oneshot::Sender<()>),
    Answer(oneshot::Sender<PeerBody>),
}

/// Serial of the next connection.
static SERIAL: AtomicU64 = AtomicU64::new(1);

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
        let (sender, receiver) = tokio::time::timeout(OPEN_BOUND, open)
            .await
            .unwrap_or(Err(PeerError::Timeout))?;
        let (tx, rx) = mpsc::channel(QUEUE);
        let serial = SERIAL.fetch_add(1, Ordering::Relaxed);
        tokio::spawn(async move {
            let waiting = Mutex::new(Vec::new());
            tokio::select! {
                () = write(sender, rx, &waiting) => {}
                () = read(receiver, &waiting, on_message) => {}
            }
            on_end(serial);
        });
        Ok(Self { serial, tx })
    }

    /// Sends a message and waits until it has been written to the socket.
    pub(crate) async fn send(&self, body: PeerBody, bound: Duration) -> Result<(), PeerError> {
        let (tx, rx) = oneshot::channel();
        self.queue(body, Then::Flushed(tx), rx, bound).await
    }

    /// Sends a request and waits for its reply.
    pub(crate) async fn ask(&self, body: PeerBody, bound: Duration) -> Result<PeerBody, PeerError> {
        let (tx, rx) = oneshot::channel();
        self.queue(body, Then::Answer(tx), rx, bound).await
    }

    async fn queue<T>(
        &self,
        body: PeerBody,
        then: Then,
        rx: oneshot::Receiver<T>,
        bound: Duration,
    ) -> Result<T, PeerError> {
        let outgoing = Outgoing { body, then };
        self.tx.try_send(outgoing).map_err(|_| PeerError::Broken)?;
        match tokio::time::timeout(bound, rx).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(_)) => Err(PeerError::Broken),
            Err(_) => Err(PeerError::Timeout),
        }
    }
}

/// Requests that have not been answered yet, sorted by number.
type Waiting = Mutex<Vec<(u64, oneshot::Sender<PeerBody>)>>;

async fn write<S: AsyncRead + AsyncWrite + Unpin>(
    mut sender: PeerSender<S>,
    mut rx: mpsc::Receiver<Outgoing>,
    waiting: &Waiting,
) {
    let mut next_number = 1;
    let mut batch = Vec::with_capacity(BATCH);
    loop {
        let received = tokio::time::timeout(IDLE_BOUND, rx.recv_many(&mut batch, BATCH)).await;
        if !received.is_ok_and(|count| count > 0) {
            return;
        }
        let mut messages = Vec::with_capacity(batch.len());
        let mut flushed = Vec::new();
        for Outgoing { body, then } in batch.drain(..) {
            let number = match then {
                Then::Flushed(tx) => {
                    flushed.push(tx);
                    0
                }
                Then::Answer(tx) => {
                    let number = next_number;
                    next_number += 1;
                    let mut waiting = waiting.lock();
                    waiting.retain(|(_, tx)| !tx.is_closed());
                    waiting.push((number, tx));
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
    waiting: &Waiting,
    on_message: impl Fn(PeerBody),
) {
    while let Ok(PeerMessage { number, body, .. }) = receiver.receive().await {
        if number == 0 {
            on_message(body);
            continue;
        }
        let mut waiting = waiting.lock();
        if let Ok(i) = waiting.binary_search_by_key(&number, |(number, _)| *number) {
            let _ = waiting.remove(i).1.send(body);
        }
    }
}
