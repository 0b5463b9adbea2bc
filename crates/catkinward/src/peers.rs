use super::*;
use crate::{peer_handshake::PeerIdentity, peer_link::PeerLink, peer_socket};
use tokio::net::{TcpListener, TcpStream};

/// How often this VM exchanges news with one of its neighbours.
const GOSSIP_PERIOD: Duration = Duration::from_secs(1);

/// Bound until a peer answers.
const ANSWER_BOUND: Duration = Duration::from_millis(300);

/// How long a token may wait until the copy of it is on its way. A holder that takes longer is
/// passed over: a peer that went silent must not hold up a caller.
const PROGRESS_BOUND: Duration = Duration::from_millis(50);

/// VMs that are asked for a copy.
const MOST_ASKED: usize = 4;

/// VMs that are asked for a copy where the caller cannot say which VM it was on.
const MOST_ASKED_BLINDLY: usize = 16;

/// VMs named in one exchange.
const VMS_TOLD: usize = 6;

/// Connections taken from peers at once.
const MOST_CONNECTIONS: usize = 256;

/// The other VMs: who they are, connections to a few of them, and copies kept for them.
pub struct Peers {
    identity: PeerIdentity,
    timer: Arc<Timer>,
    timeline: Arc<Timeline>,
    bundle: Arc<BundleInForce>,
    /// News that the exchange carries.
    pub gossip: GossipSources,
    table: Mutex<PeerTable>,
    links: Mutex<Vec<(VmId, Arc<PeerLink>)>>,
    opening: tokio::sync::Mutex<()>,
    holders: ArcSwap<Vec<PeerEntry>>,
    store: Mutex<ProgressStore>,
    generations: Arc<Generations>,
    sent: Arc<AtomicU64>,
    granter: std::sync::OnceLock<Granter>,
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
            table.heard_of(now, peer.clone());
        }
        let peers = Arc::new(Self {
            identity: PeerIdentity { entry, key },
            timer: parts.timer,
            timeline: parts.timeline,
            bundle: parts.bundle,
            gossip: GossipSources::default(),
            table: Mutex::new(table),
            links: Mutex::default(),
            opening: tokio::sync::Mutex::default(),
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
        self.table.lock().heard_of(self.timer.now(), entry);
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

    /// The VMs that keep copies of what this one runs.
    pub(crate) fn holders(&self) -> Arc<Vec<PeerEntry>> {
        self.holders.load_full()
    }

    /// Bytes sent to peers since the start.
    #[must_use]
    pub fn bytes_sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    /// Copies kept for other VMs, and their bytes.
    #[must_use]
    pub fn copies(&self) -> (usize, usize) {
        self.store.lock().usage()
    }

    /// Connections that this VM has opened.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.links.lock().len()
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
        self.table.lock().heard_within(now, bound)
    }

    /// Asks a VM; `None` if it is not known or does not answer in time.
    pub(crate) async fn ask(
        self: &Arc<Self>,
        vm: &VmId,
        question: PeerBody,
        bound: Duration,
    ) -> Option<PeerBody> {
        let peer = self.table.lock().find(vm).cloned()?;
        let link = self.link(&peer).await.ok()?;
        match link.ask(question, bound).await {
            Ok(answer) => Some(answer),
            Err(fault) => {
                tracing::debug!(peer = %vm, %fault, "peer did not answer");
                self.drop_link(vm, link.serial);
                self.lost(vm);
                None
            }
        }
    }

    /// The open connection to a holder; opens one if there is none.
    pub(crate) async fn link(
        self: &Arc<Self>,
        peer: &PeerEntry,
    ) -> Result<Arc<PeerLink>, PeerFault> {
        if let Some(link) = self.open_link(&peer.vm) {
            return Ok(link);
        }
        // One at a time, or many streams that lose a connection would open one each.
        let _guard = self.opening.lock().await;
        if let Some(link) = self.open_link(&peer.vm) {
            return Ok(link);
        }
        let opened = self.open(peer).await;
        let now = self.timer.now();
        match &opened {
            Ok(link) => {
                self.table.lock().answered(now, &peer.vm);
                let mut links = self.links.lock();
                match links.binary_search_by(|(vm, _)| vm.cmp(&peer.vm)) {
                    Ok(i) => links[i].1 = link.clone(),
                    Err(i) => links.insert(i, (peer.vm.clone(), link.clone())),
                }
            }
            Err(fault) => {
                tracing::info!(peer = %peer.vm, %fault, "peer cannot be reached");
                self.lost(&peer.vm);
            }
        }
        opened
    }

    /// Sends progress to a holder and waits until it is on its way.
    pub(crate) async fn send_progress(
        &self,
        peer: &PeerEntry,
        link: &PeerLink,
        update: ProgressUpdate,
    ) -> Result<(), PeerFault> {
        let sent = link
            .send(PeerBody::Progress(vec![update]), PROGRESS_BOUND)
            .await;
        if sent.is_err() {
            self.drop_link(&peer.vm, link.serial);
            self.lost(&peer.vm);
        }
        sent
    }

    /// The copy of a generation that this VM keeps.
    ///
    /// Where none reaches as far as the caller has come, any of that key shows what it was used for.
    pub(crate) fn find_here(&self, id: &RequestId, point: &ReturnPoint) -> Option<ProgressRecord> {
        let store = self.store.lock();
        store.find(id, point).or_else(|| store.any(id)).cloned()
    }

    /// Looks for the copy of a generation, here and where it may be kept. The first one that reaches
    /// as far as the caller has come is as good as any.
    pub(crate) async fn find(
        self: &Arc<Self>,
        id: &RequestId,
        point: &ReturnPoint,
    ) -> Option<ProgressRecord> {
        let mut best = self.find_here(id, point);
        if best.as_ref().is_some_and(|record| record.reaches(point)) {
            return best;
        }
        let mut answers = self
            .to_be_asked(point)
            .into_iter()
            .map(|peer| self.clone().ask_for(peer, id.clone(), point.clone()))
            .collect::<futures::stream::FuturesUnordered<_>>();
        while let Some(answer) = futures::StreamExt::next(&mut answers).await {
            let Some(record) = answer else { continue };
            if record.reaches(point) {
                return Some(record);
            }
            best = Some(record);
        }
        best
    }

    /// Tells those that may run a generation or keep its copy that this VM has taken it over.
    pub(crate) fn tell_taken_over(self: &Arc<Self>, point: &ReturnPoint, update: &ProgressUpdate) {
        self.take_over(update);
        for peer in self.to_be_asked(point) {
            let (peers, update) = (self.clone(), update.clone());
            tokio::spawn(async move {
                let link = peers.link(&peer).await?;
                let body = PeerBody::TakenOver(Box::new(update));
                link.send(body, ANSWER_BOUND).await
            });
        }
    }

    /// Keeps a copy of a generation that this VM has run, for a caller who comes back to it.
    pub(crate) fn keep_own(&self, update: &ProgressUpdate) {
        self.store.lock().keep(self.timer.now(), update);
    }

    fn to_be_asked(&self, point: &ReturnPoint) -> Vec<PeerEntry> {
        let now = self.timer.now();
        let table = self.table.lock();
        let Some((vm, _)) = &point.from else {
            return table.nearest(now, MOST_ASKED_BLINDLY);
        };
        let mut asked = table.likely_holders(now, vm, MOST_ASKED);
        asked.extend(table.find(vm).cloned());
        asked
    }

    /// Asks a peer for a copy. One that does not answer is passed over for a while: each new request
    /// would wait for it again.
    async fn ask_for(
        self: Arc<Self>,
        peer: PeerEntry,
        id: RequestId,
        point: ReturnPoint,
    ) -> Option<ProgressRecord> {
        let asked = async {
            let link = self.link(&peer).await.ok()?;
            let answer = link
                .ask(PeerBody::Find(id, point.next, point.from), ANSWER_BOUND)
                .await;
            if answer.is_err() {
                self.drop_link(&peer.vm, link.serial);
            }
            answer.ok()
        };
        if let Ok(Some(PeerBody::Found(found))) = tokio::time::timeout(ANSWER_BOUND, asked).await {
            return found.map(|record| *record);
        }
        self.lost(&peer.vm);
        None
    }

    fn open_link(&self, vm: &VmId) -> Option<Arc<PeerLink>> {
        let links = self.links.lock();
        let i = links.binary_search_by(|(other, _)| other.cmp(vm)).ok()?;
        Some(links[i].1.clone())
    }

    async fn open(self: &Arc<Self>, peer: &PeerEntry) -> Result<Arc<PeerLink>, PeerFault> {
        let (receiver, ender) = (Arc::downgrade(self), Arc::downgrade(self));
        let vm = peer.vm.clone();
        let link = PeerLink::open(
            peer,
            &self.identity,
            self.timeline.clock(),
            &self.sent,
            move |body| {
                if let (Some(peers), PeerBody::Superseded(list)) = (receiver.upgrade(), body) {
                    peers.superseded(&list);
                }
            },
            move |serial| {
                if let Some(peers) = ender.upgrade() {
                    peers.drop_link(&vm, serial);
                }
            },
        );
        link.await.map(Arc::new)
    }

    fn drop_link(&self, vm: &VmId, serial: u64) {
        let mut links = self.links.lock();
        let found = links.binary_search_by(|(other, _)| other.cmp(vm));
        if let Ok(i) = found.map_err(|_| ()).and_then(|i| {
            if links[i].1.serial == serial {
                Ok(i)
            } else {
                Err(())
            }
        }) {
            links.remove(i);
        }
    }

    fn lost(&self, vm: &VmId) {
        self.timeline.record(Event {
            detail: Some(vm.as_str().into()),
            ..Event::new(EventKind::PeerLost)
        });
        self.table.lock().failed(self.timer.now(), vm);
        self.choose_holders();
    }

    fn choose_holders(&self) {
        let now = self.timer.now();
        let own = self.own();
        let holders = self.table.lock().holders(now, &own.vm, &own.zone);
        if **self.holders.load() != holders {
            self.holders.store(Arc::new(holders));
        }
    }

    /// Answers what a peer asks or sends; `None` where no answer is due.
    fn answer(&self, peer: &VmId, body: PeerBody) -> Option<PeerBody> {
        match body {
            PeerBody::Gossip(gossip) => {
                self.hear(&gossip, peer);
                Some(PeerBody::Gossip(Box::new(self.news())))
            }
            PeerBody::AskSlices(requests) => Some(self.slices(peer, &requests)),
            PeerBody::Progress(updates) => self.keep(&updates),
            PeerBody::Find(id, next, from) => {
                let copy = self.copy(&id, &ReturnPoint { next, from });
                Some(PeerBody::Found(copy.map(Box::new)))
            }
            PeerBody::FetchBundle(digest) => {
                Some(PeerBody::BundleContent(self.bundle.body(digest)))
            }
            PeerBody::TakenOver(update) => {
                self.take_over(&update);
                None
            }
            PeerBody::Challenge(_)
            | PeerBody::Hello(_)
            | PeerBody::Welcome(_)
            | PeerBody::Superseded(_)
            | PeerBody::Slices(_)
            | PeerBody::BundleContent(_)
            | PeerBody::Found(_) => {
                let name: &str = (&body).into();
                tracing::warn!(%peer, message = name, "peer sent what was not due");
                None
            }
        }
    }

    /// Slices for a peer, which may ask for itself only.
    fn slices(&self, peer: &VmId, requests: &[SliceRequest]) -> PeerBody {
        let own = requests.iter().filter(|request| request.vm == *peer);
        let granter = self.granter.get();
        PeerBody::Slices(own.filter_map(|request| granter?(request)).collect())
    }

    fn keep(&self, updates: &[ProgressUpdate]) -> Option<PeerBody> {
        let now = self.timer.now();
        let mut store = self.store.lock();
        let mut superseded = Vec::new();
        for update in updates {
            if let KeptProgress::Superseded(attempt) = store.keep(now, update) {
                superseded.push((update.id.clone(), update.chain, attempt));
            }
        }
        (!superseded.is_empty()).then_some(PeerBody::Superseded(superseded))
    }

    fn copy(&self, id: &RequestId, point: &ReturnPoint) -> Option<ProgressRecord> {
        let running = self.generations.of(id);
        let reaching = running.iter().find(|generation| generation.reaches(point));
        let reaching = reaching.and_then(|generation| generation.progress());
        reaching.or_else(|| self.find_here(id, point))
    }

    /// Another VM has taken a generation over: this one ends it, if it runs it, and the copies of
    /// the chains before refuse what the VMs before may still send.
    fn take_over(&self, update: &ProgressUpdate) {
        let lineage = update.head.iter().flat_map(|head| &head.lineage);
        let ended = lineage.map(|(chain, _)| (update.id.clone(), *chain, update.attempt));
        self.superseded(&ended.collect::<Vec<_>>());
        self.store.lock().keep(self.timer.now(), update);
    }

    fn superseded(&self, list: &[(RequestId, ChainId, Attempt)]) {
        for (id, chain, attempt) in list {
            for generation in self.generations.of(id) {
                let keyed = generation.request.keyed.as_ref();
                if keyed.is_some_and(|keyed| keyed.chain == *chain) {
                    generation.supersede(*attempt);
                }
            }
        }
    }

    /// Fetches the content of a bundle from one of the neighbours that has it in force.
    pub(crate) async fn fetch_bundle(self: &Arc<Self>, digest: BundleDigest) -> Option<Bytes> {
        let neighbours = self.table.lock().neighbours(self.timer.now());
        for peer in neighbours {
            let Ok(link) = self.link(&peer).await else {
                continue;
            };
            let answer = link.ask(PeerBody::FetchBundle(digest), ANSWER_BOUND).await;
            if let Ok(PeerBody::BundleContent(Some(content))) = answer {
                return Some(Bytes::copy_from_slice(content.as_bytes()));
            }
        }
        None
    }

    fn news(&self) -> Gossip {
        let mut gossip = self.gossip.collect();
        let skip = rand::random_range(0..1024);
        let told = self.table.lock().told(self.timer.now(), skip, VMS_TOLD);
        gossip.vms = told
            .into_iter()
            .map(|(entry, age)| (entry, u32::try_from(age.as_millis()).unwrap_or(u32::MAX)))
            .collect();
        gossip
    }

    fn hear(&self, gossip: &Gossip, sender: &VmId) {
        let now = self.timer.now();
        let mut table = self.table.lock();
        for (entry, age) in &gossip.vms {
            let at = now.before(Duration::from_millis((*age).into()));
            table.heard_of(at, entry.clone());
        }
        table.answered(now, sender);
        drop(table);
        self.choose_holders();
        self.gossip.spread(gossip, sender);
    }

    async fn exchange_with(self: &Arc<Self>, peer: &PeerEntry) -> Result<(), PeerFault> {
        let link = self.link(peer).await?;
        let news = PeerBody::Gossip(Box::new(self.news()));
        match link.ask(news, ANSWER_BOUND).await {
            Ok(PeerBody::Gossip(gossip)) => {
                self.hear(&gossip, &peer.vm);
                Ok(())
            }
            Ok(_) => Err(PeerFault::Form),
            Err(fault) => {
                // A connection that went silent is not noticed by TCP for minutes.
                self.drop_link(&peer.vm, link.serial);
                self.lost(&peer.vm);
                Err(fault)
            }
        }
    }

    /// Exchanges news with all neighbours at once: a change should not wait for the next round.
    pub fn exchange_now(self: &Arc<Self>) {
        let now = self.timer.now();
        let neighbours = self.table.lock().neighbours(now);
        for peer in neighbours {
            let peers = self.clone();
            tokio::spawn(async move { peers.exchange_with(&peer).await });
        }
    }
}

