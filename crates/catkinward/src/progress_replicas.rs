//! Replicas of the progress of generations: stored for other VMs, searched for, and taken over.

use super::*;
use crate::{peer_link::PeerLink, peers::PEER_REQUEST_TIMEOUT};
use tokio::sync::oneshot;

/// Longest time that a token waits until its replica has been written to the connection. A peer
/// that stopped responding must not delay a caller.
const PROGRESS_TIMEOUT: Duration = Duration::from_millis(50);

/// Longest time that a search which has found a replica waits for the other VMs to report that one of
/// them serves the caller.
const SERVING_CHECK_TIMEOUT: Duration = Duration::from_millis(100);

/// Maximum number of likely holders that are queried for a replica.
const MAX_QUERIED: usize = 4;

/// Maximum number of VMs that are queried for a replica if the caller cannot name the VM that
/// served it.
const MAX_QUERIED_WITHOUT_ORIGIN: usize = 16;

/// State of a replica that was sent.
pub(crate) enum ReplicaWrite {
    /// The operating system has it, so it arrives even if this process crashes.
    Written,
    /// It is still queued in this process; the receiver is notified when it has been written.
    Queued(oneshot::Receiver<()>),
}

/// Result of a search for a progress replica.
pub(crate) struct ReplicaSearch {
    /// A replica that reaches the caller's resume point, or else any that was found.
    pub(crate) record: Option<ProgressRecord>,
    /// Whether a VM that may store a better one has not answered.
    pub(crate) is_incomplete: bool,
}

impl Peers {
    /// Sends progress to a replica holder and waits until it has been written to the connection, up to
    /// [`PROGRESS_TIMEOUT`].
    ///
    /// A message that is still queued after that stays queued: on a busy VM the write only waits for
    /// a CPU. If the peer reads nothing, the connection closes after its own write timeout.
    pub(crate) async fn send_progress(
        &self,
        peer: &PeerEntry,
        link: &PeerLink,
        update: ProgressUpdate,
    ) -> Result<ReplicaWrite, PeerError> {
        let body = PeerBody::Progress(vec![update]);
        let sent = async {
            let mut written = link.start_sending(body)?;
            match tokio::time::timeout(PROGRESS_TIMEOUT, &mut written).await {
                Ok(Ok(())) => Ok(ReplicaWrite::Written),
                Ok(Err(_)) => Err(PeerError::Broken),
                Err(_) => Ok(ReplicaWrite::Queued(written)),
            }
        };
        let sent = sent.await;
        match &sent {
            Ok(ReplicaWrite::Written) => {}
            Ok(ReplicaWrite::Queued(_)) => {
                metrics::counter!("catkin_progress_copies_late_total").increment(1);
            }
            Err(error) => {
                self.remove_link(&peer.vm, link.serial);
                self.mark_unreachable(&peer.vm, error);
            }
        }
        sent
    }

    /// Returns the replica of a generation that this VM stores.
    ///
    /// If no replica reaches the caller's resume point, any replica of the key is returned: it shows
    /// which request the key was used for.
    pub(crate) fn find_local_replica(
        &self,
        id: &RequestId,
        point: &ResumePoint,
    ) -> Option<ProgressRecord> {
        let store = self.store.lock();
        let found = store.find(id, point).or_else(|| store.find_any(id))?;
        Some(ProgressRecord {
            attempt: store.highest_attempt(id).unwrap_or(found.attempt),
            ..found.clone()
        })
    }

    /// Searches for the replica of a generation, locally and on the VMs that may store it. Any replica
    /// that reaches the caller's resume point is sufficient, but a record of a VM that serves another
    /// caller takes precedence.
    pub(crate) async fn find(
        self: &Arc<Self>,
        id: &RequestId,
        point: &ResumePoint,
    ) -> ReplicaSearch {
        let mut search = ReplicaSearch {
            record: self.find_local_replica(id, point),
            is_incomplete: false,
        };
        let mut replies = self
            .search_candidates(point)
            .into_iter()
            .map(|peer| tokio::spawn(self.clone().fetch_replica(peer, id.clone(), point.clone())))
            .collect::<futures::stream::FuturesUnordered<_>>();
        let mut deadline = None;
        loop {
            let reaches = search.reaches(point);
            if reaches && deadline.is_none() {
                deadline = Some(tokio::time::Instant::now() + SERVING_CHECK_TIMEOUT);
            }
            let reply = futures::StreamExt::next(&mut replies);
            let reply = match deadline {
                Some(deadline) => tokio::time::timeout_at(deadline, reply).await,
                None => Ok(reply.await),
            };
            let Ok(Some(reply)) = reply else {
                search.add_later_replica(self.find_local_replica(id, point), point);
                return search;
            };
            match reply {
                Ok(Ok(Some(record))) if !reaches || record.is_being_served() => {
                    let is_served = record.is_being_served();
                    search.record = Some(record);
                    if is_served {
                        return search;
                    }
                }
                Ok(Err(error)) => search.is_incomplete |= error == PeerError::Timeout,
                _ => {}
            }
        }
    }

