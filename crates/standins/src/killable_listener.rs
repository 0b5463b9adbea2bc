use super::*;
use std::io;
use tokio::net::TcpListener;
use volo::net::{MakeIncoming, conn::Conn, incoming::Incoming};

/// Listening socket that closes when its mock is killed, as if the process had died.
#[derive(Debug)]
pub(crate) struct KillableListener {
    listener: Option<TcpListener>,
    killed: CancellationToken,
}

impl KillableListener {
    pub(crate) fn new(listener: TcpListener, killed: CancellationToken) -> Self {
        Self {
            listener: Some(listener),
            killed,
        }
    }
}

impl MakeIncoming for KillableListener {
    type Incoming = Self;

    async fn make_incoming(self) -> io::Result<Self> {
        Ok(self)
    }
}

impl Incoming for KillableListener {
    async fn accept(&mut self) -> io::Result<Option<Conn>> {
        let Some(listener) = &self.listener else {
            return std::future::pending().await;
        };
        tokio::select! {
            accepted = listener.accept() => {
                let (stream, _) = accepted?;
                stream.set_nodelay(true)?;
                Ok(Some(Conn::from(stream)))
            }
            () = self.killed.cancelled() => {
                self.listener = None;
                Ok(None)
            }
        }
    }
}
