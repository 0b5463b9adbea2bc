//! Reads the tables of the platform store and follows their changes: the configuration and the
//! entries of upstreams.

use super::{read_progress::wait_while_progressing, *};
use std::cmp::Ordering;
use tokio::sync::mpsc;

/// Timeout of a request for changes, beyond its wait at the store, and of a step of a full read: a
/// response takes some 4 ms, and a slow store responds within a second. A connection that has gone
/// silent is detected this way.
const STORE_TIMEOUT: Duration = Duration::from_millis(900);

/// How long a request for changes of the configuration waits at the store while another VM of a
/// small zone advertises the configuration in force there. If that one is newer, or no VM
/// advertises any more, a new request is sent over another connection.
const SHARED_CONFIG_WAIT: Duration = Duration::from_secs(8);

/// Interval of reads of the operators' table while the store refuses to return all of it.
const PARTIAL_CONFIG_INTERVAL: Duration = Duration::from_secs(1);

/// Interval of requests for changes of upstreams. Upstreams write their entries about every second,
/// so a waiting request would return at once; a leaving upstream must get no new calls after two
/// seconds.
const UPSTREAM_POLL_INTERVAL: Duration = Duration::from_millis(1100);

/// Timeouts of requests while the store does not respond, in rotation. The short one detects
/// recovery soon: a request sent just before it may hang on a dead connection, during which an
/// older configuration stays in force. The long ones are for a slow store.
const RECOVERY_TIMEOUTS: [Duration; 3] = [
    Duration::from_millis(400),
    Duration::from_millis(900),
    Duration::from_secs(2),
];

/// Timeout of a read from another VM, which has the data in memory: a round trip takes 2 ms.
pub(crate) const PEER_READ_TIMEOUT: Duration = Duration::from_millis(250);

/// Maximum duration of a read from the store, even if it makes progress.
const MAX_READ_TIME: Duration = Duration::from_secs(10);

/// Maximum duration of a read of the table from another VM that makes progress. Well below the two
/// seconds within which a leaving upstream must be known.
const TABLE_TRANSFER_TIMEOUT: Duration = Duration::from_millis(1500);

/// Pause of a member of a zone before it reads the next of several pages of changes. At the start of a fleet the
/// table fills for seconds, and a reader of the zone will advertise it.
const MEMBER_PAGE_INTERVAL: Duration = Duration::from_millis(100);

/// Minimum interval of reads of the table from another VM. While a reader reads many pages it advertises each of
/// them, and a zone of 200 VMs that followed each one would occupy it.
const CATCH_UP_INTERVAL: Duration = Duration::from_millis(150);

/// Mean interval of reads that a VM gets from its zone after it has advertised something: all members would
/// connect within a millisecond otherwise, more than its queue of new connections holds.
const PEER_READ_INTERVAL: Duration = Duration::from_micros(400);

/// How long a VM that has read the first part of a large table waits for another VM of its zone to
/// advertise the table: two intervals of gossip, in which it also learns of other VMs. Meanwhile it serves
/// with what it has.
const ZONE_START_WAIT: Duration = Duration::from_millis(800);

/// How long a member of a large zone waits beyond that. After a loss of all VMs the readers begin to read
/// the table only then.
const MEMBER_START_WAIT: Duration = Duration::from_millis(2200);

/// A table of the platform store, with the ways to read it.
pub struct Feed<T> {
    /// Name of the feed in logs and metrics.
    pub name: &'static str,
    /// Reads a page of all rows, from the start or after a key.
    pub read: ReadRows<T>,
    /// Long-polls the store for changes after a position; the store replies after at most the given
    /// duration.
    pub changes: RequestChanges<T>,
    /// Reads what another VM has, if that VM has recent responses of the platform: the changes after
    /// a position, or all rows.
    pub read_from_peer: ReadFromPeer<T>,
}

/// Reads a page of a feed's rows after a key, and reports its progress.
pub type ReadRows<T> = Box<
    dyn Fn(Option<Arc<str>>, ReadProgress) -> BoxFuture<'static, Result<FeedPage<T>, FeedError>>
        + Send
        + Sync,
>;

