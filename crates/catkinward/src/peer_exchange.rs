//! The exchange of news with neighbours.

use super::*;
use crate::peers::PROBE_TIMEOUT;

/// How often this VM exchanges news with one of its neighbours.
const GOSSIP_PERIOD: Duration = Duration::from_secs(1);

/// VMs that are asked before a request is refused for the deaths under it. Eight VMs are usual today; where
/// there are more, the others hear of it from those that were asked.
const MOST_CONFERRED: usize = 16;

/// VMs named in one exchange.
const VMS_TOLD: usize = 6;

/// How an exchange with several VMs went.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ExchangeResult {
    /// VMs that got the message.
    pub(crate) asked: usize,
    /// Those of them whose answers were awaited.
    pub(crate) awaited: usize,
    /// Those that have answered in time.
    pub(crate) answered: usize,
}

impl Peers {
    /// Fetches the content of a bundle from one of the neighbours that has it in force.
    pub(crate) async fn fetch_bundle(self: &Arc<Self>, digest: BundleDigest) -> Option<Bytes> {
        let neighbours = self.table.lock().neighbours(self.timer.now());
        for peer in neighbours {
            let Ok(link) = self.link(&peer).await else {
                continue;
            };
            let answer = link.ask(PeerBody::FetchBundle(digest), PROBE_TIMEOUT).await;
            if let Ok(PeerBody::BundleContent(Some(content))) = answer {
                return Some(Bytes::copy_from_slice(content.as_bytes()));
            }
        }
        None
    }

    pub(crate) fn news(&self) -> Gossip {
        let mut gossip = self.gossip.collect();
        let skip = rand::random_range(0..1024);
        let told = self
            .table
            .lock()
            .to_advertise(self.timer.now(), skip, VMS_TOLD);
        gossip.vms = told
            .into_iter()
            .map(|(entry, age)| (entry, u32::try_from(age.as_millis()).unwrap_or(u32::MAX)))
            .collect();
        gossip
    }

    pub(crate) fn hear(&self, gossip: &Gossip, sender: &VmId) {
        let now = self.timer.now();
        let mut table = self.table.lock();
        for (entry, age) in &gossip.vms {
            let at = now.before(Duration::from_millis((*age).into()));
            table.record_seen(at, entry.clone());
        }
        table.record_response(now, sender);
        drop(table);
        self.choose_holders();
        self.gossip.spread(gossip, sender);
    }

    pub(crate) async fn exchange_with(self: &Arc<Self>, peer: &PeerEntry) -> Result<(), PeerError> {
        self.exchange(peer, self.news()).await
    }

    async fn exchange(self: &Arc<Self>, peer: &PeerEntry, news: Gossip) -> Result<(), PeerError> {
        let start = self.timer.now();
        let link = self.link(peer).await?;
        let (deaths, asked) = (news.poison.len(), self.timer.now());
        match link
            .ask(PeerBody::Gossip(Box::new(news)), PROBE_TIMEOUT)
            .await
        {
            Ok(PeerBody::Gossip(gossip)) => {
                if deaths > 0 {
                    let connected_ms = asked.since(start).as_millis();
                    let took_ms = self.timer.now().since(start).as_millis();
                    tracing::info!(peer = %peer.vm, deaths, %connected_ms, %took_ms,
                        "peer has heard of deaths");
                }
                self.hear(&gossip, &peer.vm);
                Ok(())
            }
            Ok(_) => Err(PeerError::Form),
            Err(fault) => {
                // A connection that went silent is not noticed by TCP for minutes.
                self.drop_link(&peer.vm, link.serial);
                self.lost(&peer.vm);
                Err(fault)
            }
        }
    }

    /// Sends VMs the deaths under a request, and takes what they know of these deaths: all VMs of a small
    /// system, [`MOST_CONFERRED`] of a larger one. Waits for their answers up to [`PROBE_TIMEOUT`].
    pub(crate) async fn confer(self: &Arc<Self>, poison: Vec<PoisonRecord>) -> ExchangeResult {
        let now = self.timer.now();
        let peers = self
            .table
            .lock()
            .nearest_including_silent(now, MOST_CONFERRED);
        let gossip = Gossip {
            poison,
            ..Gossip::default()
        };
        self.exchange_all(&peers, &peers, &gossip).await
    }

    /// Announces to VMs that a suspect is about to run, with the deaths under it. Waits up to [`PROBE_TIMEOUT`] for the
    /// answers of those to which its caller may return; the others get it as well.
    pub(crate) async fn announce(
        self: &Arc<Self>,
        run: SuspectRun,
        poison: Vec<PoisonRecord>,
    ) -> ExchangeResult {
        let now = self.timer.now();
        let (peers, awaited) = {
            let table = self.table.lock();
            let peers = table.nearest_including_silent(now, MOST_CONFERRED);
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

    /// Tells VMs that the order of a run which was announced to them was not sent. Waits for no answer.
    pub(crate) async fn withdraw(self: &Arc<Self>, run: SuspectRun) {
        let now = self.timer.now();
        let peers = self
            .table
            .lock()
            .nearest_including_silent(now, MOST_CONFERRED);
        let gossip = Gossip {
            withdrawn: vec![run],
            ..Gossip::default()
        };
        self.exchange_all(&peers, &[], &gossip).await;
    }

    /// Exchanges with VMs, each in a task of its own: a message that is not answered in time is still on its way.
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
            is_awaited.then(|| tokio::time::timeout(PROBE_TIMEOUT, exchange))
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

    /// Exchanges news with all neighbours at once: a change should not wait for the next round.
    pub fn exchange_now(self: &Arc<Self>) {
        let now = self.timer.now();
        let neighbours = self.table.lock().neighbours(now);
        for peer in neighbours {
            let peers = self.clone();
            tokio::spawn(async move { peers.exchange_with(&peer).await });
        }
    }
}

/// Exchanges news with one neighbour after the other.
pub(crate) async fn exchange_news(peers: Arc<Peers>, known: Vec<PeerEntry>) {
    let mut ticks = peers.timer.subscribe(GOSSIP_PERIOD);
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
        peers.show_cost();
        peers.choose_holders();
        if let Some(peer) = neighbours.get(round % neighbours.len().max(1)) {
            let (peers, peer) = (peers.clone(), peer.clone());
            tokio::spawn(async move {
                if let Err(fault) = peers.exchange_with(&peer).await {
                    tracing::debug!(peer = %peer.vm, %fault, "no news");
                }
            });
        }
    }
}
