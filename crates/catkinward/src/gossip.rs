use super::*;

/// State that VMs exchange by gossip, at most about 1 KiB. It carries state rather than events, so
/// a lost or repeated exchange does no harm.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Gossip {
    /// Largest bundle version received, and its digest.
    pub bundle: Option<(BundleVersion, BundleDigest)>,
    /// Upstreams that are leaving, by incarnation.
    pub leaving: Vec<(UpstreamId, Incarnation)>,
    /// Crashes of upstreams while they were running requests.
    pub poison: Vec<PoisonRecord>,
    /// Runs of suspect requests that the sender is about to start.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub suspects: Vec<SuspectRun>,
    /// Runs of suspect requests on the sender that conflict with runs that were announced to it.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub running: Vec<SuspectRun>,
    /// Runs that the sender announced but whose orders it did not send.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub withdrawn: Vec<SuspectRun>,
    /// A selection of VMs, each with the milliseconds since it was last seen.
    pub vms: Vec<(PeerEntry, u32)>,
}

type Teller = Box<dyn Fn(&mut Gossip) + Send + Sync>;
type Answerer = Box<dyn Fn(&Gossip, &mut Gossip) + Send + Sync>;
type Hearer = Box<dyn Fn(&Gossip, &VmId) + Send + Sync>;

/// Callbacks of the components that add state to gossip messages or process received ones.
#[derive(Default)]
pub struct GossipSources {
    tellers: RwLock<Vec<Teller>>,
    answerers: RwLock<Vec<Answerer>>,
    hearers: RwLock<Vec<Hearer>>,
}

impl GossipSources {
    /// Registers a callback that adds state to each message that is sent.
    pub fn tell(&self, teller: impl Fn(&mut Gossip) + Send + Sync + 'static) {
        self.tellers.write().push(Box::new(teller));
    }

    /// Registers a callback that adds to the reply what the received message calls for.
    pub fn answer(&self, answerer: impl Fn(&Gossip, &mut Gossip) + Send + Sync + 'static) {
        self.answerers.write().push(Box::new(answerer));
    }

    /// Registers a callback for received messages; it gets each message and its sender.
    pub fn hear(&self, hearer: impl Fn(&Gossip, &VmId) + Send + Sync + 'static) {
        self.hearers.write().push(Box::new(hearer));
    }

    pub(crate) fn collect(&self) -> Gossip {
        let mut gossip = Gossip::default();
        self.tellers
            .read()
            .iter()
            .for_each(|tell| tell(&mut gossip));
        gossip
    }

    pub(crate) fn add_answers(&self, heard: &Gossip, answer: &mut Gossip) {
        self.answerers
            .read()
            .iter()
            .for_each(|add| add(heard, answer));
    }

    pub(crate) fn spread(&self, gossip: &Gossip, sender: &VmId) {
        self.hearers
            .read()
            .iter()
            .for_each(|hear| hear(gossip, sender));
    }
}
