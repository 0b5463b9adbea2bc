use super::*;
use std::io;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{ReadHalf, WriteHalf},
    },
    sync::mpsc,
    time::Instant,
};

/// Maximum number of delayed chunks buffered for one direction of a connection.
const MAX_BUFFERED_CHUNKS: usize = 256;

/// Route of the fault-injecting proxy: a listening address in front of one upstream. Until the route has a target,
/// its connections wait.
pub(crate) struct ProxyRoute {
    address: SocketAddr,
    forwarded_bytes: Arc<AtomicU64>,
    state: watch::Sender<RouteState>,
}

#[derive(Clone, Copy, Debug, Default)]
struct RouteState {
    target: Option<SocketAddr>,
    fault: ProxyFault,
    delay: Duration,
    /// Count of `Silence` faults; connections opened at a lower count forward nothing more.
    silences: u64,
    /// Count of `Reset` faults; connections opened at a lower count are reset.
    resets: u64,
    /// Count of `HalfOpen` faults; connections opened at a lower count lose their upstream side.
    half_opens: u64,
}

/// How a connection through the proxy ended.
enum ConnectionEnd {
    Closed,
    HalfOpen,
    Reset,
}

#[derive(Clone, Copy, PartialEq)]
enum Direction {
    Up,
    Down,
}

