//! Server for connections from other VMs.

use super::*;
use crate::peer_socket;
use tokio::net::{TcpListener, TcpStream};

/// Maximum number of open connections from peers.
const MAX_CONNECTIONS: usize = 256;

/// How long a connection may stay silent before it is closed. This is longer than the idle timeout
/// at the peer that opened it.
const IDLE_PEER_TIMEOUT: Duration = Duration::from_secs(30);

impl Peers {
    /// Handles a message from a peer; returns the reply, or `None` if the message gets none.
    pub(crate) fn handle_message(&self, peer: &VmId, body: PeerBody) -> Option<PeerBody> {
        match body {
            PeerBody::Gossip(gossip) => {
                self.apply_gossip(&gossip, peer);
                let mut reply = self.compose_gossip();
                self.gossip.extend_reply(&gossip, &mut reply);
                Some(PeerBody::Gossip(Box::new(reply)))
            }
            PeerBody::AskSlices(requests) => Some(self.slices_for(peer, &requests)),
            PeerBody::Progress(updates) => self.store_replicas(&updates),
            PeerBody::Find(id, next, from) => {
                let replica = self.find_replica(&id, &ResumePoint { next, origin: from });
                Some(PeerBody::Found(replica.map(Box::new)))
            }
            PeerBody::FetchBundle(digest) => {
                Some(PeerBody::BundleContent(self.bundle.body(digest)))
            }
            PeerBody::TakenOver(update) => {
                self.take_over(&update);
                None
            }
            PeerBody::Challenge(_)
            | PeerBody::Hello(_)
            | PeerBody::Welcome(_)
            | PeerBody::Superseded(_)
            | PeerBody::Slices(_)
            | PeerBody::BundleContent(_)
            | PeerBody::Found(_) => {
                let name: &str = (&body).into();
                tracing::warn!(%peer, message = name, "unexpected message from peer; ignored");
                None
            }
        }
    }

    /// Returns slices for a peer. A peer may request slices for itself only.
    pub(crate) fn slices_for(&self, peer: &VmId, requests: &[SliceRequest]) -> PeerBody {
        let own = requests.iter().filter(|request| request.vm == *peer);
        let slice_granter = self.slice_granter.get();
        PeerBody::Slices(own.filter_map(|request| slice_granter?(request)).collect())
    }
}

/// Accepts connections from peers for the lifetime of the process.
pub(crate) async fn accept_connections(peers: Arc<Peers>, listener: TcpListener) {
    let permits = Arc::new(tokio::sync::Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else {
            return;
        };
        match listener.accept().await {
            Ok((stream, address)) => {
                let peers = peers.clone();
                tokio::spawn(async move {
                    if let Err(error) = serve_connection(&peers, stream).await {
                        tracing::info!(%address, fault = %error,
                            "peer connection closed after an error");
                    }
                    drop(permit);
                });
            }
            Err(error) => {
                tracing::warn!(fault = %error, "cannot accept a peer connection");
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

async fn serve_connection(peers: &Arc<Peers>, stream: TcpStream) -> Result<(), PeerError> {
    let open = async {
        let clock = peers.timeline.clock();
        let (mut tx, mut rx) = peer_socket::accept(stream, clock, &peers.sent).await?;
        let entry = peers.identity.answer(&mut tx, &mut rx).await?;
        Ok((entry, tx, rx))
    };
    let max_wait = Duration::from_secs(2);
    let (entry, mut tx, mut rx) = tokio::time::timeout(max_wait, open)
        .await
        .unwrap_or(Err(PeerError::Timeout))?;
    peers.record_seen(entry.clone());
    let mut can_reply = true;
    loop {
        let message = match rx.receive_within(IDLE_PEER_TIMEOUT).await {
            Ok(message) => message,
            Err(PeerError::Broken) => return Ok(()),
            Err(error) => return Err(error),
        };
        let reply = peers.handle_message(&entry.vm, message.body);
        if let (Some(reply), true) = (reply, can_reply) {
            match tx.send(vec![(message.number, reply)]).await {
                // A crashed peer gets no reply, but its last messages may still be unread.
                Err(PeerError::Broken) => can_reply = false,
                sent => sent?,
            }
        }
    }
}
