use super::*;
use crate::{
    peer_exchange::exchange_news, peer_handshake::PeerIdentity, peer_link::PeerLink,
    peer_server::accept_calls,
};
use tokio::net::TcpListener;

/// Bound until a peer answers.
pub(crate) const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// The other VMs: who they are, connections to a few of them, and copies kept for them.
pub struct Peers {
    pub(crate) identity: PeerIdentity,
    pub(crate) timer: Arc<Timer>,
    pub(crate) timeline: Arc<Timeline>,
    pub(crate) bundle: Arc<BundleInForce>,
    /// News that the exchange carries.
    pub gossip: GossipSources,
    pub(crate) table: Mutex<PeerTable>,
    pub(crate) links: Mutex<Vec<(VmId, Arc<PeerLink>)>>,
    /// Held, for each VM, while a connection to it is opened.
    opening: Mutex<Vec<(VmId, Arc<tokio::sync::Mutex<()>>)>>,
    pub(crate) holders: ArcSwap<Vec<PeerEntry>>,
    pub(crate) store: Mutex<ProgressStore>,
    pub(crate) generations: Arc<Generations>,
    pub(crate) sent: Arc<AtomicU64>,
    pub(crate) granter: std::sync::OnceLock<Granter>,
}

/// Grants a slice of a team's limit.
type Granter = Box<dyn Fn(&SliceRequest) -> Option<SliceGrant> + Send + Sync>;

/// What the service of the other VMs is made of.
pub struct PeerParts {
    /// This VM.
    pub entry: PeerEntry,
    /// The secret that all VMs share.
    pub key: PeerKey,
    /// VMs to begin with.
    pub known: Vec<PeerEntry>,
    /// Tells the time.
    pub timer: Arc<Timer>,
    /// Events of this process.
    pub timeline: Arc<Timeline>,
    /// Generations under way here.
    pub generations: Arc<Generations>,
    /// The bundle in force here.
    pub bundle: Arc<BundleInForce>,
}

impl Peers {
    /// Starts to take peers' calls on `listener` and to exchange news.
    pub fn start(listener: TcpListener, parts: PeerParts) -> Arc<Self> {
        let PeerParts {
            entry, key, known, ..
        } = parts;
        let now = parts.timer.now();
        let mut table = PeerTable::new(entry.vm.clone(), entry.zone.clone());
        for peer in &known {
            table.record_seen(now, peer.clone());
        }
        let peers = Arc::new(Self {
            identity: PeerIdentity { entry, key },
            timer: parts.timer,
            timeline: parts.timeline,
            bundle: parts.bundle,
            gossip: GossipSources::default(),
            table: Mutex::new(table),
            links: Mutex::default(),
            opening: Mutex::default(),
            holders: ArcSwap::default(),
            store: Mutex::new(ProgressStore::new(ProgressLimits::default())),
            generations: parts.generations,
            sent: Arc::default(),
            granter: std::sync::OnceLock::new(),
        });
        peers.choose_holders();
        tokio::spawn(accept_calls(peers.clone(), listener));
        tokio::spawn(exchange_news(peers.clone(), known));
        peers
    }

    /// Notes that somebody, such as the platform's list, spoke of a VM.
    pub fn heard_of(&self, entry: PeerEntry) {
        self.table.lock().record_seen(self.timer.now(), entry);
        self.choose_holders();
    }

    /// All VMs known.
    #[must_use]
    pub fn entries(&self) -> Vec<PeerEntry> {
        self.table.lock().entries().cloned().collect()
    }

    /// This VM.
    #[must_use]
    pub fn own(&self) -> &PeerEntry {
        &self.identity.entry
    }

    /// The lock under which a connection to a VM is opened.
    pub(crate) fn opening(&self, vm: &VmId) -> Arc<tokio::sync::Mutex<()>> {
        let mut opening = self.opening.lock();
        opening.retain(|(_, lock)| Arc::strong_count(lock) > 1);
        match opening.binary_search_by(|(other, _)| other.cmp(vm)) {
            Ok(i) => opening[i].1.clone(),
            Err(i) => {
                let lock = Arc::<tokio::sync::Mutex<()>>::default();
                opening.insert(i, (vm.clone(), lock.clone()));
                lock
            }
        }
    }

    /// The VMs that keep copies of what this one runs.
    pub(crate) fn holders(&self) -> Arc<Vec<PeerEntry>> {
        self.holders.load_full()
    }

    /// Shows what peers cost this VM: bytes sent, copies kept and their bytes, open connections.
    pub(crate) fn show_cost(&self) {
        let (copies, size) = self.store.lock().usage();
        let links = self.links.lock().len();
        metrics::counter!("catkin_peer_sent_bytes_total")
            .absolute(self.sent.load(Ordering::Relaxed));
        gauge("catkin_peer_connections", links);
        gauge("catkin_progress_copies", copies);
        gauge("catkin_progress_copies_bytes", size);
    }

    /// Has `granter` answer peers that ask for slices of teams' limits.
    pub(crate) fn grant_slices(
        &self,
        granter: impl Fn(&SliceRequest) -> Option<SliceGrant> + Send + Sync + 'static,
    ) {
        let _ = self.granter.set(Box::new(granter));
    }

    /// VMs that somebody has heard of lately.
    pub(crate) fn heard_within(&self, bound: Duration) -> Vec<PeerEntry> {
        let now = self.timer.now();
        self.table.lock().seen_within(now, bound)
    }
}

fn gauge(name: &'static str, value: usize) {
    let value = u32::try_from(value).unwrap_or(u32::MAX);
    metrics::gauge!(name).set(value);
}
