use super::*;
use tokio::sync::mpsc;

/// Datagrams that wait to be sent; what does not fit is dropped, as on the way. The loss of a third of 200
/// upstreams fills some ten datagrams to each VM of a zone of 67.
const CAPACITY: usize = 1024;

/// Datagrams to other VMs, until the task that holds the socket sends them.
pub(crate) struct Outbox {
    tx: mpsc::Sender<(SocketAddr, PeerDatagram)>,
    rx: Mutex<Option<mpsc::Receiver<(SocketAddr, PeerDatagram)>>>,
}

impl Default for Outbox {
    fn default() -> Self {
        let (tx, rx) = mpsc::channel(CAPACITY);
        Self {
            tx,
            rx: Mutex::new(Some(rx)),
        }
    }
}

impl Outbox {
    /// Sends a datagram. Nothing depends on its arrival.
    pub(crate) fn send(&self, to: SocketAddr, datagram: PeerDatagram) {
        if self.tx.try_send((to, datagram)).is_err() {
            tracing::debug!(%to, "datagram dropped, too many wait");
        }
    }

    /// Takes the end from which datagrams are sent; `None` if that was done before.
    pub(crate) fn take(&self) -> Option<mpsc::Receiver<(SocketAddr, PeerDatagram)>> {
        self.rx.lock().take()
    }
}
