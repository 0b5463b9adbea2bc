use super::*;

/// Sends the progress of one generation to the VMs that store replicas of it, and only then
/// releases the tokens to the caller.
///
/// A router may crash right after a caller received a token. If the replica were sent later, the
/// caller would reconnect with an index that no other VM has reached, and if the engine is gone
/// too, the response could not be resumed. So the update is written to the socket first. It is
/// not acknowledged, because a round trip for each token would cost more than it saves.
pub(crate) struct ProgressReplicator {
    node: Arc<Node>,
    generation: Arc<Generation>,
    kept: Vec<Kept>,
}

/// What has been sent to a replica holder over one connection.
struct Kept {
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
            kept: Vec::new(),
        }
    }

    /// Updates all replicas, then releases the tokens up to there to the caller.
    pub(crate) async fn release(&mut self) {
        let next = self.generation.next_index();
        if self.generation.request.keyed.is_some() {
            self.bring_up_to_date().await;
        }
        self.generation.release(next);
    }

    async fn bring_up_to_date(&mut self) {
        let Some(peers) = self.node.peers.clone() else {
            return;
        };
        let holders = peers.holders();
        let updates = holders.iter().map(|peer| self.update(&peers, peer));
        let kept = futures::future::join_all(updates).await;
        self.kept = kept.into_iter().flatten().collect();
        if self.kept.is_empty() && !holders.is_empty() {
            tracing::warn!(id = %self.generation.request.id, "no VM stores a replica of the progress");
        }
    }

    /// Sends a replica holder what it lacks. Over a new connection that is everything, because what
    /// was sent over the old one may never have arrived.
    async fn update(&self, peers: &Arc<Peers>, peer: &PeerEntry) -> Option<Kept> {
        let link = peers.link(peer).await.ok()?;
        let mut kept = self.kept.iter();
        let kept = kept.find(|kept| kept.vm == peer.vm && kept.serial == link.serial);
        let from = kept.map_or(TokenIndex(0), |kept| kept.next);
        let mut update = self.generation.progress_from(from)?;
        let (attempt, next) = (update.attempt, TokenIndex(from.0 + update.tokens.len().0));
        if kept.is_some_and(|kept| kept.attempt == attempt) {
            update.upstream = None;
        }
        peers.send_progress(peer, &link, update).await.ok()?;
        Some(Kept {
            vm: peer.vm.clone(),
            serial: link.serial,
            next,
            attempt,
        })
    }
}
