//! What the platform keeps and tells: the configuration, the entries of upstreams, other VMs.

use super::{read_progress::while_it_progresses, *};
use tokio::sync::mpsc;

/// Bound of a question for changes that waits, and of a whole read: an answer takes some 4 ms; a
/// store that is slow answers within a second. A connection that has gone silent is noticed so.
const STORE_BOUND: Duration = Duration::from_millis(900);

/// How long a question for changes of the configuration waits at the store while another VM of a small zone tells
/// what configuration is in force there: if a newer one is, or nobody tells any more, the question is asked anew
/// over another connection.
const SHARED_CONFIG_WAIT: Duration = Duration::from_secs(8);

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
pub(crate) const PEER_BOUND: Duration = Duration::from_millis(250);

/// A part of what the platform keeps.
pub struct Feed<T> {
    /// Its name, for the log.
    pub name: &'static str,
    /// Reads all of it.
    pub read: ReadWhole<T>,
    /// Asks for what changed after a version; waits at the store for that long at most.
    pub changes: AskChanges<T>,
    /// Reads all of it as another VM has it, if that hears from the platform itself.
    pub read_from_peer: ReadFromPeer<T>,
}

/// Reads all of a feed, and shows what has come of it meanwhile.
pub type ReadWhole<T> = Box<
    dyn Fn(ReadProgress<T>) -> BoxFuture<'static, Result<FeedPage<T>, FeedError>> + Send + Sync,
>;

/// Reads a feed from another VM, named by the address that its notes come from.
pub type ReadFromPeer<T> =
    Box<dyn Fn(SocketAddr) -> BoxFuture<'static, Result<FeedPage<T>, FeedError>> + Send + Sync>;

/// Asks for changes after a version.
pub type AskChanges<T> =
    Box<dyn Fn(u64, Duration) -> BoxFuture<'static, Result<FeedPage<T>, FeedError>> + Send + Sync>;

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
pub enum FeedError {
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
    let mut follower = Follower::new(&gateway, &feed, Gateway::relies_on_zone_config, |_| {});
    follower.backs_off = false;
    loop {
        let told = if follower.version.is_some() {
            gateway.newer_config_in_zone().await
        } else {
            None
        };
        let read = match told {
            Some(told) => {
                tracing::info!(config = %told.version, peer = %told.by, from_store = told.from_store,
                    "a peer tells of a newer configuration");
                if !told.from_store {
                    let page = ask_peer(&feed, told.by).await;
                    take_config(&gateway, page.as_ref());
                }
                if gateway.config().is_some_and(|c| c.version >= told.version) {
                    continue;
                }
                // A large configuration takes a second over the link of a small VM, and the teller's link is shared by
                // all who ask it. Bound like a question that does not wait, it would never come: one sees `not read
                // from a peer`, `store unreachable` and callers of new routes refused for many seconds.
                Some(follower.ask_store(CONFIG_POLL_TIMEOUT).await)
            }
            None => ask_for_config(&gateway, &mut follower).await,
        };
        let Some(Read::Page { page, .. }) = read else {
            continue;
        };
        if follower.answers {
            gateway.config_read();
        }
        gateway.feed_read(|state| state.old_config = false);
        if take_config(&gateway, Some(&page)) && follower.answers {
            gateway.tell_zone(&[]);
        }
    }
}

/// Asks the store for a newer configuration; `None` if it should be asked anew in another way.
async fn ask_for_config(
    gateway: &Gateway,
    follower: &mut Follower<'_, RoutingConfig>,
) -> Option<Read<RoutingConfig>> {
    // Others rely on the age of what those in front read.
    let in_front = gateway.zone_role() != ZoneRole::Member && gateway.is_in_large_zone();
    let shared = gateway.relies_on_zone() && !in_front;
    let wait = if shared {
        SHARED_CONFIG_WAIT
    } else {
        CONFIG_POLL_TIMEOUT
    };
    let ahead = tokio::select! {
        read = follower.next(wait) => return Some(read),
        ahead = gateway.zone_goes_ahead(), if shared => ahead,
    };
    // Asked anew, it is not given up again: from a slow store the answer takes longer than the zone's
    // word, and would never come.
    if ahead {
        Some(follower.next(Duration::ZERO).await)
    } else {
        None
    }
}

