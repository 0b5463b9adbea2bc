use super::*;
use tokio::sync::mpsc;

/// Capacity of the queue; datagrams beyond it are dropped, just as the network may drop them. The
/// loss of a third of 200 upstreams fills some ten datagrams to each VM of a zone of 67.
const CAPACITY: usize = 1024;

/// Queue of datagrams to other VMs; the task that owns the socket sends them.
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
    /// Queues a datagram. Delivery is not guaranteed, and nothing relies on it.
    pub(crate) fn send(&self, to: SocketAddr, datagram: PeerDatagram) {
        if self.tx.try_send((to, datagram)).is_err() {
            tracing::debug!(%to, "datagram dropped, outbox is full");
        }
    }

    /// Takes the receiving end of the queue; `None` if it was taken before.
    pub(crate) fn take(&self) -> Option<mpsc::Receiver<(SocketAddr, PeerDatagram)>> {
        self.rx.lock().take()
    }
}