/// Reads a feed after a position from another VM, which is identified by the address of its
/// heartbeats.
pub type ReadFromPeer<T> = Box<
    dyn Fn(
            SocketAddr,
            StorePosition,
            ReadProgress,
        ) -> BoxFuture<'static, Result<PeerRead<T>, FeedError>>
        + Send
        + Sync,
>;

/// Requests the changes after a position.
pub type RequestChanges<T> = Box<
    dyn Fn(StorePosition, Duration) -> BoxFuture<'static, Result<FeedPage<T>, FeedError>>
        + Send
        + Sync,
>;

/// Rows of a feed at one position.
#[derive(Clone, Debug)]
pub struct FeedPage<T> {
    /// Position of the store up to which the rows are complete.
    pub position: StorePosition,
    /// Rows that were written or removed.
    pub rows: Vec<TableRow<T>>,
    /// Key of the last row, if the store holds further rows or changes that did not fit.
    pub more: Option<Arc<str>>,
}

/// What another VM has of a feed.
#[derive(Clone, Debug)]
pub struct PeerRead<T> {
    /// The rows.
    pub page: FeedPage<T>,
    /// Whether the rows are the complete feed, and not only the changes after the requested position.
    pub whole: bool,
}

/// Why a feed could not be read.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, StdError, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum FeedError {
    /// The store no longer keeps the requested changes.
    #[display("the store no longer keeps the requested changes")]
    HistoryGone,
    /// The store has come back from an older copy since the requested position, so that the changes after it
    /// say nothing.
    #[display("the store has come back from an older copy")]
    EraChanged,
    /// The response is of an era of the store before the latest known one.
    #[display("the response is of an earlier era of the store")]
    EarlierEra,
    /// The store or the VM refused the request.
    #[display("the platform refused the request")]
    Refused,
    /// A page holds no row after the last one of the page before, but states that there are more.
    #[display("the page holds no further row")]
    NoFurtherRow,
    /// There was no response in time.
    #[display("the platform did not respond")]
    NoAnswer,
}

impl FeedError {
    /// Whether there was a response, and not one with what was asked for.
    #[must_use]
    pub fn is_refusal(self) -> bool {
        matches!(self, Self::Refused | Self::NoFurtherRow)
    }
}

/// Keeps the configuration in force up to date; never returns.
pub async fn follow_config(gateway: Arc<Gateway>, feed: Feed<RoutingConfig>) {
    let mut follower = Follower::new(&gateway, &feed, Gateway::relies_on_zone_config, |_| {});
    follower.backs_off = false;
    loop {
        let advertised = if follower.position.is_some() {
            gateway.newer_config_in_zone().await
        } else {
            None
        };
        let read = match advertised {
            Some(advertised) => {
                tracing::info!(config = %advertised.version, peer = %advertised.by,
                    from_store = advertised.from_store,
                    "a peer tells of a newer configuration");
                if !advertised.from_store {
                    spread_zone_reads(&gateway).await;
                    let read = read_peer(
                        &feed,
                        advertised.by,
                        StorePosition::default(),
                        PEER_READ_TIMEOUT,
                    )
                    .await;
                    if let Some(read) = read {
                        apply_config(&gateway, &read.page.rows);
                    }
                }
                if gateway
                    .config()
                    .is_some_and(|c| c.version >= advertised.version)
                {
                    continue;
                }
                // A large configuration takes a second over the link of a small VM, and all VMs
                // that read from the advertising VM share its link. With the timeout of a request
                // that does not wait, the read would never complete: the log shows `not read from a
                // peer` and `store unreachable`, and callers of new routes are refused for many
                // seconds.
                Some(follower.next_from_store(CONFIG_POLL_TIMEOUT).await)
            }
            None => request_config(&gateway, &mut follower).await,
        };
        let page = match read {
            Some(Read::Page { page, .. }) => page,
            Some(Read::Part { rows }) => {
                apply_config(&gateway, &rows);
                gateway.record_feed_read(|state| state.config_is_stale = false);
                follower.drop_part();
                follower.pause(PARTIAL_CONFIG_INTERVAL).await;
                continue;
            }
            _ => continue,
        };
        if follower.reachable {
            gateway.record_config_read();
        }
        gateway.record_feed_read(|state| state.config_is_stale = false);
        apply_config(&gateway, &page.rows);
        if follower.reachable {
            // The other VMs rely on the age of this read, and the next heartbeat is up to 0.4 s away.
            gateway.advertise_to_zone(&[]);
        }
    }
}

