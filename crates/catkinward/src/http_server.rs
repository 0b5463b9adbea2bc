//! The HTTP server's listening socket and its limits.

use super::*;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
};
use volo::net::{MakeIncoming, conn::Conn, incoming::Incoming};

/// Wait after an accept that failed. Without it the library's loop would spin a core while the
/// process is out of file descriptors, and the requests in flight would get no time to end.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// How long a new connection may take to send the headers of its first request.
const HEADERS_BOUND: Duration = Duration::from_secs(10);

/// Longest headers that are waited for, in bytes; the library refuses longer ones.
const HEADERS_LIMIT: usize = 16 * 1024;

/// Connections that may wait for their headers at once.
const MOST_WAITING: usize = 1024;

/// A bound listening socket, for [`volo_http::server::Server::run`].
#[derive(Debug)]
pub struct Listener {
    listener: TcpListener,
}

/// Connections whose first request has come.
#[derive(Debug)]
pub struct ReadyConnections {
    rx: mpsc::Receiver<TcpStream>,
}

impl Listener {
    /// Binds an address; port 0 takes a free one.
    ///
    /// # Errors
    ///
    /// If the address cannot be had.
    pub async fn bind(address: SocketAddr) -> Result<Self> {
        let listener = TcpListener::bind(address)
            .await
            .map_err(|source| Error::Listen { address, source })?;
        Ok(Self { listener })
    }

    /// The address it is bound to.
    ///
    /// # Errors
    ///
    /// If the system does not tell.
    pub fn address(&self) -> Result<SocketAddr> {
        self.listener.local_addr().map_err(|source| Error::Listen {
            address: SocketAddr::from(([0, 0, 0, 0], 0)),
            source,
        })
    }
}

impl MakeIncoming for Listener {
    type Incoming = ReadyConnections;

    async fn make_incoming(self) -> io::Result<ReadyConnections> {
        let (tx, rx) = mpsc::channel(1);
        tokio::spawn(accept_connections(self.listener, tx));
        Ok(ReadyConnections { rx })
    }
}

impl Incoming for ReadyConnections {
    async fn accept(&mut self) -> io::Result<Option<Conn>> {
        match self.rx.recv().await {
            Some(stream) => Ok(Some(Conn::from(stream))),
            // The library would call again at once, for ever.
            None => std::future::pending().await,
        }
    }
}

/// Accepts until the server is gone, and hands on each connection once its first request is there.
///
/// The library sets no time-out on headers: a caller that sends them byte by byte, or nothing at
/// all, would hold a connection for good, and enough of them all file descriptors. One would notice
/// it by other callers who cannot connect.
async fn accept_connections(listener: TcpListener, tx: mpsc::Sender<TcpStream>) {
    let places = Arc::new(Semaphore::new(MOST_WAITING));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = tx.closed() => return,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(fault) => {
                tracing::warn!(%fault, "accept failed");
                tokio::time::sleep(ACCEPT_BACKOFF).await;
                continue;
            }
        };
        // Small events must not wait for one another.
        let _ = stream.set_nodelay(true);
        let Ok(place) = places.clone().acquire_owned().await else {
            return;
        };
        let tx = tx.clone();
        tokio::spawn(async move {
            let waited = tokio::time::timeout(HEADERS_BOUND, wait_for_headers(&stream)).await;
            drop(place);
            if waited.is_ok_and(|came| came) {
                let _ = tx.send(stream).await;
            }
        });
    }
}

/// Waits until the headers of a request can be read, without taking them; false if the other end
/// has closed.
async fn wait_for_headers(stream: &TcpStream) -> bool {
    let mut buf = vec![0; 1024];
    let mut pause = Duration::from_millis(1);
    loop {
        let Ok(count @ 1..) = stream.peek(&mut buf).await else {
            return false;
        };
        if buf[..count].windows(4).any(|w| w == b"\r\n\r\n") || count >= HEADERS_LIMIT {
            return true;
        }
        if count == buf.len() {
            buf.resize(buf.len() * 2, 0);
            continue;
        }
        // What is there already makes the next peek return at once.
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(Duration::from_millis(100));
    }
}
