//! The exchange of gossip with neighbours.

use super::*;
use crate::peers::PEER_REQUEST_TIMEOUT;

/// Interval at which this VM exchanges gossip with one of its neighbours.
const GOSSIP_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of VMs that are queried for crash records before a request is refused as
/// poisoned. A typical system has eight VMs; in a larger one the other VMs get the records by gossip
/// from those queried.
const MAX_QUERIED_PEERS: usize = 16;

/// Maximum number of VMs advertised in one message.
const MAX_ADVERTISED_VMS: usize = 6;

/// Result of an exchange with several VMs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ExchangeResult {
    /// Number of VMs that the message was sent to.
    pub(crate) asked: usize,
    /// Number of them whose replies were awaited.
    pub(crate) awaited: usize,
    /// Number of awaited replies that arrived in time.
    pub(crate) answered: usize,
}

impl Peers {
    /// Fetches the content of a bundle from the first neighbour that has it in force.
    pub(crate) async fn fetch_bundle(self: &Arc<Self>, digest: BundleDigest) -> Option<Bytes> {
        let neighbours = self.table.lock().neighbours(self.timer.now());
        for peer in neighbours {
            let Ok(link) = self.link(&peer).await else {
                continue;
            };
            let reply = link
                .request(PeerBody::FetchBundle(digest), PEER_REQUEST_TIMEOUT)
                .await;
            if let Ok(PeerBody::BundleContent(Some(content))) = reply {
                return Some(Bytes::copy_from_slice(content.as_bytes()));
            }
        }
        None
    }

    pub(crate) fn compose_gossip(&self) -> Gossip {
        let mut gossip = self.gossip.collect();
        let skip = rand::random_range(0..1024);
        let advertised = self
            .table
            .lock()
            .to_advertise(self.timer.now(), skip, MAX_ADVERTISED_VMS);
        gossip.vms = advertised
            .into_iter()
            .map(|(entry, age)| (entry, u32::try_from(age.as_millis()).unwrap_or(u32::MAX)))
            .collect();
        gossip
    }

    pub(crate) fn apply_gossip(&self, gossip: &Gossip, sender: &VmId) {
        let now = self.timer.now();
        let mut table = self.table.lock();
        for (entry, age) in &gossip.vms {
            let at = now.before(Duration::from_millis((*age).into()));
            table.record_seen(at, entry.clone());
        }
        table.record_response(now, sender);
        drop(table);
        self.update_holders();
        self.gossip.dispatch(gossip, sender);
    }

    pub(crate) async fn exchange_with(self: &Arc<Self>, peer: &PeerEntry) -> Result<(), PeerError> {
        self.exchange(peer, self.compose_gossip()).await
    }

    async fn exchange(
        self: &Arc<Self>,
        peer: &PeerEntry,
        message: Gossip,
    ) -> Result<(), PeerError> {
        let start = self.timer.now();
        let link = self.link(peer).await?;
        let (deaths, connected_at) = (message.poison.len(), self.timer.now());
        match link
            .request(PeerBody::Gossip(Box::new(message)), PEER_REQUEST_TIMEOUT)
            .await
        {
            Ok(PeerBody::Gossip(gossip)) => {
                if deaths > 0 {
                    let connected_ms = connected_at.since(start).as_millis();
                    let took_ms = self.timer.now().since(start).as_millis();
                    tracing::info!(peer = %peer.vm, deaths, %connected_ms, %took_ms,
                        "peer received crash records");
                }
                self.apply_gossip(&gossip, &peer.vm);
                Ok(())
            }
            Ok(_) => Err(PeerError::Form),
            Err(error) => {
                self.handle_failed_request(&peer.vm, Some(&link), &error);
                Err(error)
            }
        }
    }

    /// Sends the crash records of a request to other VMs and applies what they reply about these
    /// crashes: all VMs of a small system, [`MAX_QUERIED_PEERS`] of a larger one. Waits for the
    /// replies up to [`PEER_REQUEST_TIMEOUT`].
    pub(crate) async fn query_crash_records(
        self: &Arc<Self>,
        poison: Vec<PoisonRecord>,
    ) -> ExchangeResult {
        let now = self.timer.now();
        let peers = self
            .table
            .lock()
            .nearest_including_silent(now, MAX_QUERIED_PEERS);
        let gossip = Gossip {
            poison,
            ..Gossip::default()
        };
        self.exchange_all(&peers, &peers, &gossip).await
    }