/// Requests a newer configuration from the store; `None` if the next read must go another way.
async fn request_config(
    gateway: &Gateway,
    follower: &mut Follower<'_, RoutingConfig>,
) -> Option<Read<RoutingConfig>> {
    // Other VMs rely on the age of what readers, standbys and deputies read.
    let in_front = gateway.zone_role() != ZoneRole::Member && gateway.is_in_large_zone();
    let shared = gateway.relies_on_zone() && !in_front;
    let wait = if shared {
        SHARED_CONFIG_WAIT
    } else {
        CONFIG_POLL_TIMEOUT
    };
    let ahead = tokio::select! {
        read = follower.next(wait) => return Some(read),
        ahead = gateway.wait_for_newer_config(), if shared => ahead,
    };
    // The second request is not cancelled: a slow store takes longer to respond than the gossip of
    // the zone, so the response would never arrive.
    if ahead {
        Some(follower.next(Duration::ZERO).await)
    } else {
        None
    }
}

/// Puts the configuration of these rows in force if it is newer.
fn apply_config(gateway: &Gateway, rows: &[TableRow<RoutingConfig>]) {
    for config in rows.iter().filter_map(|row| row.entry.as_ref()) {
        gateway.put_config(Arc::new(config.clone()));
    }
}

/// Keeps the directory of upstreams up to date; never returns.
pub async fn follow_upstreams(gateway: Arc<Gateway>, feed: Feed<UpstreamEntry>) {
    let mut follower = Follower::new(&gateway, &feed, Gateway::zone_has_table, |gateway| {
        gateway.set_platform_reachable(false);
    });
    let mut waits_for_zone = true;
    loop {
        // A small zone reads the store at once: it has few VMs, and a peer may take longer to respond.
        let asks_zone = follower.part.is_some() || gateway.is_in_large_zone();
        let caught_up = if asks_zone {
            catch_up_from_zone(&gateway, &feed).await
        } else {
            None
        };
        if caught_up == Some(true) {
            follower.position = Some(gateway.table_position());
            follower.drop_part();
            follower.pause(CATCH_UP_INTERVAL).await;
        } else {
            // A VM that the store and the zone reject would otherwise call both without a pause.
            follower.relies = match caught_up {
                Some(false) => Gateway::relies_on_zone,
                _ => Gateway::zone_has_table,
            };
            match follower.next(Duration::ZERO).await {
                Read::Page { page, whole } => {
                    gateway.set_platform_reachable(follower.reachable);
                    if follower.reachable || gateway.is_behind(&page) {
                        gateway.apply_table_read(&page, whole, follower.reachable);
                    }
                    gateway.record_feed_read(|state| state.directory_is_stale = false);
                    if page.more.is_none() {
                        follower.pause(UPSTREAM_POLL_INTERVAL).await;
                    } else if gateway.zone_role() == ZoneRole::Member {
                        follower.pause(MEMBER_PAGE_INTERVAL).await;
                    }
                }
                Read::Part { rows } => {
                    gateway.put_first_upstreams(rows);
                    if std::mem::take(&mut waits_for_zone) && gateway.expects_peers() {
                        gateway.wait_for_advertiser(ZONE_START_WAIT).await;
                        if gateway.zone_role() == ZoneRole::Member && gateway.is_in_large_zone() {
                            gateway.wait_for_advertiser(MEMBER_START_WAIT).await;
                        }
                    }
                }
                Read::Beside { rows } => {
                    gateway.set_platform_reachable(true);
                    gateway.apply_changes(rows);
                    gateway.record_feed_read(|state| state.directory_is_stale = false);
                    follower.pause(UPSTREAM_POLL_INTERVAL).await;
                }
                Read::EraChanged => {
                    // Without this wait, all VMs of a zone read the whole table from the store at once.
                    let polls = gateway.zone_role().polls_store();
                    if gateway.is_in_large_zone() && !polls {
                        gateway.wait_for_advertiser(ZONE_START_WAIT).await;
                    }
                }
                Read::Zone => {}
            }
        }
        if gateway.relies_on_zone() {
            gateway.rely_on_zone().await;
            // Updates received from other VMs count as read.
            follower.position = Some(gateway.table_position());
        }
    }
}

