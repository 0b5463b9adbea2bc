use super::*;
use tokio::sync::mpsc;

/// Capacity of the queue; datagrams beyond it are dropped, just as the network may drop them.
const CAPACITY: usize = 1024;

/// A datagram and the VMs that receive it.
pub(crate) type Addressed = (Vec<SocketAddr>, PeerDatagram);

/// Queue of datagrams to other VMs; the task that owns the socket sends them.
pub(crate) struct Outbox {
    tx: mpsc::Sender<Addressed>,
    rx: Mutex<Option<mpsc::Receiver<Addressed>>>,
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
        self.send_to_all(vec![to], datagram);
    }

    /// Queues a datagram to several VMs, which is encoded once.
    pub(crate) fn send_to_all(&self, to: Vec<SocketAddr>, datagram: PeerDatagram) {
        let recipients = to.len();
        if self.tx.try_send((to, datagram)).is_err() {
            tracing::debug!(recipients, "datagram dropped, outbox is full");
        }
    }

    /// Takes the receiving end of the queue; `None` if it was taken before.
    pub(crate) fn take(&self) -> Option<mpsc::Receiver<Addressed>> {
        self.rx.lock().take()
    }
}
