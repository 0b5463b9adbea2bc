use super::*;
use crate::{
    peer_exchange::run_gossip, peer_handshake::PeerIdentity, peer_link::PeerLink,
    peer_server::accept_connections,
};
use tokio::net::TcpListener;

/// Timeout of a request to a peer.
pub(crate) const PEER_REQUEST_TIMEOUT: Duration = Duration::from_millis(300);

/// The other VMs: their addresses, connections to a few of them, and progress replicas stored for
/// them.
pub struct Peers {
    pub(crate) identity: PeerIdentity,
    listen_address: Option<SocketAddr>,
    pub(crate) timer: Arc<Timer>,
    pub(crate) timeline: Arc<Timeline>,
    pub(crate) bundle: Arc<BundleInForce>,
    /// Callbacks that fill and process gossip messages.
    pub gossip: GossipHooks,
    pub(crate) table: Mutex<PeerTable>,
    pub(crate) links: Mutex<Vec<(VmId, Arc<PeerLink>)>>,
    /// Locks by VM, each held while a connection to the VM is being opened.
    opening: Mutex<Vec<(VmId, Arc<tokio::sync::Mutex<()>>)>>,
    pub(crate) holders: ArcSwap<Vec<PeerEntry>>,
    pub(crate) store: Mutex<ProgressStore>,
    pub(crate) generations: Arc<Generations>,
    pub(crate) sent: Arc<AtomicU64>,
    pub(crate) slice_granter: std::sync::OnceLock<SliceGranter>,
}

/// Callback that grants a slice of a team's limit.
type SliceGranter = Box<dyn Fn(&SliceRequest) -> Option<SliceGrant> + Send + Sync>;

/// Dependencies and settings of [`Peers`].
pub struct PeerParts {
    /// Name, advertised address and availability zone of this VM.
    pub entry: PeerEntry,
    /// The secret that all VMs share.
    pub key: PeerKey,
    /// VMs known from the settings, contacted first.
    pub known: Vec<PeerEntry>,
    /// Source of the time and of periodic ticks.
    pub timer: Arc<Timer>,
    /// Events of this process.
    pub timeline: Arc<Timeline>,
    /// Generations in progress on this VM.
    pub generations: Arc<Generations>,
    /// The bundle in force on this VM.
    pub bundle: Arc<BundleInForce>,
}

impl Peers {
    /// Starts to accept connections of peers on `listener` and to exchange gossip.
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
            listen_address: listener.local_addr().ok(),
            timer: parts.timer,
            timeline: parts.timeline,
            bundle: parts.bundle,
            gossip: GossipHooks::default(),
            table: Mutex::new(table),
            links: Mutex::default(),
            opening: Mutex::default(),
            holders: ArcSwap::default(),
            store: Mutex::new(ProgressStore::new(ProgressLimits::default())),
            generations: parts.generations,
            sent: Arc::default(),
            slice_granter: std::sync::OnceLock::new(),
        });
        peers.update_holders();
        tokio::spawn(accept_connections(peers.clone(), listener));
        tokio::spawn(run_gossip(peers.clone(), known));
        peers
    }

    /// Records that a VM was seen, for example in the platform's list.
    pub fn record_seen(&self, entry: PeerEntry) {
        self.table.lock().record_seen(self.timer.now(), entry);
        self.update_holders();
    }

    /// Returns all known VMs except this one.
    #[must_use]
    pub fn entries(&self) -> Vec<PeerEntry> {
        self.table.lock().entries().cloned().collect()
    }

    /// Returns the entry of this VM.
    #[must_use]
    pub fn own(&self) -> &PeerEntry {
        &self.identity.entry
    }

    /// Returns the address that accepts connections of peers. It differs from the advertised one behind
    /// a proxy.
    #[must_use]
    pub fn listen_address(&self) -> Option<SocketAddr> {
        self.listen_address
    }

    /// Returns the lock that is held while a connection to a VM is being opened.
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

    /// Returns the VMs that store progress replicas of the generations on this VM.
    pub(crate) fn holders(&self) -> Arc<Vec<PeerEntry>> {
        self.holders.load_full()
    }

    /// Updates the metrics of what peers cost this VM: bytes sent, replicas stored and their size,
    /// open connections.
    pub(crate) fn update_metrics(&self) {
        let (replicas, size) = self.store.lock().usage();
        let links = self.links.lock().len();
        metrics::counter!("catkin_peer_sent_bytes_total")
            .absolute(self.sent.load(Ordering::Relaxed));
        gauge("catkin_peer_connections", links);
        gauge("catkin_progress_copies", replicas);
        gauge("catkin_progress_copies_bytes", size);
    }

    /// Sets the callback that grants peers slices of teams' limits.
    pub(crate) fn set_slice_granter(
        &self,
        slice_granter: impl Fn(&SliceRequest) -> Option<SliceGrant> + Send + Sync + 'static,
    ) {
        let _ = self.slice_granter.set(Box::new(slice_granter));
    }

    /// Returns the VMs that any VM has seen within the last `max_age`.
    pub(crate) fn seen_within(&self, max_age: Duration) -> Vec<PeerEntry> {
        let now = self.timer.now();
        self.table.lock().seen_within(now, max_age)
    }
}

fn gauge(name: &'static str, value: usize) {
    let value = u32::try_from(value).unwrap_or(u32::MAX);
    metrics::gauge!(name).set(value);
}
