//! Propagation of updates between VMs: releases, leaving upstreams, and crashes of upstreams while
//! they were running a request.
//!
//! An update is sent to all neighbours immediately. It also stays in the periodic exchange (once a
//! second) for a while, so a lost message delays it by one round at most. A VM relays updates that
//! are new to it and drops those that it has already applied.

use super::*;

/// Longest interval between two reads of the platform's list of VMs. If only the list shows that an
/// upstream is leaving, new work is sent to it for up to this interval plus the timeout of a call
/// (1 s). 400 VMs read the list about 220 times a second.
const VM_LIST_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Connects the components that have updates for peers with the gossip between VMs.
pub(crate) fn start_peer_updates(
    peers: &Arc<Peers>,
    watch: &Arc<BundleWatch>,
    upstreams: &Arc<Upstreams>,
    bundle: &Arc<BundleInForce>,
) {
    gossip_releases(peers, watch);
    let fetcher = Arc::downgrade(peers);
    watch.add_source(Box::new(move |digest| {
        let peers = fetcher.upgrade();
        Box::pin(async move { peers?.fetch_bundle(digest).await })
    }));
    let exchange = exchange_on_update(peers.clone(), upstreams.clone(), bundle.changes());
    tokio::spawn(exchange);
}

fn gossip_releases(peers: &Arc<Peers>, watch: &Arc<BundleWatch>) {
    let advertiser = watch.clone();
    peers
        .gossip
        .on_send(move |gossip| gossip.bundle = advertiser.in_force());
    let receiver = watch.clone();
    peers.gossip.on_receive(move |gossip, _| {
        if let Some((version, digest)) = gossip.bundle {
            receiver.record_peer_release(version, digest);
        }
    });
}

/// Exchanges state with all neighbours as soon as there is an update.
///
/// The caller of a request that crashed an upstream retries it immediately on another VM. If that
/// VM received the crash record only with the next round, the request would crash its upstreams
/// too.
async fn exchange_on_update(
    peers: Arc<Peers>,
    upstreams: Arc<Upstreams>,
    mut releases: watch::Receiver<BundleVersion>,
) {
    loop {
        tokio::select! {
            () = upstreams.wait_for_update() => {}
            release = releases.changed() => if release.is_err() { return },
        }
        peers.exchange_now();
    }
}

/// Merges the platform's list of VMs with what peers advertise. The list lags and may be
/// unreachable; a VM that it no longer contains is removed once peers do not advertise it either.
pub(crate) async fn poll_vm_list(
    platform: Arc<Platform>,
    peers: Option<Arc<Peers>>,
    upstreams: Arc<Upstreams>,
    timer: Arc<Timer>,
) {
    let mut ticks = timer.subscribe(VM_LIST_POLL_INTERVAL.mul_f64(rand::random_range(0.8..1.0)));
    loop {
        match (platform.vms)(()).await {
            Ok(list) => list
                .into_iter()
                .for_each(|entry| apply_entry(peers.as_deref(), &upstreams, &entry)),
            Err(error) => tracing::debug!(fault = %error, "cannot read the platform's list of VMs"),
        }
        if ticks.recv().await.is_none() {
            return;
        }
    }
}

fn apply_entry(peers: Option<&Peers>, upstreams: &Upstreams, entry: &platform_api::VmEntry) {
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
                    peers.record_seen(PeerEntry { vm, address, zone });
                }
            } else {
                tracing::warn!(id = entry.id, "an entry of the list of VMs cannot be read");
            }
        }
        platform_api::VmKind::Upstream => {
            if let Ok(id) = entry.id.parse() {
                upstreams.record_listed(&id, leaving);
            }
        }
    }
}
