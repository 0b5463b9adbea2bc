//! Spreads releases among the VMs: word of them in each exchange of news, their content on demand.
//!
//! The table service tells every VM within its period; peers tell sooner, and they alone can tell
//! while it is out or cut off. A word costs about 80 bytes in a message that is sent anyway. The
//! content is fetched once by each VM, from one that said it has it.

use super::*;

/// Tellers of a release that are remembered; one that answers is enough.
const TELLERS: usize = 4;

/// The VMs that told of the latest release heard of.
#[derive(Default)]
struct Tellers {
    digest: BundleDigest,
    vms: Vec<VmId>,
}

impl Tellers {
    fn add(&mut self, digest: BundleDigest, vm: &VmId) {
        if self.digest != digest {
            *self = Self {
                digest,
                vms: Vec::new(),
            };
        }
        if self.vms.len() < TELLERS && !self.vms.contains(vm) {
            self.vms.push(vm.clone());
        }
    }

    fn of(&self, digest: BundleDigest) -> Vec<VmId> {
        if self.digest == digest {
            self.vms.clone()
        } else {
            Vec::new()
        }
    }
}

/// Starts to tell peers of the release in force, to hear theirs, and to fetch content from them.
pub(crate) fn spread_bundles(
    peers: &Arc<Peers>,
    watch: &Arc<BundleWatch>,
    kept: &Arc<BundleInForce>,
) {
    peers.serve_bundle(kept);
    let tellers = Arc::new(Mutex::new(Tellers::default()));
    let told = Arc::downgrade(watch);
    peers.gossip.tell(move |gossip| {
        gossip.bundle = told.upgrade().and_then(|watch| watch.in_force());
    });
    let (heard, remembered) = (Arc::downgrade(watch), tellers.clone());
    peers.gossip.hear(move |gossip, sender| {
        if let (Some((version, digest)), Some(watch)) = (gossip.bundle, heard.upgrade()) {
            remembered.lock().add(digest, sender);
            watch.heard(version, digest);
        }
    });
    let asked = Arc::downgrade(peers);
    watch.add_source(Box::new(move |digest| {
        let (peers, vms) = (asked.upgrade(), tellers.lock().of(digest));
        Box::pin(async move { fetch(peers?, vms, digest).await })
    }));
    tokio::spawn(tell_at_once(Arc::downgrade(peers), kept.changes()));
}

async fn fetch(peers: Arc<Peers>, vms: Vec<VmId>, digest: BundleDigest) -> Option<Bytes> {
    for vm in vms {
        if let Some(body) = peers.ask_for_bundle(&vm, digest).await {
            return Some(body);
        }
    }
    None
}

/// Without this a release would wait for the next exchange on each VM that it passes.
async fn tell_at_once(peers: std::sync::Weak<Peers>, mut changes: watch::Receiver<BundleVersion>) {
    while changes.changed().await.is_ok() {
        match peers.upgrade() {
            Some(peers) => peers.exchange_now(),
            None => return,
        }
    }
}