/// Reads the changes of upstreams that this VM has missed from the VM of its zone that advertised
/// them; returns whether that brought the table forward, or `None` if no VM has advertised any.
async fn catch_up_from_zone(gateway: &Gateway, feed: &Feed<UpstreamEntry>) -> Option<bool> {
    let advertiser = gateway.advertiser_of_missed_changes()?;
    spread_zone_reads(gateway).await;
    let before = gateway.table_position();
    let Some(read) = read_peer(feed, advertiser, before, TABLE_TRANSFER_TIMEOUT).await else {
        return Some(false);
    };
    gateway.apply_missed_changes(&read);
    Some(gateway.table_position() > before)
}

/// Waits for a random part of the time in which the VMs of this zone read from one of them.
async fn spread_zone_reads(gateway: &Gateway) {
    let zone_vms = u32::try_from(gateway.zone_vms().len()).unwrap_or(u32::MAX);
    let span = PEER_READ_INTERVAL.saturating_mul(zone_vms);
    tokio::time::sleep(span.mul_f64(rand::random())).await;
}

/// Reads a feed from another VM. The platform may reject some VMs and serve others; without this,
/// the rejected ones would keep old state, send calls to leaving upstreams, and refuse new routes
/// and keys.
async fn read_random_peer<T>(
    gateway: &Gateway,
    feed: &Feed<T>,
    after: StorePosition,
) -> Option<PeerRead<T>> {
    read_peer(feed, gateway.random_peer()?, after, PEER_READ_TIMEOUT).await
}

/// Reads a feed from another VM for at most `limit`. VMs that read from a VM whose link is full must
/// not keep it busy; they have the store.
async fn read_peer<T>(
    feed: &Feed<T>,
    peer: SocketAddr,
    after: StorePosition,
    limit: Duration,
) -> Option<PeerRead<T>> {
    let (progress, received) = mpsc::unbounded_channel();
    let read = (feed.read_from_peer)(peer, after, progress);
    match wait_while_progressing(read, received, PEER_READ_TIMEOUT, limit).await {
        Ok(read) => {
            let (position, rows) = (read.page.position, read.page.rows.len());
            tracing::info!(feed = feed.name, %peer, %after, %position, rows, whole = read.whole,
                "read from a peer");
            Some(read)
        }
        Err(error) => {
            let error_name: &str = error.into();
            tracing::info!(feed = feed.name, %peer, fault = error_name, "not read from a peer");
            None
        }
    }
}

/// Result of a read.
enum Read<T> {
    /// Rows were read.
    Page {
        /// The rows with their version.
        page: FeedPage<T>,
        /// Whether the page holds the complete feed.
        whole: bool,
    },
    /// Rows were read, and the store holds more of them.
    Part {
        /// The rows of this part.
        rows: Vec<TableRow<T>>,
    },
    /// The next page of a full read is refused again and again, and rows were written or removed since its first page.
    Beside {
        /// These rows.
        rows: Vec<TableRow<T>>,
    },
    /// The store has come back from an older copy, so the complete feed is read next.
    EraChanged,
    /// The store does not respond here, and other VMs of the zone advertise what it holds.
    Zone,
}

/// Reason of a request to the store, a label of the metric that counts these requests.
#[derive(Clone, Copy, Debug, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
enum StoreCallCause {
    /// Nothing was read yet, or the requested history is gone.
    WholeRead,
    /// The feed may have changed.
    Watch,
    /// The store did not respond before.
    StoreAway,
}

/// What a follower reads next.
#[derive(Clone, Debug)]
enum Step {
    /// The first page of a full read, or the one after this key.
    Page(Option<Arc<str>>),
    /// The changes after the position up to which the feed was read.
    Changes(StorePosition),
    /// The changes after this position, beside a full read whose next page is refused.
    ChangesBeside(StorePosition),
}

