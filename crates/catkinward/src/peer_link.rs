use super::*;
use crate::{
    peer_handshake::PeerIdentity,
    peer_socket::{self, PeerReceiver, PeerSender},
};
use tokio::{
    io::{AsyncRead, AsyncWrite},
    sync::oneshot,
};

/// Bound until a called peer has shown who it is.
const OPEN_BOUND: Duration = Duration::from_secs(1);

/// Messages that may wait to leave.
const QUEUE: usize = 1024;

/// Most messages that leave in one write.
const BATCH: usize = 256;

/// How long a connection that nobody uses is kept.
const IDLE_BOUND: Duration = Duration::from_secs(10);

/// A connection to a peer that this VM has opened.
pub(crate) struct PeerLink {
    /// Tells this connection from a later one to the same VM.
    pub(crate) serial: u64,
    tx: mpsc::Sender<Outgoing>,
}

struct Outgoing {
    body: PeerBody,
    then: Then,
}

/// What the sender of a message waits for.
enum Then {
    Flushed(oneshot::Sender<()>),
    Answer(oneshot::Sender<PeerBody>),
}

/// Serials of connections.
static SERIAL: AtomicU64 = AtomicU64::new(1);

impl PeerLink {
    /// Opens a connection. `on_message` gets what the peer sends without being asked; `on_end` is
    /// called when the connection is over.
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

    /// Sends a message and waits until the operating system has it.
    pub(crate) async fn send(&self, body: PeerBody, bound: Duration) -> Result<(), PeerError> {
        let (tx, rx) = oneshot::channel();
        self.queue(body, Then::Flushed(tx), rx, bound).await
    }

    /// Sends a question and waits for its answer.
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

/// Questions without an answer yet, by number.
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

/// Adds a message; progress of several generations becomes one.
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