impl ProxyRoute {
    pub(crate) async fn open(target: Option<SocketAddr>) -> std::io::Result<Self> {
        let listener = TcpListener::bind((std::net::Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let state = watch::Sender::new(RouteState {
            target,
            ..RouteState::default()
        });
        let forwarded_bytes = Arc::new(AtomicU64::new(0));
        tokio::spawn(accept(listener, state.subscribe(), forwarded_bytes.clone()));
        Ok(Self {
            address,
            forwarded_bytes,
            state,
        })
    }

    /// Returns the number of bytes forwarded, both directions together.
    pub(crate) fn forwarded_bytes(&self) -> u64 {
        self.forwarded_bytes.load(Ordering::Relaxed)
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(crate) fn set_target(&self, target: SocketAddr) {
        self.state.send_modify(|state| state.target = Some(target));
    }

    pub(crate) fn inject(&self, fault: ProxyFault, delay: Duration) {
        self.state.send_modify(|state| match fault {
            ProxyFault::Silence => state.silences += 1,
            ProxyFault::Reset => state.resets += 1,
            ProxyFault::HalfOpen => state.half_opens += 1,
            _ => (state.fault, state.delay) = (fault, delay),
        });
    }
}

async fn accept(
    listener: TcpListener,
    state: watch::Receiver<RouteState>,
    forwarded_bytes: Arc<AtomicU64>,
) {
    while let Ok((caller, _)) = listener.accept().await {
        if state.borrow().fault == ProxyFault::Refuse {
            let _ = caller.set_zero_linger();
            continue;
        }
        tokio::spawn(serve_connection(
            caller,
            state.clone(),
            forwarded_bytes.clone(),
        ));
    }
}

async fn serve_connection(
    mut caller: TcpStream,
    mut state: watch::Receiver<RouteState>,
    forwarded_bytes: Arc<AtomicU64>,
) {
    let opened = *state.borrow();
    let reachable =
        |state: &RouteState| state.fault != ProxyFault::BlackHole && state.target.is_some();
    let target = match state.wait_for(reachable).await {
        Ok(state) => state.target,
        Err(_) => return,
    };
    let Some(target) = target else { return };
    let Ok(mut upstream) = TcpStream::connect(target).await else {
        let _ = caller.set_zero_linger();
        return;
    };
    let _ = (caller.set_nodelay(true), upstream.set_nodelay(true));
    match forward(&mut caller, &mut upstream, opened, &state, &forwarded_bytes).await {
        ConnectionEnd::Closed => {}
        ConnectionEnd::Reset => {
            let _ = (caller.set_zero_linger(), upstream.set_zero_linger());
        }
        ConnectionEnd::HalfOpen => {
            let _ = upstream.set_zero_linger();
            drop(upstream);
            let _ = tokio::io::copy(&mut caller, &mut tokio::io::sink()).await;
        }
    }
}

async fn forward(
    caller: &mut TcpStream,
    upstream: &mut TcpStream,
    opened: RouteState,
    state: &watch::Receiver<RouteState>,
    forwarded_bytes: &Arc<AtomicU64>,
) -> ConnectionEnd {
    let (caller_rx, caller_tx) = caller.split();
    let (upstream_rx, upstream_tx) = upstream.split();
    let forwarder = |direction| Forwarder {
        direction,
        opened,
        state: state.clone(),
        forwarded_bytes: forwarded_bytes.clone(),
    };
    let up = forwarder(Direction::Up).copy(caller_rx, upstream_tx);
    let down = forwarder(Direction::Down).copy(upstream_rx, caller_tx);
    let changed = |count: fn(&RouteState) -> u64| {
        let mut state = state.clone();
        async move {
            let _ = state.wait_for(|now| count(now) != count(&opened)).await;
        }
    };
    tokio::select! {
        result = async { tokio::try_join!(up, down) } => match result {
            Ok(_) => ConnectionEnd::Closed,
            Err(_) => ConnectionEnd::Reset,
        },
        () = changed(|state| state.resets) => ConnectionEnd::Reset,
        () = changed(|state| state.half_opens) => ConnectionEnd::HalfOpen,
    }
}

/// Bytes of a connection, or how it broke, with the time at which the other end gets them.
type Chunk = (Instant, io::Result<Bytes>);

/// Forwards one direction of a connection.
struct Forwarder {
    direction: Direction,
    opened: RouteState,
    state: watch::Receiver<RouteState>,
    forwarded_bytes: Arc<AtomicU64>,
}

impl Forwarder {
    async fn copy(self, rx: ReadHalf<'_>, tx: WriteHalf<'_>) -> io::Result<()> {
        let (chunk_tx, chunk_rx) = mpsc::channel(MAX_BUFFERED_CHUNKS);
        tokio::try_join!(self.read(rx, chunk_tx), write(tx, chunk_rx)).map(|_| ())
    }

    async fn read(mut self, mut rx: ReadHalf<'_>, tx: mpsc::Sender<Chunk>) -> io::Result<()> {
        let mut buf = vec![0; 16 * 1024];
        loop {
            let read = rx.read(&mut buf).await;
            self.wait_until_open().await;
            let RouteState { fault, delay, .. } = *self.state.borrow();
            let chunk = match read {
                Ok(0) => return Ok(()),
                Ok(_) if fault == ProxyFault::LoseAnswers && self.direction == Direction::Down => {
                    return Err(io::ErrorKind::ConnectionReset.into());
                }
                Ok(n) => Ok(Bytes::copy_from_slice(&buf[..n])),
                Err(error) => Err(error),
            };
            let (size, is_last) = (chunk.as_ref().map_or(0, Bytes::len), chunk.is_err());
            self.forwarded_bytes
                .fetch_add(u64::try_from(size).unwrap_or(0), Ordering::Relaxed);
            let due = match fault {
                ProxyFault::Delay => Instant::now() + delay,
                _ => Instant::now(),
            };
            if tx.send((due, chunk)).await.is_err() || is_last {
                return Ok(());
            }
        }
    }

    /// Waits while this direction is blocked; forever if the connection has been silenced.
    async fn wait_until_open(&mut self) {
        let (direction, silences) = (self.direction, self.opened.silences);
        let open = self.state.wait_for(|state| {
            let blocked = match state.fault {
                ProxyFault::BlackHole => true,
                ProxyFault::CutUp => direction == Direction::Up,
                ProxyFault::CutDown => direction == Direction::Down,
                _ => false,
            };
            !blocked && state.silences == silences
        });
        let _ = open.await;
    }
}

/// Writes chunks when they are due. A connection that broke is reset only after everything that was sent
/// before has arrived. A failed write does not end the other direction, whose bytes are still under way.
async fn write(mut tx: WriteHalf<'_>, mut chunks: mpsc::Receiver<Chunk>) -> io::Result<()> {
    while let Some((due, chunk)) = chunks.recv().await {
        tokio::time::sleep_until(due).await;
        if tx.write_all(&chunk?).await.is_err() {
            return Ok(());
        }
    }
    let _ = tx.shutdown().await;
    Ok(())
}
