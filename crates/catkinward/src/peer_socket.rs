use super::*;
use futures::{
    SinkExt, StreamExt,
    stream::{SplitSink, SplitStream},
};
use tokio::net::TcpStream;
use tokio_tungstenite::{
    MaybeTlsStream, WebSocketStream,
    tungstenite::{Message, protocol::WebSocketConfig},
};

/// Maximum size of a message between VMs, in bytes. It fits the progress replica of a very long
/// response.
const MAX_MESSAGE_BYTES: usize = 8 * 1024 * 1024;

/// Timeout of writing messages. The connection to a peer that does not read for this long is
/// closed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// Write half of a connection between VMs.
pub(crate) struct PeerSender<S> {
    sink: SplitSink<WebSocketStream<S>, Message>,
    clock: Arc<ProcessClock>,
    sent: Arc<AtomicU64>,
}

/// Read half of a connection between VMs.
pub(crate) struct PeerReceiver<S> {
    stream: SplitStream<WebSocketStream<S>>,
    clock: Arc<ProcessClock>,
}

/// Both halves of a connection between VMs.
pub(crate) type PeerSocket<S> = (PeerSender<S>, PeerReceiver<S>);

fn config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MAX_MESSAGE_BYTES))
        .max_frame_size(Some(MAX_MESSAGE_BYTES))
}

fn split<S>(
    socket: WebSocketStream<S>,
    clock: &Arc<ProcessClock>,
    sent: &Arc<AtomicU64>,
) -> PeerSocket<S>
where
    S: tokio::io::AsyncRead + tokio::io::AsyncWrite + Unpin,
{
    let (sink, stream) = socket.split();
    let sender = PeerSender {
        sink,
        clock: clock.clone(),
        sent: sent.clone(),
    };
    let receiver = PeerReceiver {
        stream,
        clock: clock.clone(),
    };
    (sender, receiver)
}

/// Connects to a peer.
pub(crate) async fn connect(
    address: SocketAddr,
    clock: &Arc<ProcessClock>,
    sent: &Arc<AtomicU64>,
) -> Result<PeerSocket<MaybeTlsStream<TcpStream>>, PeerError> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(|_| PeerError::Broken)?;
    // Progress must be sent without delay: a token is released to the caller only after that.
    let _ = stream.set_nodelay(true);
    let (socket, _) = tokio_tungstenite::client_async_with_config(
        format!("ws://{address}/"),
        MaybeTlsStream::Plain(stream),
        Some(config()),
    )
    .await
    .map_err(|_| PeerError::Broken)?;
    Ok(split(socket, clock, sent))
}

/// Accepts the connection of a peer.
pub(crate) async fn accept(
    stream: TcpStream,
    clock: &Arc<ProcessClock>,
    sent: &Arc<AtomicU64>,
) -> Result<PeerSocket<TcpStream>, PeerError> {
    let _ = stream.set_nodelay(true);
    let socket = tokio_tungstenite::accept_async_with_config(stream, Some(config()))
        .await
        .map_err(|_| PeerError::Broken)?;
    Ok(split(socket, clock, sent))
}

impl<S> PeerSender<S>
where
    S: tokio::io::AsyncRead + tokio::io::AsyncWrite + Unpin,
{
    /// Writes messages to the socket in order and flushes once, so that they need few writes.
    pub(crate) async fn send(&mut self, bodies: Vec<(u64, PeerBody)>) -> Result<(), PeerError> {
        let write = async {
            for (number, body) in bodies {
                let time = self.clock.tick();
                let message = PeerMessage {
                    number,
                    clock: (time.micros, time.count),
                    body,
                };
                let bytes = message.to_bytes();
                let size = u64::try_from(bytes.len()).unwrap_or(u64::MAX);
                self.sent.fetch_add(size, Ordering::Relaxed);
                self.sink.feed(Message::Binary(bytes)).await?;
            }
            self.sink.flush().await
        };
        match tokio::time::timeout(WRITE_TIMEOUT, write).await {
            Ok(sent) => sent.map_err(|_| PeerError::Broken),
            Err(_) => Err(PeerError::Timeout),
        }
    }
}

impl<S> PeerReceiver<S>
where
    S: tokio::io::AsyncRead + tokio::io::AsyncWrite + Unpin,
{
    /// Receives the next message.
    pub(crate) async fn receive(&mut self) -> Result<PeerMessage, PeerError> {
        loop {
            let message = self.stream.next().await;
            match message
                .ok_or(PeerError::Broken)?
                .map_err(|_| PeerError::Broken)?
            {
                Message::Binary(bytes) => {
                    let message = PeerMessage::from_bytes(&bytes)?;
                    let (micros, count) = message.clock;
                    self.clock.observe(HybridTime { micros, count });
                    return Ok(message);
                }
                Message::Ping(_) | Message::Pong(_) => {}
                Message::Text(_) | Message::Close(_) | Message::Frame(_) => {
                    return Err(PeerError::Form);
                }
            }
        }
    }

    /// Receives the next message, with a timeout.
    pub(crate) async fn receive_within(
        &mut self,
        max_wait: Duration,
    ) -> Result<PeerMessage, PeerError> {
        tokio::time::timeout(max_wait, self.receive())
            .await
            .unwrap_or(Err(PeerError::Timeout))
    }
}