/// Whether the next page of a full read is refused.
#[derive(Clone, Copy, Debug, Default)]
enum PageRefusal {
    #[default]
    None,
    Once,
    /// Again and again, so that the changes are read beside it.
    Repeated {
        /// Position up to which the changes were read.
        position: StorePosition,
        /// Whether the page was asked for again since.
        asked_again: bool,
    },
}

/// Reads a complete feed, then its changes.
struct Follower<'a, T> {
    gateway: &'a Arc<Gateway>,
    feed: &'a Feed<T>,
    /// Position up to which the feed was read; `None` before the first read and when the store no
    /// longer keeps the changes.
    position: Option<StorePosition>,
    /// Rows of a full read that is not complete yet.
    part: Option<FeedPage<T>>,
    /// Whether the next page of this full read is refused.
    refusal: PageRefusal,
    /// Whether the store responds.
    reachable: bool,
    failures: usize,
    /// Failures since the store last responded.
    consecutive_failures: u32,
    /// Whether the delays grow while the store does not respond.
    backs_off: bool,
    /// Whether the last request failed, so that the next one is delayed.
    delay_next: bool,
    /// Whether other VMs of the zone advertise what this feed would read.
    relies: fn(&Gateway) -> bool,
    /// Called when the store does not respond.
    on_lost: fn(&Gateway),
    suspensions: watch::Receiver<u64>,
    /// Counts how often any feed found that the store responds again.
    recoveries: watch::Receiver<u64>,
    /// Latest era of the store that any feed or another VM has found.
    eras: watch::Receiver<StoreEra>,
}

impl<'a, T: Clone> Follower<'a, T> {
    fn new(
        gateway: &'a Arc<Gateway>,
        feed: &'a Feed<T>,
        relies: fn(&Gateway) -> bool,
        on_lost: fn(&Gateway),
    ) -> Self {
        Self {
            gateway,
            feed,
            position: None,
            part: None,
            refusal: PageRefusal::None,
            reachable: true,
            failures: 0,
            consecutive_failures: 0,
            backs_off: true,
            delay_next: false,
            relies,
            on_lost,
            suspensions: gateway.suspensions.subscribe(),
            recoveries: gateway.store_recoveries.subscribe(),
            eras: gateway.store_era.subscribe(),
        }
    }

    /// The next page. Waits at the store for `wait` at most, or until it responds again; ends early
    /// if the store does not respond here and other VMs of the zone advertise what it holds.
    async fn next(&mut self, wait: Duration) -> Read<T> {
        self.request(wait, false).await
    }

    /// The next page from the store, for data that the zone advertised but did not deliver. Ends early
    /// only after a request to the store: the zone may deliver it now.
    async fn next_from_store(&mut self, wait: Duration) -> Read<T> {
        self.request(wait, true).await
    }