async fn exchange_news(peers: Arc<Peers>, known: Vec<PeerEntry>) {
    let mut ticks = peers.timer.subscribe(GOSSIP_PERIOD);
    let mut round = rand::random_range(0..64_usize);
    while let Some(now) = ticks.recv().await {
        round += 1;
        let neighbours = {
            let mut table = peers.table.lock();
            for peer in &known {
                table.heard_of(now, peer.clone());
            }
            table.expire(now);
            table.neighbours(now)
        };
        peers.store.lock().expire(now);
        peers.choose_holders();
        if let Some(peer) = neighbours.get(round % neighbours.len().max(1)) {
            let (peers, peer) = (peers.clone(), peer.clone());
            tokio::spawn(async move {
                if let Err(fault) = peers.exchange_with(&peer).await {
                    tracing::debug!(peer = %peer.vm, %fault, "no news");
                }
            });
        }
    }
}

async fn accept_calls(peers: Arc<Peers>, listener: TcpListener) {
    let places = Arc::new(tokio::sync::Semaphore::new(MOST_CONNECTIONS));
    loop {
        let Ok(place) = places.clone().acquire_owned().await else {
            return;
        };
        match listener.accept().await {
            Ok((stream, address)) => {
                let peers = peers.clone();
                tokio::spawn(async move {
                    if let Err(fault) = serve_call(&peers, stream).await {
                        tracing::info!(%address, %fault, "peer connection ended");
                    }
                    drop(place);
                });
            }
            Err(fault) => {
                tracing::warn!(%fault, "peer accept failed");
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

/// How long a peer's connection may say nothing: longer than an idle one is kept by its opener.
const SILENT_CALLER_BOUND: Duration = Duration::from_secs(30);

async fn serve_call(peers: &Arc<Peers>, stream: TcpStream) -> Result<(), PeerFault> {
    let open = async {
        let clock = peers.timeline.clock();
        let (mut tx, mut rx) = peer_socket::accept(stream, clock, &peers.sent).await?;
        let entry = peers.identity.answer(&mut tx, &mut rx).await?;
        Ok((entry, tx, rx))
    };
    let bound = Duration::from_secs(2);
    let (entry, mut tx, mut rx) = tokio::time::timeout(bound, open)
        .await
        .unwrap_or(Err(PeerFault::Timeout))?;
    peers.heard_of(entry.clone());
    loop {
        let message = match rx.receive_within(SILENT_CALLER_BOUND).await {
            Ok(message) => message,
            Err(PeerFault::Broken) => return Ok(()),
            Err(fault) => return Err(fault),
        };
        if let Some(answer) = peers.answer(&entry.vm, message.body) {
            tx.send(vec![(message.number, answer)]).await?;
        }
    }
}
