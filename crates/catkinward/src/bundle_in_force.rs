use super::*;

/// The bundle in force on this VM. Its version only increases.
pub struct BundleInForce {
    timeline: Arc<Timeline>,
    current: ArcSwap<InForce>,
    advance_lock: Mutex<()>,
    changed: watch::Sender<BundleVersion>,
}

#[derive(Default)]
struct InForce {
    bundle: Arc<Bundle>,
    body: Arc<str>,
}

impl BundleInForce {
    /// Starts without a bundle. Each bundle that comes into force is recorded in `timeline`.
    #[must_use]
    pub fn new(timeline: Arc<Timeline>) -> Self {
        Self {
            timeline,
            current: ArcSwap::default(),
            advance_lock: Mutex::default(),
            changed: watch::Sender::default(),
        }
    }

    /// Returns the bundle in force now. A request keeps the bundle under which it was accepted.
    #[must_use]
    pub fn current(&self) -> Arc<Bundle> {
        self.current.load().bundle.clone()
    }

    /// Returns the canonical form of the bundle in force if it has this digest. It is served to
    /// peers.
    #[must_use]
    pub fn body(&self, digest: BundleDigest) -> Option<Arc<str>> {
        let current = self.current.load();
        let is_current =
            current.bundle.version > BundleVersion::default() && current.bundle.digest == digest;
        is_current.then(|| current.body.clone())
    }

    /// Puts a bundle in force if its version is larger than the current one; returns whether it
    /// did.
    ///
    /// Without the comparison a delayed message with an older bundle would undo a rollout on this
    /// VM. The symptom would be callers that are served under two versions for a long time.
    pub fn advance(&self, read: ReadBundle) -> bool {
        let ReadBundle { bundle, body } = read;
        let _guard = self.advance_lock.lock();
        if bundle.version <= self.current.load().bundle.version {
            return false;
        }
        let version = bundle.version;
        tracing::info!(%version, digest = %bundle.digest, "bundle in force");
        self.current.store(Arc::new(InForce {
            bundle: Arc::new(bundle),
            body,
        }));
        self.timeline.record(Event {
            bundle: Some(version),
            ..Event::new(EventKind::BundleInForce)
        });
        self.changed.send_replace(version);
        true
    }

    /// Returns a receiver of the version in force, notified of each change.
    pub fn changes(&self) -> watch::Receiver<BundleVersion> {
        self.changed.subscribe()
    }
}
