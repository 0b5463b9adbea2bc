use super::*;

/// News that VMs exchange, about a kilobyte at most: state, so that a lost or repeated exchange
/// does no harm.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Gossip {
    /// Largest bundle version heard of, and its digest.
    pub bundle: Option<(BundleVersion, BundleDigest)>,
    /// Upstreams that are leaving, by incarnation.
    pub leaving: Vec<(UpstreamId, Incarnation)>,
    /// Requests that upstreams died under.
    pub poison: Vec<PoisonRecord>,
    /// Runs of suspects that the sender is about to start.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub suspects: Vec<SuspectRun>,
    /// Runs of suspects on the sender that conflict with runs that were announced to it.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub running: Vec<SuspectRun>,
    /// Runs that the sender has announced, and whose orders it did not send.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub withdrawn: Vec<SuspectRun>,
    /// Some VMs, each with the milliseconds since it was last heard from.
    pub vms: Vec<(PeerEntry, u32)>,
}

type Teller = Box<dyn Fn(&mut Gossip) + Send + Sync>;
type Answerer = Box<dyn Fn(&Gossip, &mut Gossip) + Send + Sync>;
type Hearer = Box<dyn Fn(&Gossip, &VmId) + Send + Sync>;

/// Parts that have news to tell or want to hear it, as closures.
#[derive(Default)]
pub struct GossipSources {
    tellers: RwLock<Vec<Teller>>,
    answerers: RwLock<Vec<Answerer>>,
    hearers: RwLock<Vec<Hearer>>,
}

impl GossipSources {
    /// Has `teller` add its news to each message.
    pub fn tell(&self, teller: impl Fn(&mut Gossip) + Send + Sync + 'static) {
        self.tellers.write().push(Box::new(teller));
    }

    /// Has `answerer` add to the answer what a peer has to know that said this.
    pub fn answer(&self, answerer: impl Fn(&Gossip, &mut Gossip) + Send + Sync + 'static) {
        self.answerers.write().push(Box::new(answerer));
    }

    /// Has `hearer` called with each message and its sender.
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
