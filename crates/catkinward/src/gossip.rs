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

type SendHook = Box<dyn Fn(&mut Gossip) + Send + Sync>;
type ReplyHook = Box<dyn Fn(&Gossip, &mut Gossip) + Send + Sync>;
type ReceiveHook = Box<dyn Fn(&Gossip, &VmId) + Send + Sync>;

/// Callbacks of the components that add state to gossip messages or process received ones.
#[derive(Default)]
pub struct GossipHooks {
    send: RwLock<Vec<SendHook>>,
    reply: RwLock<Vec<ReplyHook>>,
    receive: RwLock<Vec<ReceiveHook>>,
}

impl GossipHooks {
    /// Registers a callback that adds state to each message that is sent.
    pub fn on_send(&self, hook: impl Fn(&mut Gossip) + Send + Sync + 'static) {
        self.send.write().push(Box::new(hook));
    }

    /// Registers a callback that adds to the reply what the received message calls for.
    pub fn on_reply(&self, hook: impl Fn(&Gossip, &mut Gossip) + Send + Sync + 'static) {
        self.reply.write().push(Box::new(hook));
    }

    /// Registers a callback for received messages; it gets each message and its sender.
    pub fn on_receive(&self, hook: impl Fn(&Gossip, &VmId) + Send + Sync + 'static) {
        self.receive.write().push(Box::new(hook));
    }

    pub(crate) fn collect(&self) -> Gossip {
        let mut gossip = Gossip::default();
        self.send.read().iter().for_each(|hook| hook(&mut gossip));
        gossip
    }

    pub(crate) fn extend_reply(&self, received: &Gossip, reply: &mut Gossip) {
        self.reply
            .read()
            .iter()
            .for_each(|hook| hook(received, reply));
    }

    pub(crate) fn dispatch(&self, gossip: &Gossip, sender: &VmId) {
        self.receive
            .read()
            .iter()
            .for_each(|hook| hook(gossip, sender));
    }
}