    async fn request(&mut self, wait: Duration, asks_store: bool) -> Read<T> {
        let (mut wait, mut asks_store) = (wait, asks_store);
        let relies = self.relies;
        loop {
            if !self.reachable {
                if std::mem::take(&mut self.delay_next) {
                    let ends_delay = if asks_store {
                        |_: &Gateway| false
                    } else {
                        relies
                    };
                    self.wait_for_recovery(ends_delay).await;
                }
                if !asks_store && self.position.is_some() && relies(self.gateway) {
                    return Read::Zone;
                }
            }
            asks_store = false;
            self.count_call();
            let max_wait = if self.reachable {
                wait + STORE_TIMEOUT
            } else {
                wait = Duration::ZERO;
                RECOVERY_TIMEOUTS[self.failures % RECOVERY_TIMEOUTS.len()]
            };
            let step = self.next_step();
            let whole = self.position.is_none();
            let (progress, received) = mpsc::unbounded_channel();
            let pending = async {
                match step.clone() {
                    Step::Page(after) => (self.feed.read)(after, progress).await,
                    Step::Changes(after) => (self.feed.changes)(after, wait).await,
                    Step::ChangesBeside(after) => (self.feed.changes)(after, Duration::ZERO).await,
                }
            };
            let pending = wait_while_progressing(pending, received, max_wait, MAX_READ_TIME);
            let sent_at = self.gateway.timer.now();
            let suspended = self.suspensions.changed();
            self.eras.mark_unchanged();
            let answer = tokio::select! {
                answer = pending => answer,
                // The connection may have been lost in the meantime, with its request still
                // waiting.
                Ok(()) = suspended => {
                    wait = Duration::ZERO;
                    continue;
                }
                // The same holds if the store has come back from a copy.
                Ok(()) = self.eras.changed(), if !whole => {
                    wait = Duration::ZERO;
                    continue;
                }
            };
            let error = match answer.and_then(|page| self.check_era(page)) {
                Ok(page) => {
                    self.gateway.observe_store_era(page.position.era);
                    // The latency of a request that waited says nothing about the store.
                    if wait.is_zero() {
                        let took = self.gateway.timer.now().since(sent_at);
                        metrics::histogram!("catkin_store_call_seconds", "feed" => self.feed.name)
                            .record(took.as_secs_f64());
                    }
                    if !self.reachable {
                        tracing::info!(feed = self.feed.name, "store reachable");
                        self.gateway
                            .store_recoveries
                            .send_modify(|count| *count += 1);
                    }
                    self.reachable = true;
                    self.consecutive_failures = 0;
                    return match step {
                        Step::Page(_) => self.add_part(page),
                        Step::ChangesBeside(_) => self.add_beside(page),
                        Step::Changes(_) => {
                            self.position = Some(page.position);
                            Read::Page { page, whole: false }
                        }
                    };
                }
                Err(error) => error,
            };
            if matches!(step, Step::Page(_)) && self.is_refused_again(error) {
                wait = Duration::ZERO;
                continue;
            }
            if let Some(PeerRead { page, whole }) = self.failed(error).await {
                return Read::Page { page, whole };
            }
            if error == FeedError::EraChanged {
                return Read::EraChanged;
            }
        }
    }

    /// Returns a page if it continues what was read before, which must be of the same era.
    fn check_era(&self, page: FeedPage<T>) -> Result<FeedPage<T>, FeedError> {
        let part = self.part.as_ref().map(|part| part.position);
        match self
            .position
            .or(part)
            .map(|known| known.era.cmp(&page.position.era))
        {
            Some(Ordering::Less) => Err(FeedError::EraChanged),
            Some(Ordering::Greater) => Err(FeedError::EarlierEra),
            Some(Ordering::Equal) | None => Ok(page),
        }
    }

    fn next_step(&self) -> Step {
        if let Some(position) = self.position {
            return Step::Changes(position);
        }
        match self.refusal {
            PageRefusal::Repeated {
                position,
                asked_again: true,
            } => Step::ChangesBeside(position),
            _ => Step::Page(self.part.as_ref().and_then(|part| part.more.clone())),
        }
    }

    /// Records that the next page of a full read is refused, if `error` says so; returns whether that was so before.
    /// All upstreams that run write their entries about every second, so that the changes since its first page name
    /// them.
    fn is_refused_again(&mut self, error: FeedError) -> bool {
        let Some(part) = self.part.as_ref().filter(|_| error.is_refusal()) else {
            return false;
        };
        let position = match self.refusal {
            PageRefusal::None => {
                self.refusal = PageRefusal::Once;
                return false;
            }
            PageRefusal::Once => {
                let (feed, fault): (_, &str) = (self.feed.name, error.into());
                tracing::error!(feed, fault, after = part.more.as_deref(), position = %part.position,
                    "page of the table refused: the changes are read beside it");
                part.position
            }
            PageRefusal::Repeated { position, .. } => position,
        };
        self.refusal = PageRefusal::Repeated {
            position,
            asked_again: true,
        };
        true
    }

    /// Returns the changes beside a full read; its page is asked for next.
    fn add_beside(&mut self, page: FeedPage<T>) -> Read<T> {
        self.refusal = PageRefusal::Repeated {
            position: page.position,
            asked_again: false,
        };
        Read::Beside { rows: page.rows }
    }

    /// Drops a full read that is not complete.
    fn drop_part(&mut self) {
        self.part = None;
        self.refusal = PageRefusal::None;
    }

