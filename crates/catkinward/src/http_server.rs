//! Listening socket of the HTTP servers, with limits for connections that send no request.

use super::*;
use rustix::event::{PollFd, PollFlags, Timespec};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
};
use volo::net::{MakeIncoming, conn::Conn, incoming::Incoming};

/// Delay after a failed accept. Without it, the accept loop would use a full core while the process is
/// out of file descriptors, and the requests in flight would get no CPU time to complete.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Timeout for the headers of the first request on a new connection.
const HEADERS_TIMEOUT: Duration = Duration::from_secs(10);

/// Header size in bytes from which the connection is passed on to the HTTP library, which rejects
/// longer headers.
const MAX_HEADER_BYTES: usize = 16 * 1024;

/// Maximum number of connections that wait for their first headers at the same time.
const MAX_PENDING_CONNECTIONS: usize = 1024;

/// A bound listening socket, for [`volo_http::server::Server::run`].
#[derive(Debug)]
pub struct Listener {
    listener: TcpListener,
}

/// Accepted connections whose first request headers have arrived.
#[derive(Debug)]
pub struct ReadyConnections {
    rx: mpsc::Receiver<TcpStream>,
}

impl Listener {
    /// Binds an address; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn bind(address: SocketAddr) -> Result<Self> {
        let listener = TcpListener::bind(address)
            .await
            .map_err(|source| Error::Listen { address, source })?;
        Ok(Self { listener })
    }

    /// Returns the bound address.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system does not report the address.
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
            // If this returned, the library would call `accept` again at once, in an endless loop.
            None => std::future::pending().await,
        }
    }
}

/// Accepts connections until the server stops, and passes each one on once the headers of its first
/// request have arrived. The HTTP library has no timeout for headers: callers that send them byte by
/// byte, or send nothing, would keep their connections open forever. Enough of them would use up all
/// file descriptors, so that other callers could not connect.
async fn accept_connections(listener: TcpListener, tx: mpsc::Sender<TcpStream>) {
    let permits = Arc::new(Semaphore::new(MAX_PENDING_CONNECTIONS));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = tx.closed() => return,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::warn!(fault = %error, "accept failed");
                tokio::time::sleep(ACCEPT_BACKOFF).await;
                continue;
            }
        };
        // Disables Nagle's algorithm, which would delay small events.
        let _ = stream.set_nodelay(true);
        let Ok(permit) = permits.clone().acquire_owned().await else {
            return;
        };
        let tx = tx.clone();
        tokio::spawn(async move {
            let waited = tokio::time::timeout(HEADERS_TIMEOUT, wait_for_headers(&stream)).await;
            drop(permit);
            if waited.is_ok_and(|complete| complete) && !is_closed_by_peer(&stream) {
                let _ = tx.send(stream).await;
            }
        });
    }
}

/// Waits until the headers of a request are in the receive buffer, without consuming them. Returns
/// false if the peer has closed the connection.
async fn wait_for_headers(stream: &TcpStream) -> bool {
    let mut buf = vec![0; 1024];
    let mut delay = Duration::from_millis(1);
    loop {
        let Ok(count @ 1..) = stream.peek(&mut buf).await else {
            return false;
        };
        if buf[..count].windows(4).any(|w| w == b"\r\n\r\n") || count >= MAX_HEADER_BYTES {
            return true;
        }
        if count == buf.len() {
            buf.resize(buf.len() * 2, 0);
            continue;
        }
        // The data already in the buffer makes the next `peek` return at once, so wait first.
        tokio::time::sleep(delay).await;
        delay = (delay * 2).min(Duration::from_millis(100));
    }
}

/// Returns whether the peer has closed the connection, so that nobody would read a response. The HTTP library may not
/// see this before it runs the first request, because that is read before the runtime has polled the new socket.
fn is_closed_by_peer(stream: &TcpStream) -> bool {
    let mut polled = [PollFd::new(stream, PollFlags::RDHUP)];
    let closed = rustix::event::poll(&mut polled, Some(&Timespec::default()));
    closed.is_ok_and(|count| count > 0)
}
