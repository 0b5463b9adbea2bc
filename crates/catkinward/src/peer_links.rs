//! Connections that this VM opens to others.

use super::*;
use crate::peer_link::PeerLink;

impl Peers {
    /// Asks a VM; `None` if it is not known or does not answer in time.
    pub(crate) async fn ask(
        self: &Arc<Self>,
        vm: &VmId,
        question: PeerBody,
        bound: Duration,
    ) -> Option<PeerBody> {
        let peer = self.table.lock().find(vm).cloned()?;
        let link = self.link(&peer).await.ok()?;
        match link.ask(question, bound).await {
            Ok(answer) => Some(answer),
            Err(fault) => {
                tracing::debug!(peer = %vm, %fault, "peer did not answer");
                self.drop_link(vm, link.serial);
                self.lost(vm);
                None
            }
        }
    }

    /// The open connection to a VM; opens one if there is none.
    pub(crate) async fn link(
        self: &Arc<Self>,
        peer: &PeerEntry,
    ) -> Result<Arc<PeerLink>, PeerError> {
        if let Some(link) = self.open_link(&peer.vm) {
            return Ok(link);
        }
        // A caller that gives up must not abandon the connection: to a distant VM it would never open.
        let (peers, peer) = (self.clone(), peer.clone());
        let opening = tokio::spawn(async move { peers.open_once(&peer).await });
        opening.await.unwrap_or(Err(PeerError::Broken))
    }

    /// Opens a connection to a VM unless another task has just done so: one at a time to each VM, or many streams that
    /// lose a connection would open one each.
    async fn open_once(self: &Arc<Self>, peer: &PeerEntry) -> Result<Arc<PeerLink>, PeerError> {
        let opening = self.opening(&peer.vm);
        let _guard = opening.lock().await;
        if let Some(link) = self.open_link(&peer.vm) {
            return Ok(link);
        }
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
            }
            Err(fault) => {
                tracing::info!(peer = %peer.vm, %fault, "peer cannot be reached");
                self.lost(&peer.vm);
            }
        }
        opened
    }

    pub(crate) fn open_link(&self, vm: &VmId) -> Option<Arc<PeerLink>> {
        let links = self.links.lock();
        let i = links.binary_search_by(|(other, _)| other.cmp(vm)).ok()?;
        Some(links[i].1.clone())
    }

    pub(crate) async fn open(
        self: &Arc<Self>,
        peer: &PeerEntry,
    ) -> Result<Arc<PeerLink>, PeerError> {
        let (receiver, ender) = (Arc::downgrade(self), Arc::downgrade(self));
        let vm = peer.vm.clone();
        let link = PeerLink::open(
            peer,
            &self.identity,
            self.timeline.clock(),
            &self.sent,
            move |body| {
                if let (Some(peers), PeerBody::Superseded(list)) = (receiver.upgrade(), body) {
                    peers.superseded(&list);
                }
            },
            move |serial| {
                if let Some(peers) = ender.upgrade() {
                    peers.drop_link(&vm, serial);
                }
            },
        );
        link.await.map(Arc::new)
    }

    pub(crate) fn drop_link(&self, vm: &VmId, serial: u64) {
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

    pub(crate) fn lost(&self, vm: &VmId) {
        self.timeline.record(Event {
            detail: Some(vm.as_str().into()),
            ..Event::new(EventKind::PeerLost)
        });
        self.table.lock().record_failure(self.timer.now(), vm);
        self.choose_holders();
    }

    pub(crate) fn choose_holders(&self) {
        let now = self.timer.now();
        let own = self.own();
        let holders = self.table.lock().holders(now, &own.vm, &own.zone);
        if **self.holders.load() != holders {
            self.holders.store(Arc::new(holders));
        }
    }
}