/// Puts the configuration of a page in force; whether it is newer.
fn take_config(gateway: &Gateway, page: Option<&FeedPage<RoutingConfig>>) -> bool {
    let rows = page.into_iter().flat_map(|page| &page.rows);
    let configs = rows.filter_map(|row| row.entry.as_ref());
    configs
        .map(|config| gateway.put_config(Arc::new(config.clone())))
        .fold(false, |any, newer| any | newer)
}

/// Keeps the directory of upstreams up to date.
pub async fn follow_upstreams(gateway: Arc<Gateway>, feed: Feed<UpstreamEntry>) {
    let mut follower = Follower::new(&gateway, &feed, Gateway::relies_on_zone, |gateway| {
        gateway.platform_answers(false);
    });
    follower.first_rows = Gateway::put_first_upstreams;
    loop {
        if let Read::Page { page, whole } = follower.next(Duration::ZERO).await {
            gateway.platform_answers(follower.answers);
            if follower.answers || gateway.is_behind(&page) {
                gateway.table_read(&page, whole, follower.answers);
            }
            gateway.feed_read(|state| state.old_directory = false);
            follower.pause(UPSTREAM_PACE).await;
        }
        if gateway.relies_on_zone() {
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
    ask_peer(feed, gateway.a_peer()?).await
}

async fn ask_peer<T>(feed: &Feed<T>, peer: SocketAddr) -> Option<FeedPage<T>> {
    // A VM whose link is full must not be kept busy by those that read from it; they have the store.
    let answer = tokio::time::timeout(PEER_BOUND, (feed.read_from_peer)(peer)).await;
    match answer.unwrap_or(Err(FeedError::NoAnswer)) {
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

/// What came of a read.
enum Read<T> {
    /// Rows.
    Page {
        /// The rows.
        page: FeedPage<T>,
        /// Whether they are the whole feed.
        whole: bool,
    },
    /// The store does not answer here, and others of the zone tell what it says.
    Zone,
}

/// Why the store is asked, for the count of its calls.
#[derive(Clone, Copy, Debug, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
enum StoreCallCause {
    /// Nothing is known yet, or the history that was asked for is gone.
    WholeRead,
    /// It may have changed.
    Watch,
    /// The store did not answer before.
    StoreAway,
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
    /// Faults since the store last answered.
    faults_in_a_row: u32,
    /// Whether its waits grow while the store is away.
    backs_off: bool,
    /// Whether the store failed just now, and is to be left alone for a while.
    waits: bool,
    /// Whether others of the zone tell what this feed would read.
    relies: fn(&Gateway) -> bool,
    /// Called when the store does not answer.
    lost: fn(&Gateway),
    /// Takes the first rows of a whole read while the others come.
    first_rows: fn(&Gateway, Vec<TableRow<T>>),
    wakes: watch::Receiver<u64>,
    /// Counts the returns of the store that any feed noticed.
    returns: watch::Receiver<u64>,
}

impl<'a, T> Follower<'a, T> {
    fn new(
        gateway: &'a Arc<Gateway>,
        feed: &'a Feed<T>,
        relies: fn(&Gateway) -> bool,
        lost: fn(&Gateway),
    ) -> Self {
        Self {
            gateway,
            feed,
            version: None,
            answers: true,
            faults: 0,
            faults_in_a_row: 0,
            backs_off: true,
            waits: false,
            relies,
            lost,
            first_rows: |_, _| {},
            wakes: gateway.wakes.subscribe(),
            returns: gateway.store_returns.subscribe(),
        }
    }

    /// The next page. Waits at the store for that long at most, or for its return; ends early if the store does
    /// not answer here and others of the zone tell what it says.
    async fn next(&mut self, wait: Duration) -> Read<T> {
        let relies = self.relies;
        self.ask(wait, relies).await
    }

    /// The next page, whatever the zone tells: for what it told of and did not give.
    async fn ask_store(&mut self, wait: Duration) -> Read<T> {
        self.ask(wait, |_| false).await
    }

    async fn ask(&mut self, wait: Duration, relies: fn(&Gateway) -> bool) -> Read<T> {
        let mut wait = wait;
        loop {
            if !self.answers {
                if std::mem::take(&mut self.waits) {
                    self.wait_for_return(relies).await;
                }
                if self.version.is_some() && relies(self.gateway) {
                    return Read::Zone;
                }
            }
            self.count_call();
            let bound = if self.answers {
                wait + STORE_BOUND
            } else {
                wait = Duration::ZERO;
                RETURN_BOUNDS[self.faults % RETURN_BOUNDS.len()]
            };
            let whole = self.version.is_none();
            let (progress, parts) = mpsc::unbounded_channel();
            let asked = async {
                match self.version {
                    Some(version) => (self.feed.changes)(version, wait).await,
                    None => (self.feed.read)(progress).await,
                }
            };
            let (gateway, first_rows) = (self.gateway, self.first_rows);
            let asked = while_it_progresses(asked, parts, bound, |rows| first_rows(gateway, rows));
            let asked_at = self.gateway.timer.now();
            let woke = self.wakes.changed();
            let answer = tokio::select! {
                answer = asked => answer,
                // The connection may have been lost meanwhile, and its question waits at the store.
                Ok(()) = woke => {
                    wait = Duration::ZERO;
                    continue;
                }
            };
            let fault = match answer {
                Ok(page) => {
                    // A question that waited says nothing of the store's speed.
                    if wait.is_zero() {
                        let took = self.gateway.timer.now().since(asked_at);
                        metrics::histogram!("catkin_store_call_seconds", "feed" => self.feed.name)
                            .record(took.as_secs_f64());
                    }
                    if !self.answers {
                        tracing::info!(feed = self.feed.name, "store reachable");
                        self.gateway.store_returns.send_modify(|count| *count += 1);
                    }
                    self.answers = true;
                    self.faults_in_a_row = 0;
                    self.version = Some(page.version);
                    return Read::Page { page, whole };
                }
                Err(fault) => fault,
            };
            if let Some(page) = self.failed(fault).await {
                return Read::Page { page, whole: true };
            }
        }
    }

    fn count_call(&self) {
        let cause = if !self.answers {
            StoreCallCause::StoreAway
        } else if self.version.is_none() {
            StoreCallCause::WholeRead
        } else {
            StoreCallCause::Watch
        };
        let cause: &str = cause.into();
        metrics::counter!("catkin_store_calls_total", "feed" => self.feed.name, "cause" => cause)
            .increment(1);
    }

    /// Waits, unless this process wakes meanwhile.
    async fn pause(&mut self, length: Duration) {
        // Whichever comes first, the feed is asked then.
        let _ = tokio::time::timeout(length, self.wakes.changed()).await;
    }

    /// Notes a fault; returns what another VM has instead, if that is to be had.
    async fn failed(&mut self, fault: FeedError) -> Option<FeedPage<T>> {
        let fault_name: &str = fault.into();
        if self.answers {
            tracing::warn!(
                feed = self.feed.name,
                fault = fault_name,
                "store unreachable"
            );
        }
        if fault == FeedError::HistoryGone {
            self.version = None;
            return None;
        }
        self.answers = false;
        self.faults += 1;
        self.faults_in_a_row += 1;
        (self.lost)(self.gateway);
        self.waits = true;
        let page = ask_a_peer(self.gateway, self.feed).await;
        if let Some(page) = &page {
            self.version = Some(page.version);
        }
        page
    }

    /// Waits before the store is asked again, unless somebody notices its return meanwhile.
    ///
    /// Asked by each VM three times a second, the store gets more calls while it is away than in all the time that
    /// it serves, and all of them at once at its return.
    async fn wait_for_return(&mut self, relies: fn(&Gateway) -> bool) {
        self.returns.mark_unchanged();
        // A large configuration comes only within the longest of the bounds that take turns. With waits that grow
        // between them it would come many seconds after the return, and callers of new routes be refused.
        let faults = if self.backs_off {
            self.faults_in_a_row
        } else {
            0
        };
        let role = self.gateway.zone_role();
        let zone_vms = self.gateway.zone_vms().len();
        let wait = store_backoff(role, zone_vms, faults, rand::random());
        // Whichever comes first, the store is asked then, or the zone relied on.
        tokio::select! {
            () = tokio::time::sleep(wait) => {}
            () = self.gateway.zone_tells(relies) => {}
            _ = self.returns.changed() => {}
        }
    }
}
