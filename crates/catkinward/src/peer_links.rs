//! Connections that this VM opens to other VMs.

use super::*;
use crate::peer_link::PeerLink;

/// How long requests over an open connection may stay without any reply before it is replaced.
const MAX_LINK_SILENCE: Duration = Duration::from_secs(1);

impl Peers {
    /// Sends a request to a VM; `None` if the VM is not known or does not answer in time.
    pub(crate) async fn request(
        self: &Arc<Self>,
        vm: &VmId,
        message: PeerBody,
        max_wait: Duration,
    ) -> Option<PeerBody> {
        let peer = self.table.lock().find(vm).cloned()?;
        let link = self.link(&peer).await.ok()?;
        match link.request(message, max_wait).await {
            Ok(reply) => Some(reply),
            Err(error) => {
                tracing::debug!(peer = %vm, fault = %error, "peer did not answer");
                self.handle_failed_request(vm, Some(&link), &error);
                None
            }
        }
    }

    /// Returns the open connection to a VM, or opens one.
    pub(crate) async fn link(
        self: &Arc<Self>,
        peer: &PeerEntry,
    ) -> Result<Arc<PeerLink>, PeerError> {
        if let Some(link) = self.existing_link(&peer.vm) {
            return Ok(link);
        }
        // The task continues if the caller stops waiting. Otherwise a connection to a distant VM would
        // never open.
        let (peers, peer) = (self.clone(), peer.clone());
        let opening = tokio::spawn(async move { peers.open_once(&peer).await });
        opening.await.unwrap_or(Err(PeerError::Broken))
    }

    /// Returns a connection for replicas. A VM that recently did not respond must not delay callers, so a
    /// connection to it is not awaited.
    pub(crate) async fn replica_link(self: &Arc<Self>, peer: &PeerEntry) -> Option<Arc<PeerLink>> {
        let link = self.existing_link(&peer.vm);
        if link.is_some() {
            return link;
        }
        if self.table.lock().answered_last_call(&peer.vm) {
            return self.link(peer).await.ok();
        }
        self.open_in_background(peer, None);
        None
    }

    /// Opens a connection to a VM unless another task has just done so. Only one connection per VM is
    /// opened at a time; otherwise many streams that lose a connection would open one each.
    async fn open_once(self: &Arc<Self>, peer: &PeerEntry) -> Result<Arc<PeerLink>, PeerError> {
        let opening = self.opening(&peer.vm);
        let waiting_since = self.timer.now();
        let _guard = opening.lock().await;
        if let Some(link) = self.existing_link(&peer.vm) {
            return Ok(link);
        }
        // Otherwise each stream would wait for its own attempt after those before it.
        if self.table.lock().has_failed_since(&peer.vm, waiting_since) {
            return Err(PeerError::Timeout);
        }
        self.open_and_record(peer).await
    }

    /// Opens a connection to a VM without waiting for it, in place of the connection `replaced`, which stays
    /// in use until then. Does nothing if one is being opened already.
    fn open_in_background(self: &Arc<Self>, peer: &PeerEntry, replaced: Option<u64>) {
        let Ok(guard) = self.opening(&peer.vm).try_lock_owned() else {
            return;
        };
        let (peers, peer) = (self.clone(), peer.clone());
        tokio::spawn(async move {
            let _guard = guard;
            let current = peers.existing_link(&peer.vm).map(|link| link.serial);
            if current != replaced {
                return;
            }
            match (peers.open_and_record(&peer).await, replaced) {
                (Ok(_) | Err(PeerError::Timeout), _) | (_, None) => {}
                (Err(_), Some(serial)) => peers.remove_link(&peer.vm, serial),
            }
        });
    }