    /// Notifies the VMs that may run a generation or store its replica that this VM has taken it
    /// over.
    pub(crate) fn notify_taken_over(
        self: &Arc<Self>,
        point: &ResumePoint,
        update: &ProgressUpdate,
    ) {
        self.take_over(update);
        for peer in self.replica_candidates(point) {
            let (peers, update) = (self.clone(), update.clone());
            tokio::spawn(async move {
                let link = peers.link(&peer).await?;
                let body = PeerBody::TakenOver(Box::new(update));
                link.send(body, PEER_REQUEST_TIMEOUT).await
            });
        }
    }

    /// Stores a replica of a generation that this VM has run, for a caller that reconnects.
    pub(crate) fn store_own_replica(&self, update: &ProgressUpdate) {
        self.store.lock().apply_own(self.timer.now(), update);
    }

    pub(crate) fn replica_candidates(&self, point: &ResumePoint) -> Vec<PeerEntry> {
        let now = self.timer.now();
        let table = self.table.lock();
        let Some((vm, _)) = &point.origin else {
            return table.nearest(now, MAX_QUERIED_WITHOUT_ORIGIN);
        };
        let mut candidates = table.likely_holders(now, vm, MAX_QUERIED);
        candidates.extend(table.find(vm).cloned());
        candidates
    }

    /// Returns the VMs that are queried for the replica of a caller: a caller that has received tokens needs
    /// it, so VMs that recently did not respond are queried too.
    fn search_candidates(&self, point: &ResumePoint) -> Vec<PeerEntry> {
        let Some((vm, _)) = &point.origin else {
            return self.replica_candidates(point);
        };
        let now = self.timer.now();
        let table = self.table.lock();
        let mut candidates = table.likely_holders_including_silent(now, vm, MAX_QUERIED);
        candidates.extend(table.find(vm).cloned());
        candidates
    }

    /// Queries a peer for a replica. A peer that does not answer is skipped for a while, because
    /// otherwise each new request would wait for it again.
    pub(crate) async fn fetch_replica(
        self: Arc<Self>,
        peer: PeerEntry,
        id: RequestId,
        point: ResumePoint,
    ) -> Result<Option<ProgressRecord>, PeerError> {
        let query = async {
            let link = self.link(&peer).await?;
            let body = PeerBody::Find(id, point.next, point.origin);
            let reply = link.request(body, PEER_REQUEST_TIMEOUT).await;
            reply.inspect_err(|error| self.handle_failed_request(&peer.vm, Some(&link), error))
        };
        match tokio::time::timeout(PEER_REQUEST_TIMEOUT, query).await {
            Ok(Ok(PeerBody::Found(found))) => Ok(found.map(|record| *record)),
            Ok(Ok(_)) => {
                self.mark_unreachable(&peer.vm, &PeerError::Form);
                Err(PeerError::Form)
            }
            Ok(Err(error)) => Err(error),
            Err(_) => {
                let link = self.existing_link(&peer.vm);
                self.handle_failed_request(&peer.vm, link.as_deref(), &PeerError::Timeout);
                Err(PeerError::Timeout)
            }
        }
    }

    pub(crate) fn store_replicas(&self, updates: &[ProgressUpdate]) -> Option<PeerBody> {
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

    pub(crate) fn find_replica(
        &self,
        id: &RequestId,
        point: &ResumePoint,
    ) -> Option<ProgressRecord> {
        let running = self.generations.with_id(id);
        let reaching = running
            .iter()
            .find(|generation| generation.can_resume_at(point));
        let reaching = reaching.and_then(|generation| {
            Some(ProgressRecord {
                has_caller: generation.has_reader(),
                ..generation.progress()?
            })
        });
        reaching.or_else(|| self.find_local_replica(id, point))
    }

    /// Handles that another VM has taken a generation over. This VM ends the generation if it runs it;
    /// replicas of the earlier chains reject updates that their VMs may still send.
    pub(crate) fn take_over(&self, update: &ProgressUpdate) {
        let lineage = update.head.iter().flat_map(|head| &head.lineage);
        let ended = lineage.map(|(chain, _)| (update.id.clone(), *chain, update.attempt));
        self.end_superseded(&ended.collect::<Vec<_>>());
        self.store.lock().apply(self.timer.now(), update);
    }

    pub(crate) fn end_superseded(&self, list: &[(RequestId, ChainId, Attempt)]) {
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

impl ReplicaSearch {
    /// Replaces the record by a replica that has arrived during the search, if that is better.
    fn add_later_replica(&mut self, local: Option<ProgressRecord>, point: &ResumePoint) {
        let Some(local) = local.filter(|local| local.can_resume(point)) else {
            return;
        };
        let is_better = |record: &ProgressRecord| record.is_worse_than(&local);
        if !self.reaches(point) || self.record.as_ref().is_some_and(is_better) {
            self.record = Some(local);
        }
    }

    fn reaches(&self, point: &ResumePoint) -> bool {
        let record = self.record.as_ref();
        record.is_some_and(|record| record.can_resume(point))
    }
}