    /// Announces to VMs that a suspect request is about to run, with its crash records. Waits up to
    /// [`PEER_REQUEST_TIMEOUT`] for the replies of the VMs that its caller may reconnect to; the other VMs
    /// get the announcement as well.
    pub(crate) async fn announce(
        self: &Arc<Self>,
        run: SuspectRun,
        poison: Vec<PoisonRecord>,
    ) -> ExchangeResult {
        let now = self.timer.now();
        let (peers, awaited) = {
            let table = self.table.lock();
            let peers = table.nearest_including_silent(now, MAX_QUERIED_PEERS);
            let mut awaited = peers.clone();
            awaited.retain(|peer| table.may_serve(now, &peer.vm));
            (peers, awaited)
        };
        let gossip = Gossip {
            poison,
            suspects: vec![run],
            ..Gossip::default()
        };
        self.exchange_all(&peers, &awaited, &gossip).await
    }

    /// Notifies VMs that the order of an announced run was not sent. Does not wait for replies.
    pub(crate) async fn withdraw(self: &Arc<Self>, run: SuspectRun) {
        let now = self.timer.now();
        let peers = self
            .table
            .lock()
            .nearest_including_silent(now, MAX_QUERIED_PEERS);
        let gossip = Gossip {
            withdrawn: vec![run],
            ..Gossip::default()
        };
        self.exchange_all(&peers, &[], &gossip).await;
    }

    /// Exchanges gossip with several VMs, each in its own task, so that a message whose reply is not
    /// awaited or late is still delivered.
    async fn exchange_all(
        self: &Arc<Self>,
        peers: &[PeerEntry],
        awaited: &[PeerEntry],
        gossip: &Gossip,
    ) -> ExchangeResult {
        let exchanges = peers.iter().filter_map(|peer| {
            let is_awaited = awaited.contains(peer);
            let (peers, peer, gossip) = (self.clone(), peer.clone(), gossip.clone());
            let exchange = tokio::spawn(async move { peers.exchange(&peer, gossip).await });
            is_awaited.then(|| tokio::time::timeout(PEER_REQUEST_TIMEOUT, exchange))
        });
        let results = futures::future::join_all(exchanges.collect::<Vec<_>>()).await;
        let answered = results
            .iter()
            .filter(|result| matches!(result, Ok(Ok(Ok(())))));
        ExchangeResult {
            asked: peers.len(),
            awaited: awaited.len(),
            answered: answered.count(),
        }
    }

    /// Exchanges gossip with all neighbours immediately, so that an update does not wait for the next
    /// round.
    pub fn exchange_now(self: &Arc<Self>) {
        let now = self.timer.now();
        let neighbours = self.table.lock().neighbours(now);
        for peer in neighbours {
            let peers = self.clone();
            tokio::spawn(async move { peers.exchange_with(&peer).await });
        }
    }
}

/// Exchanges gossip with one neighbour per round, in turn.
pub(crate) async fn run_gossip(peers: Arc<Peers>, known: Vec<PeerEntry>) {
    let mut ticks = peers.timer.subscribe(GOSSIP_INTERVAL);
    let mut round = rand::random_range(0..64_usize);
    while let Some(now) = ticks.recv().await {
        round += 1;
        let neighbours = {
            let mut table = peers.table.lock();
            for peer in &known {
                table.record_seen(now, peer.clone());
            }
            table.expire(now);
            table.neighbours(now)
        };
        peers.store.lock().expire(now);
        peers.update_metrics();
        peers.update_holders();
        if let Some(peer) = neighbours.get(round % neighbours.len().max(1)) {
            let (peers, peer) = (peers.clone(), peer.clone());
            tokio::spawn(async move {
                if let Err(error) = peers.exchange_with(&peer).await {
                    tracing::debug!(peer = %peer.vm, fault = %error, "no news");
                }
            });
        }
    }
}
