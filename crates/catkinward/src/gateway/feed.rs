//! What the platform keeps and tells: the configuration, the entries of upstreams, other VMs.

use super::*;

/// Bound of a question for changes that waits, and of a whole read: an answer takes some 4 ms; a
/// store that is slow answers within a second. A connection that has gone silent is noticed so.
const STORE_BOUND: Duration = Duration::from_millis(900);

/// How long a question for changes of the configuration waits at the store. Its sum with
/// [`STORE_BOUND`] stays below three seconds, so that a silent connection is noticed in that time.
const CONFIG_WAIT: Duration = Duration::from_millis(1900);

/// The same while another VM of the zone tells what configuration is in force there: if a newer one is,
/// or nobody tells any more, the question is asked anew over another connection. So the many VMs of a
/// large deployment ask a fifth as often.
const SHARED_CONFIG_WAIT: Duration = Duration::from_secs(8);

/// How long the zone may be ahead with its configuration before the question is asked anew: far longer
/// than an answer that is on its way takes.
pub(crate) const ZONE_AHEAD: Duration = Duration::from_millis(150);

/// Pace of questions for changes of upstreams. They write their entries about every second, so a
/// question that waits would return at once; a leaving one must get nothing new after two seconds.
const UPSTREAM_PACE: Duration = Duration::from_millis(1100);

/// Bounds of the questions while the store is away, by turns. A short one notices its return soon: a
/// question that was sent just before may hang on a connection that never comes back, and meanwhile
/// an older configuration would stay in force here. The long ones are for a store that is slow.
const RETURN_BOUNDS: [Duration; 3] = [
    Duration::from_millis(400),
    Duration::from_millis(900),
    Duration::from_secs(2),
];

/// Bound of an answer from another VM, which has it in memory: a way there and back takes 2 ms.
const PEER_BOUND: Duration = Duration::from_millis(250);

/// Wait after the store failed. Each VM asks some 3 times a second then.
const FAULT_WAIT: Duration = Duration::from_millis(300);

/// A part of what the platform keeps.
pub struct Feed<T> {
    /// Its name, for the log.
    pub name: &'static str,
    /// Reads all of it.
    pub read: Box<dyn Fn() -> BoxFuture<'static, Result<FeedPage<T>, FeedFault>> + Send + Sync>,
    /// Asks for what changed after a version; waits at the store for that long at most.
    pub changes: AskChanges<T>,
    /// Reads all of it as another VM has it, if that hears from the platform itself.
    pub read_from_peer: ReadFromPeer<T>,
}

/// Reads a feed from another VM, named by the address that its notes come from.
pub type ReadFromPeer<T> =
    Box<dyn Fn(SocketAddr) -> BoxFuture<'static, Result<FeedPage<T>, FeedFault>> + Send + Sync>;

/// Asks for changes after a version.
pub type AskChanges<T> =
    Box<dyn Fn(u64, Duration) -> BoxFuture<'static, Result<FeedPage<T>, FeedFault>> + Send + Sync>;

/// Entries as of one version.
#[derive(Clone, Debug)]
pub struct FeedPage<T> {
    /// Version up to which they hold.
    pub version: u64,
    /// Rows that were written or removed.
    pub rows: Vec<TableRow<T>>,
}

/// Why the platform's word could not be had.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, StdError, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum FeedFault {
    /// The changes asked for are no longer kept.
    #[display("the changes asked for are no longer kept")]
    HistoryGone,
    /// It refused.
    #[display("the platform refused")]
    Refused,
    /// It did not answer.
    #[display("the platform did not answer")]
    NoAnswer,
}

/// Keeps the configuration in force up to date.
pub async fn follow_config(gateway: Arc<Gateway>, feed: Feed<RoutingConfig>) {
    let mut follower = Follower::new(&gateway, &feed, |_| {});
    loop {
        let shared = gateway.relies_on_zone();
        let wait = if shared {
            SHARED_CONFIG_WAIT
        } else {
            CONFIG_WAIT
        };
        let page = tokio::select! {
            page = follower.next(wait) => Some(page),
            ahead = gateway.zone_goes_ahead(), if shared => {
                if !ahead {
                    continue;
                }
                None
            }
        };
        // Asked anew, it is not given up again: from a slow store the answer takes longer than the zone's
        // word, and would never come.
        let (page, _) = match page {
            Some(page) => page,
            None => follower.next(Duration::ZERO).await,
        };
        gateway.feed_read(|state| state.old_config = false);
        for config in page.rows.into_iter().filter_map(|row| row.entry) {
            gateway.put_config(Arc::new(config));
        }
    }
}