    /// Adds a page to a full read. Rows that change while the later pages are read are read again with
    /// the changes after the position of the first page.
    fn add_part(&mut self, page: FeedPage<T>) -> Read<T> {
        if let PageRefusal::Repeated { .. } = std::mem::take(&mut self.refusal) {
            tracing::info!(feed = self.feed.name, "table read behind a refused page");
        }
        let rows = page.more.as_ref().map(|_| page.rows.clone());
        let read = match self.part.take() {
            Some(mut part) => {
                part.rows.extend(page.rows);
                part.more = page.more;
                part
            }
            None => page,
        };
        if let Some(rows) = rows {
            self.part = Some(read);
            return Read::Part { rows };
        }
        self.position = Some(read.position);
        Read::Page {
            page: read,
            whole: true,
        }
    }

    fn count_call(&self) {
        let cause = if !self.reachable {
            StoreCallCause::StoreAway
        } else if self.position.is_none() {
            StoreCallCause::WholeRead
        } else {
            StoreCallCause::Watch
        };
        let cause: &str = cause.into();
        metrics::counter!("catkin_store_calls_total", "feed" => self.feed.name, "cause" => cause)
            .increment(1);
    }

    /// Waits for `length`, or until this process resumes after a suspension.
    async fn pause(&mut self, length: Duration) {
        // In either case the next request is sent afterwards.
        let _ = tokio::time::timeout(length, self.suspensions.changed()).await;
    }

    /// Records a failure; returns the feed of another VM if one can be read.
    async fn failed(&mut self, error: FeedError) -> Option<PeerRead<T>> {
        let error_name: &str = error.into();
        if error == FeedError::EraChanged {
            let known = self.position.take();
            tracing::warn!(
                feed = self.feed.name,
                known = known.map(tracing::field::display),
                "the store has come back from an older copy: the feed is read again"
            );
            self.drop_part();
            return None;
        }
        if self.reachable {
            let feed = self.feed.name;
            if error.is_refusal() {
                tracing::warn!(feed, fault = error_name, "store refused a read");
            } else {
                tracing::warn!(feed, fault = error_name, "store unreachable");
            }
        }
        // A page that is refused is asked for once more, and not the pages before it.
        match &mut self.refusal {
            PageRefusal::Once if error.is_refusal() => {}
            PageRefusal::Repeated { asked_again, .. } if error.is_refusal() => *asked_again = false,
            _ => self.drop_part(),
        }
        if error == FeedError::HistoryGone {
            tracing::info!(
                feed = self.feed.name,
                position = self.position.map(tracing::field::display),
                "the store does not have the changes: reading the complete table"
            );
            self.position = None;
            return None;
        }
        self.reachable = false;
        self.failures += 1;
        self.consecutive_failures += 1;
        (self.on_lost)(self.gateway);
        self.delay_next = true;
        let read =
            read_random_peer(self.gateway, self.feed, self.position.unwrap_or_default()).await;
        if let Some(read) = &read {
            // The other VM may still be in an earlier era.
            self.position = self.position.max(Some(read.page.position));
            self.drop_part();
        }
        read
    }

    /// Waits before the next request to the store, unless another feed finds that it responds
    /// again. If each VM sent three requests a second, the store would get more of them during an
    /// outage than in all the time that it serves, and all of them at once when it recovers.
    async fn wait_for_recovery(&mut self, relies: fn(&Gateway) -> bool) {
        self.recoveries.mark_unchanged();
        // A large configuration arrives only within the longest of the timeouts in rotation. If the
        // delays between them grew, it would arrive many seconds after the store has recovered, and
        // callers of new routes would be refused.
        let failures = if self.backs_off {
            self.consecutive_failures
        } else {
            0
        };
        let role = self.gateway.zone_role();
        let zone_vms = self.gateway.zone_vms().len();
        let wait = store_backoff(role, zone_vms, failures, rand::random());
        // In every case the next step is a request to the store, or reliance on the zone.
        tokio::select! {
            () = tokio::time::sleep(wait) => {}
            () = self.gateway.wait_for_zone(relies) => {}
            _ = self.recoveries.changed() => {}
        }
    }
}
