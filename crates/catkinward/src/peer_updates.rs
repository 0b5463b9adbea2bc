//! When VMs tell each other what is new: releases, upstreams that leave, requests that upstreams
//! die under.
//!
//! Each piece is told to all neighbours at once, and stays in the exchange of every second for a
//! while, so that a lost message delays it by a round and no more. A VM that learns something tells
//! it on; what it knew already ends there.

use super::*;

/// Longest time between two reads of the platform's list of VMs. If only the list knows that an
/// upstream is leaving, this and the bound of a call (1 s) pass until work to it ends; 400 VMs read
/// it about 220 times a second.
const LIST_PERIOD: Duration = Duration::from_secs(2);

/// Joins the exchange between VMs with the parts that have news.
pub(crate) fn start_peer_updates(
    peers: &Arc<Peers>,
    watch: &Arc<BundleWatch>,
    upstreams: &Arc<Upstreams>,
    bundle: &Arc<BundleInForce>,
) {
    tell_releases(peers, watch);
    let fetcher = Arc::downgrade(peers);
    watch.add_source(Box::new(move |digest| {
        let peers = fetcher.upgrade();
        Box::pin(async move { peers?.fetch_bundle(digest).await })
    }));
    let news = tell_at_once(peers.clone(), upstreams.clone(), bundle.changes());
    tokio::spawn(news);
}

fn tell_releases(peers: &Arc<Peers>, watch: &Arc<BundleWatch>) {
    let teller = watch.clone();
    peers
        .gossip
        .tell(move |gossip| gossip.bundle = teller.in_force());
    let hearer = watch.clone();
    peers.gossip.hear(move |gossip, _| {
        if let Some((version, digest)) = gossip.bundle {
            hearer.record_peer_release(version, digest);
        }
    });
}

/// A caller of a request that killed an upstream sends it again at once, to another VM: one that
/// hears of the death with the next round only would lose its upstreams to it as well.
async fn tell_at_once(
    peers: Arc<Peers>,
    upstreams: Arc<Upstreams>,
    mut releases: watch::Receiver<BundleVersion>,
) {
    loop {
        tokio::select! {
            () = upstreams.has_news() => {}
            release = releases.changed() => if release.is_err() { return },
        }
        peers.exchange_now();
    }
}

/// Joins the platform's list with what peers say. The list lags and may be out of reach; a VM that
/// it does not name any more is forgotten once peers do not speak of it either.
pub(crate) async fn read_list(
    platform: Arc<Platform>,
    peers: Option<Arc<Peers>>,
    upstreams: Arc<Upstreams>,
    timer: Arc<Timer>,
) {
    let mut ticks = timer.subscribe(LIST_PERIOD.mul_f64(rand::random_range(0.8..1.0)));
    loop {
        match (platform.vms)(()).await {
            Ok(list) => list
                .into_iter()
                .for_each(|entry| take_entry(peers.as_deref(), &upstreams, &entry)),
            Err(fault) => tracing::debug!(%fault, "no list of VMs"),
        }
        if ticks.recv().await.is_none() {
            return;
        }
    }
}

fn take_entry(peers: Option<&Peers>, upstreams: &Upstreams, entry: &platform_api::VmEntry) {
    let leaving = entry.state == platform_api::VmState::Leaving;
    match entry.kind {
        platform_api::VmKind::Router if leaving => {}
        platform_api::VmKind::Router => {
            let parsed = (
                entry.id.parse(),
                entry.address.parse(),
                entry.availability_zone.parse(),
            );
            if let (Ok(vm), Ok(address), Ok(zone)) = parsed {
                if let Some(peers) = peers {
                    peers.heard_of(PeerEntry { vm, address, zone });
                }
            } else {
                tracing::warn!(id = entry.id, "an entry of the list of VMs cannot be read");
            }
        }
        platform_api::VmKind::Upstream => {
            if let Ok(id) = entry.id.parse() {
                upstreams.listed(&id, leaving);
            }
        }
    }
}