/// Keeps the directory of upstreams up to date.
pub async fn follow_upstreams(gateway: Arc<Gateway>, feed: Feed<UpstreamEntry>) {
    let mut follower = Follower::new(&gateway, &feed, |gateway| gateway.platform_answers(false));
    loop {
        let (page, whole) = follower.next(Duration::ZERO).await;
        gateway.platform_answers(follower.answers);
        if follower.answers || gateway.is_behind(&page) {
            gateway.table_read(&page, whole, follower.answers);
        }
        gateway.feed_read(|state| state.old_directory = false);
        follower.pause(UPSTREAM_PACE).await;
        if follower.answers && gateway.relies_on_zone() {
            gateway.rely_on_zone().await;
            // What others told counts as read.
            follower.version = Some(gateway.table_version());
        }
    }
}

/// What another VM has of a feed. The platform may turn some VMs away and serve the others: these
/// would go on with what they knew, send calls to upstreams that are leaving, and refuse routes and
/// keys that were added.
async fn ask_a_peer<T>(gateway: &Gateway, feed: &Feed<T>) -> Option<FeedPage<T>> {
    let peer = gateway.a_peer()?;
    let answer = tokio::time::timeout(PEER_BOUND, (feed.read_from_peer)(peer)).await;
    match answer.unwrap_or(Err(FeedFault::NoAnswer)) {
        Ok(page) => {
            tracing::info!(feed = feed.name, %peer, version = page.version, "read from a peer");
            Some(page)
        }
        Err(fault) => {
            let fault_name: &str = fault.into();
            tracing::info!(feed = feed.name, %peer, fault = fault_name, "not read from a peer");
            None
        }
    }
}

/// Reads a feed in whole, then its changes.
struct Follower<'a, T> {
    gateway: &'a Arc<Gateway>,
    feed: &'a Feed<T>,
    /// Version up to which it has read; none before the first time and when changes are no longer kept.
    version: Option<u64>,
    /// Whether the store answers.
    answers: bool,
    faults: usize,
    /// Called when the store does not answer.
    lost: fn(&Gateway),
    wakes: watch::Receiver<u64>,
}

impl<'a, T> Follower<'a, T> {
    fn new(gateway: &'a Arc<Gateway>, feed: &'a Feed<T>, lost: fn(&Gateway)) -> Self {
        Self {
            gateway,
            feed,
            version: None,
            answers: true,
            faults: 0,
            lost,
            wakes: gateway.wakes.subscribe(),
        }
    }

    /// The next page, and whether it is the whole feed. Waits at the store for that long at most, or
    /// for its return.
    async fn next(&mut self, wait: Duration) -> (FeedPage<T>, bool) {
        let mut wait = wait;
        loop {
            let bound = if self.answers {
                wait + STORE_BOUND
            } else {
                wait = Duration::ZERO;
                RETURN_BOUNDS[self.faults % RETURN_BOUNDS.len()]
            };
            let whole = self.version.is_none();
            let asked = async {
                match self.version {
                    Some(version) => (self.feed.changes)(version, wait).await,
                    None => (self.feed.read)().await,
                }
            };
            let asked_at = self.gateway.timer.now();
            let woke = self.wakes.changed();
            let answer = tokio::select! {
                answer = tokio::time::timeout(bound, asked) => answer,
                // The connection may have been lost meanwhile, and its question waits at the store.
                Ok(()) = woke => {
                    wait = Duration::ZERO;
                    continue;
                }
            };
            let fault = match answer.unwrap_or(Err(FeedFault::NoAnswer)) {
                Ok(page) => {
                    // A question that waited says nothing of the store's speed.
                    if wait.is_zero() {
                        let took = self.gateway.timer.now().since(asked_at);
                        metrics::histogram!("catkin_store_call_seconds", "feed" => self.feed.name)
                            .record(took.as_secs_f64());
                    }
                    if !self.answers {
                        tracing::info!(feed = self.feed.name, "platform answers again");
                    }
                    self.answers = true;
                    self.version = Some(page.version);
                    return (page, whole);
                }
                Err(fault) => fault,
            };
            if let Some(page) = self.failed(fault).await {
                return (page, true);
            }
        }
    }

    /// Waits, unless this process wakes meanwhile.
    async fn pause(&mut self, length: Duration) {
        // Whichever comes first, the feed is asked then.
        let _ = tokio::time::timeout(length, self.wakes.changed()).await;
    }

    /// Notes a fault; returns what another VM has instead, if that is to be had.
    async fn failed(&mut self, fault: FeedFault) -> Option<FeedPage<T>> {
        let fault_name: &str = fault.into();
        if self.answers {
            tracing::warn!(feed = self.feed.name, fault = fault_name, "platform lost");
        }
        if fault == FeedFault::HistoryGone {
            self.version = None;
            return None;
        }
        self.answers = false;
        self.faults += 1;
        (self.lost)(self.gateway);
        let page = ask_a_peer(self.gateway, self.feed).await;
        tokio::time::sleep(FAULT_WAIT).await;
        if let Some(page) = &page {
            self.version = Some(page.version);
        }
        page
    }
}