    async fn open_and_record(
        self: &Arc<Self>,
        peer: &PeerEntry,
    ) -> Result<Arc<PeerLink>, PeerError> {
        let opened = self.open(peer).await;
        let now = self.timer.now();
        match &opened {
            Ok(link) => {
                self.table.lock().record_response(now, &peer.vm);
                let mut links = self.links.lock();
                match links.binary_search_by(|(vm, _)| vm.cmp(&peer.vm)) {
                    Ok(i) => links[i].1 = link.clone(),
                    Err(i) => links.insert(i, (peer.vm.clone(), link.clone())),
                }
                drop(links);
                self.update_holders();
            }
            Err(error) => {
                tracing::info!(peer = %peer.vm, fault = %error, "peer cannot be reached");
                self.mark_unreachable(&peer.vm, error);
            }
        }
        opened
    }

    pub(crate) fn existing_link(&self, vm: &VmId) -> Option<Arc<PeerLink>> {
        let links = self.links.lock();
        let i = links.binary_search_by(|(other, _)| other.cmp(vm)).ok()?;
        Some(links[i].1.clone())
    }

    pub(crate) async fn open(
        self: &Arc<Self>,
        peer: &PeerEntry,
    ) -> Result<Arc<PeerLink>, PeerError> {
        let (receiver, closer) = (Arc::downgrade(self), Arc::downgrade(self));
        let vm = peer.vm.clone();
        let link = PeerLink::open(
            peer,
            &self.identity,
            self.timeline.clock(),
            &self.sent,
            move |body| {
                if let (Some(peers), PeerBody::Superseded(list)) = (receiver.upgrade(), body) {
                    peers.end_superseded(&list);
                }
            },
            move |serial| {
                if let Some(peers) = closer.upgrade() {
                    peers.remove_link(&vm, serial);
                }
            },
        );
        link.await.map(Arc::new)
    }

    pub(crate) fn remove_link(&self, vm: &VmId, serial: u64) {
        let mut links = self.links.lock();
        let found = links.binary_search_by(|(other, _)| other.cmp(vm));
        if let Ok(i) = found.map_err(|_| ()).and_then(|i| {
            if links[i].1.serial == serial {
                Ok(i)
            } else {
                Err(())
            }
        }) {
            links.remove(i);
        }
    }

    /// Skips a VM for a while after a request to it failed.
    ///
    /// If its reply is only late, the connection stays in use for replicas, which the VM receives once it has
    /// caught up. TCP takes minutes to detect that the other end of a connection is unreachable, so a
    /// connection without replies for longer is replaced as soon as another one is open.
    pub(crate) fn handle_failed_request(
        self: &Arc<Self>,
        vm: &VmId,
        link: Option<&PeerLink>,
        error: &PeerError,
    ) {
        let is_late = *error == PeerError::Timeout;
        if let Some(link) = link {
            if !is_late {
                self.remove_link(vm, link.serial);
            } else if link.is_silent_for(MAX_LINK_SILENCE) {
                let peer = self.table.lock().find(vm).cloned();
                if let Some(peer) = peer {
                    self.open_in_background(&peer, Some(link.serial));
                }
            }
        }
        self.mark_unreachable(vm, error);
    }

    /// Skips a VM for a while, because it did not respond.
    pub(crate) fn mark_unreachable(&self, vm: &VmId, error: &PeerError) {
        self.timeline.record(Event {
            detail: Some(vm.as_str().into()),
            ..Event::new(EventKind::PeerLost)
        });
        let now = self.timer.now();
        let mut table = self.table.lock();
        let was_responsive = match error {
            PeerError::Timeout => table.record_late_reply(now, vm),
            _ => table.record_failure(now, vm),
        };
        drop(table);
        self.update_holders();
        if was_responsive {
            let holders = self.holders().len();
            tracing::info!(peer = %vm, fault = %error, holders, "peer is skipped for a while");
        }
    }

    pub(crate) fn update_holders(&self) {
        let now = self.timer.now();
        let own = self.own();
        let holders = self.table.lock().holders(now, &own.vm, &own.zone);
        if **self.holders.load() != holders {
            self.holders.store(Arc::new(holders));
        }
    }
}
