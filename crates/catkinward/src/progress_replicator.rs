use super::*;
use crate::progress_replicas::ReplicaWrite;

/// Longest time that a token waits until the first of its replicas has been written. It exceeds the time
/// after which a connection whose peer reads nothing is closed.
const FIRST_REPLICA_TIMEOUT: Duration = Duration::from_millis(1500);

/// Sends the progress of one generation to its replicas before releasing the tokens to the caller.
///
/// If a router crashed in between, no other VM would have the caller's resume point, and the response
/// would be lost if the engine is gone too. Writing to the socket first suffices: an acknowledgement
/// would cost a round trip for each token, which is more than it saves.
pub(crate) struct ProgressReplicator {
    node: Arc<Node>,
    generation: Arc<Generation>,
    sent: Vec<SentProgress>,
    /// Whether the last update was sent to a replica holder.
    is_replicated: bool,
}

/// What has been sent to a replica holder over one connection.
struct SentProgress {
    vm: VmId,
    serial: u64,
    next: TokenIndex,
    attempt: Attempt,
}

impl ProgressReplicator {
    pub(crate) fn new(node: Arc<Node>, generation: Arc<Generation>) -> Self {
        Self {
            node,
            generation,
            sent: Vec::new(),
            is_replicated: true,
        }
    }

    /// Updates all replicas, then releases the tokens up to there to the caller.
    pub(crate) async fn release(&mut self) {
        let next = self.generation.next_index();
        if self.generation.request.resumable.is_some() {
            self.update_replicas().await;
        }
        self.generation.release(next);
    }

    async fn update_replicas(&mut self) {
        let Some(peers) = self.node.peers.clone() else {
            return;
        };
        let holders = peers.holders();
        let updates = holders.iter().map(|peer| self.send_update(&peers, peer));
        let sent = futures::future::join_all(updates).await;
        let (sent, writes): (Vec<_>, Vec<_>) = sent.into_iter().flatten().unzip();
        self.sent = sent;
        wait_for_first_write(writes).await;
        let is_replicated = !self.sent.is_empty();
        if self.is_replicated && !is_replicated && !peers.entries().is_empty() {
            tracing::warn!(id = %self.generation.request.id, next = %self.generation.next_index(),
                holders = holders.len(), "no VM stores a replica of the progress");
        }
        self.is_replicated = is_replicated;
    }

    /// Sends a replica holder what it lacks. Over a new connection that is everything, because what
    /// was sent over the old one may never have arrived.
    async fn send_update(
        &self,
        peers: &Arc<Peers>,
        peer: &PeerEntry,
    ) -> Option<(SentProgress, ReplicaWrite)> {
        let link = peers.replica_link(peer).await?;
        let mut sent = self.sent.iter();
        let sent = sent.find(|sent| sent.vm == peer.vm && sent.serial == link.serial);
        let from = sent.map_or(TokenIndex(0), |sent| sent.next);
        let mut update = self.generation.progress_from(from)?;
        let (attempt, next) = (update.attempt, TokenIndex(from.0 + update.tokens.len().0));
        if sent.is_some_and(|sent| sent.attempt == attempt) {
            update.upstream = None;
        }
        let write = peers.send_progress(peer, &link, update).await.ok()?;
        let sent = SentProgress {
            vm: peer.vm.clone(),
            serial: link.serial,
            next,
            attempt,
        };
        Some((sent, write))
    }
}

/// Waits until at least one replica has been written. One that is only queued is lost if this process
/// crashes, and then the caller would be ahead of all replicas.
async fn wait_for_first_write(writes: Vec<ReplicaWrite>) {
    let mut queued = Vec::with_capacity(writes.len());
    for write in writes {
        match write {
            ReplicaWrite::Written => return,
            ReplicaWrite::Queued(written) => queued.push(written),
        }
    }
    if !queued.is_empty() {
        let first = futures::future::select_ok(queued);
        let _ = tokio::time::timeout(FIRST_REPLICA_TIMEOUT, first).await;
    }
}
