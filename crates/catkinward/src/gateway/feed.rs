//! What the platform keeps and tells: the configuration, the entries of upstreams, other VMs.

use super::*;

/// Bound of a question for changes that waits, and of a whole read: an answer takes some 4 ms; a
/// store that is slow answers within a second. A connection that has gone silent is noticed so.
const STORE_BOUND: Duration = Duration::from_millis(900);

/// How long a question for changes of the configuration waits at the store. Its sum with
/// [`STORE_BOUND`] stays below three seconds, so that a silent connection is noticed in that time.
const CONFIG_WAIT: Duration = Duration::from_millis(1900);

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
    /// Keys with their entries; `None` where one was removed.
    pub entries: Vec<(Arc<str>, Option<T>)>,
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
    let take = |gateway: &Gateway, page: FeedPage<RoutingConfig>, _: bool| {
        for (_, config) in page.entries {
            if let Some(config) = config {
                gateway.put_config(Arc::new(config));
            }
        }
    };
    follow(&gateway, &feed, CONFIG_WAIT, Duration::ZERO, take).await;
}

/// Keeps the directory of upstreams up to date.
pub async fn follow_upstreams(gateway: Arc<Gateway>, feed: Feed<UpstreamEntry>) {
    let take = |gateway: &Gateway, page: FeedPage<UpstreamEntry>, whole: bool| {
        if whole {
            gateway.put_upstreams(page.entries.into_iter().filter_map(|(_, e)| e).collect());
            return;
        }
        for (key, entry) in page.entries {
            match (entry, key.parse::<UpstreamId>()) {
                (Some(entry), _) => gateway.upstream_heard(entry),
                (None, Ok(id)) => gateway.upstream_removed(&id),
                (None, Err(error)) => tracing::warn!(%key, %error, "removed entry left out"),
            }
        }
    };
    follow(&gateway, &feed, Duration::ZERO, UPSTREAM_PACE, take).await;
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

/// Reads a feed in whole, then its changes for good.
async fn follow<T>(
    gateway: &Arc<Gateway>,
    feed: &Feed<T>,
    wait: Duration,
    pace: Duration,
    take: impl Fn(&Gateway, FeedPage<T>, bool),
) {
    let mut version = None;
    let mut answers = true;
    let mut return_bounds = RETURN_BOUNDS.iter().cycle();
    loop {
        let wait = if answers { wait } else { Duration::ZERO };
        let bound = match return_bounds.next() {
            Some(bound) if !answers => *bound,
            _ => wait + STORE_BOUND,
        };
        let asked = async {
            match version {
                Some(version) => (feed.changes)(version, wait).await,
                None => (feed.read)().await,
            }
        };
        let answer = tokio::time::timeout(bound, asked).await;
        match answer.unwrap_or(Err(FeedFault::NoAnswer)) {
            Ok(changes) => {
                gateway.platform_answers(true);
                if !answers {
                    tracing::info!(feed = feed.name, "platform answers again");
                }
                answers = true;
                let whole = version.is_none();
                version = Some(changes.version);
                take(gateway, changes, whole);
                tokio::time::sleep(pace).await;
            }
            Err(fault) => {
                let fault_name: &str = fault.into();
                if answers {
                    tracing::warn!(feed = feed.name, fault = fault_name, "platform lost");
                }
                if fault == FeedFault::HistoryGone {
                    version = None;
                    continue;
                }
                answers = false;
                gateway.platform_answers(false);
                if let Some(page) = ask_a_peer(gateway, feed).await {
                    version = Some(page.version);
                    take(gateway, page, true);
                }
                tokio::time::sleep(FAULT_WAIT).await;
            }
        }
    }
}
