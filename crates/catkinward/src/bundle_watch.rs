//! Puts each release in force on this VM.
//!
//! Load: 640 rollouts a day, each of which every VM must have in force within 3 s at p99. All VMs
//! poll the table service, which serves about 2,000 reads per second for all its clients.
//!
//! Poll interval: 400 VMs that read one row of about 150 bytes every second make 400 reads per
//! second, a fifth of the table service's capacity. The interval of a VM is drawn from 0.8 s to
//! 1.2 s, so that VMs that start together do not poll in step. A release is then detected at most
//! 1.2 s after its commit, or 2.4 s if one read is lost (it times out after 1 s). Half of the 3 s
//! remains for the read and the content. The content is fetched from a peer that has it, else from
//! the object store: in the worst case 400 fetches in 1.2 s, or 333 per second. Polling every 0.5 s
//! would take 800 reads per second to save 0.6 s; polling every 2 s would exceed the 3 s after one
//! lost read.

use super::*;
use catkin_decisions::{BundleKey, BundleRow, BundleView};
use futures::future::BoxFuture;

/// Mean interval between polls of the table service.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum wait for the content from one source other than the object store.
const SOURCE_TIMEOUT: Duration = Duration::from_millis(400);

/// Fetches the content of a digest from a source; `None` if it is missing or does not arrive.
pub type FetchBundle = Box<dyn Fn(BundleDigest) -> BoxFuture<'static, Option<Bytes>> + Send + Sync>;

/// The service that detects new releases and puts them in force.
pub struct BundleWatch {
    platform: Option<Arc<Platform>>,
    timer: Arc<Timer>,
    bundle: Arc<BundleInForce>,
    view: Mutex<BundleView>,
    sources: RwLock<Vec<Arc<FetchBundle>>>,
    view_changed: Notify,
}

impl BundleWatch {
    /// Starts polling the platform, if there is one, and applying releases from
    /// [`Self::record_peer_release`].
    pub fn start(
        platform: Option<Arc<Platform>>,
        timer: &Arc<Timer>,
        bundle: &Arc<BundleInForce>,
    ) -> Arc<Self> {
        let watch = Arc::new(Self {
            platform,
            timer: timer.clone(),
            bundle: bundle.clone(),
            view: Mutex::new(BundleView::new(timer.now())),
            sources: RwLock::default(),
            view_changed: Notify::new(),
        });
        let interval = POLL_INTERVAL.mul_f64(rand::random_range(0.8..1.2));
        tokio::spawn(poll_current(watch.clone(), interval));
        tokio::spawn(apply_releases(watch.clone(), interval));
        watch
    }

    /// Records a release that a peer advertises.
    pub fn record_peer_release(&self, version: BundleVersion, digest: BundleDigest) {
        self.view.lock().record_peer_release(version, digest);
        self.view_changed.notify_one();
    }

    /// Adds a source of content that is queried before the object store.
    pub fn add_source(&self, fetch: FetchBundle) {
        self.sources.write().push(Arc::new(fetch));
    }

    /// Returns the release in force, which is advertised to peers.
    #[must_use]
    pub fn in_force(&self) -> Option<(BundleVersion, BundleDigest)> {
        let bundle = self.bundle.current();
        (bundle.version > BundleVersion::default()).then_some((bundle.version, bundle.digest))
    }

    async fn poll_once(&self, platform: &Platform) {
        match read_current_row(platform).await {
            Ok(current) => {
                self.view.lock().record_table_release(current);
                self.view_changed.notify_one();
            }
            // The current bundle stays in force: a platform outage fails no request.
            Err(error) => tracing::debug!(fault = %error, "cannot read the current bundle"),
        }
    }

    /// Puts pending releases in force; returns false if the content of one is not available now.
    async fn advance(&self) -> bool {
        loop {
            let next = self.view.lock().next_release(self.timer.now());
            let Some((version, digest)) = next else {
                return true;
            };
            let Some(read) = self.fetch(version, digest).await else {
                self.view.lock().record_unavailable(version);
                return false;
            };
            self.bundle.advance(read);
            self.view.lock().record_in_force(version);
        }
    }

    async fn fetch(&self, version: BundleVersion, digest: BundleDigest) -> Option<ReadBundle> {
        let sources = self.sources.read().clone();
        for source in sources {
            let body = tokio::time::timeout(SOURCE_TIMEOUT, source(digest)).await;
            if let Some(read) = body
                .ok()
                .flatten()
                .and_then(|b| parse_content(version, digest, &b))
            {
                return Some(read);
            }
        }
        let platform = self.platform.as_ref()?;
        match (platform.get_object)(content_object_name(digest)).await {
            Ok(Some(body)) => parse_content(version, digest, &body),
            Ok(None) => {
                tracing::error!(%version, %digest, "the object store has no content of a release");
                None
            }
            Err(error) => {
                tracing::warn!(%version, fault = %error, "cannot fetch a release");
                None
            }
        }
    }
}

/// Returns the name of the object that holds the content of a digest.
pub(crate) fn content_object_name(digest: BundleDigest) -> Arc<str> {
    format!("bundle/{digest}").into()
}

fn parse_content(version: BundleVersion, digest: BundleDigest, body: &[u8]) -> Option<ReadBundle> {
    read_canonical(version, digest, body)
        .inspect_err(|error| tracing::error!(%version, %error, "a release cannot be put in force"))
        .ok()
}

async fn read_current_row(platform: &Platform) -> Result<Option<(BundleVersion, BundleDigest)>> {
    let rows = bundle_rows::read_rows(platform, &[BundleKey::Current]).await?;
    Ok(rows.into_iter().find_map(|(_, row)| match row {
        BundleRow::Current(current) => Some((current.version, current.digest)),
        _ => None,
    }))
}

async fn poll_current(watch: Arc<BundleWatch>, interval: Duration) {
    let Some(platform) = watch.platform.clone() else {
        return;
    };
    let mut ticks = watch.timer.subscribe(interval);
    loop {
        watch.poll_once(&platform).await;
        if ticks.recv().await.is_none() {
            return;
        }
    }
}

/// Runs in a task apart from the polls, so that a hanging read does not delay a release that a peer
/// advertises.
async fn apply_releases(watch: Arc<BundleWatch>, interval: Duration) {
    let mut ticks = watch.timer.subscribe(interval);
    loop {
        if !watch.advance().await {
            // Another source may have the content at the next tick; without the wait this would
            // spin.
            if ticks.recv().await.is_none() {
                return;
            }
            continue;
        }
        tokio::select! {
            () = watch.view_changed.notified() => {}
            tick = ticks.recv() => if tick.is_none() { return },
        }
    }
}
