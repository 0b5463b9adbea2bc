//! The HTTP server and its connection limits.

use super::*;
use tokio::net::TcpListener;
use volo::net::{MakeIncoming, conn::Conn, incoming::Incoming};

/// Wait after an accept that failed. Without it the library's loop would spin a core while the
/// process is out of file descriptors, and the requests in flight would get no time to end.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// A bound listening socket, for [`volo_http::server::Server::run`].
#[derive(Debug)]
pub struct Listener {
    listener: TcpListener,
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
    type Incoming = Self;

    async fn make_incoming(self) -> io::Result<Self> {
        Ok(self)
    }
}

impl Incoming for Listener {
    async fn accept(&mut self) -> io::Result<Option<Conn>> {
        match self.listener.accept().await {
            Ok((stream, _)) => {
                // Small events must not wait for one another.
                let _ = stream.set_nodelay(true);
                Ok(Some(Conn::from(stream)))
            }
            Err(fault) => {
                tracing::warn!(%fault, "accept failed");
                tokio::time::sleep(ACCEPT_BACKOFF).await;
                Err(fault)
            }
        }
    }
}
