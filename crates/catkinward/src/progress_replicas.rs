//! Copies of the progress of generations: kept for other VMs, looked for, and taken over.

use super::*;
use crate::{peer_link::PeerLink, peers::PROBE_TIMEOUT};

/// How long a token may wait until the copy of it is on its way: a peer that went silent must not hold up a caller.
const PROGRESS_BOUND: Duration = Duration::from_millis(50);

/// VMs that are asked for a copy.
const MOST_ASKED: usize = 4;

/// VMs that are asked for a copy where the caller cannot say which VM it was on.
const MOST_ASKED_BLINDLY: usize = 16;

impl Peers {
    /// Sends progress to a holder and waits until it is on its way, or up to [`PROGRESS_BOUND`].
    ///
    /// A message that is still queued then keeps its place on the connection, which ends by itself if the peer takes
    /// nothing: on a busy VM the write only waits for a processor.
    pub(crate) async fn send_progress(
        &self,
        peer: &PeerEntry,
        link: &PeerLink,
        update: ProgressUpdate,
    ) -> Result<(), PeerError> {
        let sent = link
            .send(PeerBody::Progress(vec![update]), PROGRESS_BOUND)
            .await;
        match sent {
            Ok(()) => Ok(()),
            Err(PeerError::Timeout) => {
                metrics::counter!("catkin_progress_copies_late_total").increment(1);
                Ok(())
            }
            Err(fault) => {
                self.drop_link(&peer.vm, link.serial);
                self.lost(&peer.vm);
                Err(fault)
            }
        }
    }

    /// The copy of a generation that this VM keeps.
    ///
    /// Where none reaches as far as the caller has come, any of that key shows what it was used for.
    pub(crate) fn find_here(&self, id: &RequestId, point: &ResumePoint) -> Option<ProgressRecord> {
        let store = self.store.lock();
        store
            .find(id, point)
            .or_else(|| store.find_any(id))
            .cloned()
    }

    /// Looks for the copy of a generation, here and where it may be kept. The first one that reaches
    /// as far as the caller has come is as good as any.
    pub(crate) async fn find(
        self: &Arc<Self>,
        id: &RequestId,
        point: &ResumePoint,
    ) -> Option<ProgressRecord> {
        let mut best = self.find_here(id, point);
        if best.as_ref().is_some_and(|record| record.can_resume(point)) {
            return best;
        }
        let mut answers = self
            .to_be_asked(point)
            .into_iter()
            .map(|peer| self.clone().ask_for(peer, id.clone(), point.clone()))
            .collect::<futures::stream::FuturesUnordered<_>>();
        while let Some(answer) = futures::StreamExt::next(&mut answers).await {
            let Some(record) = answer else { continue };
            if record.can_resume(point) {
                return Some(record);
            }
            best = Some(record);
        }
        best
    }

    /// Tells those that may run a generation or keep its copy that this VM has taken it over.
    pub(crate) fn tell_taken_over(self: &Arc<Self>, point: &ResumePoint, update: &ProgressUpdate) {
        self.take_over(update);
        for peer in self.to_be_asked(point) {
            let (peers, update) = (self.clone(), update.clone());
            tokio::spawn(async move {
                let link = peers.link(&peer).await?;
                let body = PeerBody::TakenOver(Box::new(update));
                link.send(body, PROBE_TIMEOUT).await
            });
        }
    }

    /// Keeps a copy of a generation that this VM has run, for a caller who comes back to it.
    pub(crate) fn keep_own(&self, update: &ProgressUpdate) {
        self.store.lock().apply(self.timer.now(), update);
    }

    pub(crate) fn to_be_asked(&self, point: &ResumePoint) -> Vec<PeerEntry> {
        let now = self.timer.now();
        let table = self.table.lock();
        let Some((vm, _)) = &point.origin else {
            return table.nearest(now, MOST_ASKED_BLINDLY);
        };
        let mut asked = table.likely_holders(now, vm, MOST_ASKED);
        asked.extend(table.find(vm).cloned());
        asked
    }

    /// Asks a peer for a copy. One that does not answer is passed over for a while: each new request
    /// would wait for it again.
    pub(crate) async fn ask_for(
        self: Arc<Self>,
        peer: PeerEntry,
        id: RequestId,
        point: ResumePoint,
    ) -> Option<ProgressRecord> {
        let asked = async {
            let link = self.link(&peer).await.ok()?;
            let answer = link
                .ask(PeerBody::Find(id, point.next, point.origin), PROBE_TIMEOUT)
                .await;
            if answer.is_err() {
                self.drop_link(&peer.vm, link.serial);
            }
            answer.ok()
        };
        if let Ok(Some(PeerBody::Found(found))) = tokio::time::timeout(PROBE_TIMEOUT, asked).await {
            return found.map(|record| *record);
        }
        self.lost(&peer.vm);
        None
    }

    pub(crate) fn keep(&self, updates: &[ProgressUpdate]) -> Option<PeerBody> {
        let now = self.timer.now();
        let mut store = self.store.lock();
        let mut superseded = Vec::new();
        for update in updates {
            if let ProgressStoreResult::Superseded(attempt) = store.apply(now, update) {
                superseded.push((update.id.clone(), update.chain, attempt));
            }
        }
        (!superseded.is_empty()).then_some(PeerBody::Superseded(superseded))
    }

    pub(crate) fn copy(&self, id: &RequestId, point: &ResumePoint) -> Option<ProgressRecord> {
        let running = self.generations.with_id(id);
        let reaching = running
            .iter()
            .find(|generation| generation.can_resume_at(point));
        let reaching = reaching.and_then(|generation| generation.progress());
        reaching.or_else(|| self.find_here(id, point))
    }

    /// Another VM has taken a generation over: this one ends it, if it runs it, and the copies of
    /// the chains before refuse what the VMs before may still send.
    pub(crate) fn take_over(&self, update: &ProgressUpdate) {
        let lineage = update.head.iter().flat_map(|head| &head.lineage);
        let ended = lineage.map(|(chain, _)| (update.id.clone(), *chain, update.attempt));
        self.superseded(&ended.collect::<Vec<_>>());
        self.store.lock().apply(self.timer.now(), update);
    }

    pub(crate) fn superseded(&self, list: &[(RequestId, ChainId, Attempt)]) {
        for (id, chain, attempt) in list {
            for generation in self.generations.with_id(id) {
                let resumable = generation.request.resumable.as_ref();
                if resumable.is_some_and(|resumable| resumable.chain == *chain) {
                    generation.supersede(*attempt);
                }
            }
        }
    }
}
