//! Brings each release into force on this VM.
//!
//! Load pattern: 640 rollouts a day, and every VM has to have each in force within 3 s at p99. All
//! VMs ask the table service, which does about 2,000 reads a second for everything.
//!
//! Arithmetic: 400 VMs that read one row of about 150 bytes every second are 400 reads a second, a
//! fifth of what the table service does. The period of a VM is drawn from 0.8 s to 1.2 s, so that
//! VMs started together drift apart; a release is then heard of 1.2 s after its commit at the
//! latest, and if one read is lost (given up after 1 s) 2.4 s after it. Half of the 3 s are left for
//! the read and the content. The content is fetched from a peer that has it, else from the object
//! store: 400 fetches in 1.2 s at worst, 333 a second. Reading every 0.5 s would take 800 reads a
//! second for 0.6 s less; every 2 s, one lost read would break the 3 s.

use super::*;
use catkin_decisions::{BundleKey, BundleRow, BundleView};
use futures::future::BoxFuture;

/// How often the table service is asked, on average.
const PERIOD: Duration = Duration::from_secs(1);

/// Longest wait for the content from one source that is not the object store.
const SOURCE_BOUND: Duration = Duration::from_millis(400);

/// Fetches the content of a digest from somewhere; `None` if it is not there or does not come.
pub type FetchBundle = Box<dyn Fn(BundleDigest) -> BoxFuture<'static, Option<Bytes>> + Send + Sync>;

/// The service that hears of releases and puts them in force.
pub struct BundleWatch {
    platform: Option<Arc<Platform>>,
    timer: Arc<Timer>,
    bundle: Arc<BundleInForce>,
    view: Mutex<BundleView>,
    sources: RwLock<Vec<Arc<FetchBundle>>>,
    news: Notify,
}

impl BundleWatch {
    /// Starts to ask the platform, if there is one, and to listen to [`Self::heard`].
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
            news: Notify::new(),
        });
        let period = PERIOD.mul_f64(rand::random_range(0.8..1.2));
        tokio::spawn(read_current(watch.clone(), period));
        tokio::spawn(put_in_force(watch.clone(), period));
        watch
    }

    /// Takes in a peer's word of a release.
    pub fn heard(&self, version: BundleVersion, digest: BundleDigest) {
        self.view.lock().record_peer_release(version, digest);
        self.news.notify_one();
    }

    /// Adds a source of content, asked before the object store.
    pub fn add_source(&self, fetch: FetchBundle) {
        self.sources.write().push(Arc::new(fetch));
    }

    /// The release in force, to tell peers of.
    #[must_use]
    pub fn in_force(&self) -> Option<(BundleVersion, BundleDigest)> {
        let bundle = self.bundle.current();
        (bundle.version > BundleVersion::default()).then_some((bundle.version, bundle.digest))
    }

    async fn read_once(&self, platform: &Platform) {
        match read_current_row(platform).await {
            Ok(current) => {
                self.view.lock().record_table_release(current);
                self.news.notify_one();
            }
            // The present bundle stays in force: an outage of the platform stops no request.
            Err(fault) => tracing::debug!(%fault, "cannot read the current bundle"),
        }
    }

    /// Puts in force what is wanted; false if its content cannot be had now.
    async fn advance(&self) -> bool {
        loop {
            let wanted = self.view.lock().next_release(self.timer.now());
            let Some((version, digest)) = wanted else {
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
            let body = tokio::time::timeout(SOURCE_BOUND, source(digest)).await;
            if let Some(read) = body.ok().flatten().and_then(|b| read(version, digest, &b)) {
                return Some(read);
            }
        }
        let platform = self.platform.as_ref()?;
        match (platform.get_object)(object_name(digest)).await {
            Ok(Some(body)) => read(version, digest, &body),
            Ok(None) => {
                tracing::error!(%version, %digest, "the object store has no content of a release");
                None
            }
            Err(fault) => {
                tracing::warn!(%version, %fault, "cannot fetch a release");
                None
            }
        }
    }
}

/// Name of the object that holds the content of a digest.
pub(crate) fn object_name(digest: BundleDigest) -> Arc<str> {
    format!("bundle/{digest}").into()
}

fn read(version: BundleVersion, digest: BundleDigest, body: &[u8]) -> Option<ReadBundle> {
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

async fn read_current(watch: Arc<BundleWatch>, period: Duration) {
    let Some(platform) = watch.platform.clone() else {
        return;
    };
    let mut ticks = watch.timer.subscribe(period);
    loop {
        watch.read_once(&platform).await;
        if ticks.recv().await.is_none() {
            return;
        }
    }
}

/// Runs beside the reads, so that one that hangs does not hold up what a peer says.
async fn put_in_force(watch: Arc<BundleWatch>, period: Duration) {
    let mut ticks = watch.timer.subscribe(period);
    loop {
        if !watch.advance().await {
            // Another source may have it next time; without the wait this would spin.
            if ticks.recv().await.is_none() {
                return;
            }
            continue;
        }
        tokio::select! {
            () = watch.news.notified() => {}
            tick = ticks.recv() => if tick.is_none() { return },
        }
    }
}
