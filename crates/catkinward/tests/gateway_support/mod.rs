//! A gateway before scripted upstreams, on a clock that the test moves.
#![allow(
    dead_code,
    unused_imports,
    reason = "each test file uses its part of the fixture"
)]

use bytes::Bytes;
use catkin_decisions::{
    CallKind, CallerKey, CallerLimits, ConfigVersion, Crash, Instant, LinkRate, LoadSample,
    PeerHeartbeat, Policy, ProcessStart, PromptPart, RolloutSettings, Route, RouteTable,
    RouteTarget, RoutingConfig, ServiceSpec, SharedRetryBudgetConfig, TableRow, UpstreamEntry,
    ZoneGossip,
};
use catkinward::{
    Timer,
    gateway::{
        BodyError, Call, CopySource, Gateway, GatewaySettings, HealthReport, Prompt, Reply,
        ResponseBody, SendError, UpstreamCall, UpstreamResponse, UpstreamTransport,
    },
};
use futures::{StreamExt, stream};
use http::{HeaderMap, Method, StatusCode};
use parking_lot::Mutex;
use std::{sync::Arc, time::Duration};

mod upstreams;

pub use self::upstreams::{End, Observed, Part, Script, Seen};
use self::upstreams::{Scripted, Starts, transport};

pub const HOST: &str = "shop.example";
pub const ENGINES: &str = "engines";
pub const PLAIN: &str = "plain";

/// Where the notes of the VM come from that tells its zone.
pub const TELLER: &str = "10.0.0.9:7201";

/// A row of a table, written at version 10.
pub fn row<T>(key: &str, entry: T) -> TableRow<T> {
    TableRow {
        key: key.into(),
        written: 10,
        entry: Some(entry),
    }
}

/// Builds a gateway.
pub struct GatewayFixture {
    zone: &'static str,
    upstreams: Vec<UpstreamEntry>,
    routes: Vec<Route>,
    keys: Option<Vec<CallerKey>>,
    repeats: SharedRetryBudgetConfig,
    script: Scripted,
    alive: Arc<dyn Fn(&str) -> bool + Send + Sync>,
    born: Starts,
    /// Engine that holds the whole prompt.
    holder: Option<&'static str>,
    rollouts: Option<RolloutSettings>,
    version: u64,
    config_bytes: usize,
    link: Option<LinkRate>,
}

/// A running gateway with what its upstreams saw.
pub struct Running {
    pub gateway: Arc<Gateway>,
    pub timer: Arc<Timer>,
    observed: Observed,
}

impl GatewayFixture {
    pub fn new(script: impl Fn(&UpstreamCall) -> Script + Send + Sync + 'static) -> Self {
        Self {
            zone: "a",
            upstreams: Vec::new(),
            routes: vec![
                route("/quick/", CallKind::Idempotent, PLAIN),
                route("/once/", CallKind::NonIdempotent, PLAIN),
                route("/stream/", CallKind::ResumableStream, ENGINES),
                route("/stream-once/", CallKind::Stream, ENGINES),
            ],
            keys: None,
            repeats: SharedRetryBudgetConfig {
                slack: 100.0,
                ..SharedRetryBudgetConfig::default()
            },
            script: Box::new(script),
            alive: Arc::new(|_| true),
            born: Arc::new(|_| None),
            holder: None,
            rollouts: None,
            version: 1,
            config_bytes: 0,
            link: None,
        }
    }

    /// The bandwidth of the VM's link, and the size of the configuration.
    pub fn link(mut self, link: LinkRate, config_bytes: usize) -> Self {
        self.link = Some(link);
        self.config_bytes = config_bytes;
        self
    }

    pub fn upstream(mut self, id: &str, service: &str, zone: &str) -> Self {
        self.upstreams.push(upstream(id, service, zone));
        self
    }

    pub fn born_upstream(
        mut self,
        id: &str,
        service: &str,
        zone: &str,
        born: ProcessStart,
    ) -> Self {
        self.upstreams.push(born_upstream(id, service, zone, born));
        self
    }

    /// Three plain upstreams and six engines in three zones.
    pub fn usual_upstreams(mut self) -> Self {
        for zone in ["a", "b", "c"] {
            self = self
                .upstream(&format!("plain-{zone}"), PLAIN, zone)
                .upstream(&format!("engine-{zone}1"), ENGINES, zone)
                .upstream(&format!("engine-{zone}2"), ENGINES, zone);
        }
        self
    }

    pub fn routes(mut self, routes: Vec<Route>) -> Self {
        self.routes = routes;
        self
    }

    pub fn key(mut self, key: &str, team: &str) -> Self {
        let key = CallerKey {
            key: key.into(),
            team: team.parse().unwrap(),
            priority: None,
        };
        self.keys.get_or_insert_default().push(key);
        self
    }

    pub fn repeats(mut self, repeats: SharedRetryBudgetConfig) -> Self {
        self.repeats = repeats;
        self
    }

    /// Which upstreams answer the question whether they live.
    pub fn alive(mut self, alive: impl Fn(&str) -> bool + Send + Sync + 'static) -> Self {
        self.alive = Arc::new(alive);
        self
    }

    /// When the processes of upstreams started, as they answer.
    pub fn born(
        mut self,
        born: impl Fn(&str) -> Option<ProcessStart> + Send + Sync + 'static,
    ) -> Self {
        self.born = Arc::new(born);
        self
    }

    /// The engine that still holds the prompt of the caller.
    pub fn holder(mut self, id: &'static str) -> Self {
        self.holder = Some(id);
        self
    }

    /// The configuration that the gateway begins with.
    pub fn config(&self) -> RoutingConfig {
        RoutingConfig {
            bytes: self.config_bytes,
            version: ConfigVersion(self.version),
            routes: RouteTable::new(self.routes.clone()),
            services: vec![service(ENGINES, true), service(PLAIN, false)],
            limits: limits(),
            keys: self.keys.clone().map(RoutingConfig::sorted_keys),
        }
    }

    pub fn start(self) -> Running {
        let (config, upstreams) = (self.config(), self.upstreams.clone());
        let running = self.unstarted();
        running.gateway.put_config(Arc::new(config));
        running.gateway.put_upstreams(upstreams);
        running
    }

    /// A gateway that knows nothing yet.
    pub fn unstarted(self) -> Running {
        let timer = Timer::start();
        let observed = Observed::default();
        let transport = transport(
            self.script,
            self.alive,
            self.born,
            self.holder,
            &timer,
            &observed,
        );
        let settings = GatewaySettings {
            policy: Policy::default(),
            address: ([127, 0, 0, 1], 7001).into(),
            link: self.link,
            rollouts: self.rollouts,
            vm: "vm-1".into(),
            zone: self.zone.parse().unwrap(),
            repeats: self.repeats,
            seeds: Vec::new(),
        };
        let gateway = Gateway::start(settings, timer.clone(), transport);
        Running {
            gateway,
            timer,
            observed,
        }
    }
}

impl std::ops::Deref for Running {
    type Target = Observed;

    fn deref(&self) -> &Observed {
        &self.observed
    }
}

impl Running {
    /// Takes in another VM's word on the table, from [`TELLER`].
    pub fn hear_gossip(&self, gossip: &ZoneGossip) {
        self.gateway.take_gossip(gossip, TELLER.parse().unwrap());
    }

    pub fn call(&self, path: &str) -> Call {
        Call {
            id: "call-1".parse().unwrap(),
            method: Method::POST,
            host: HOST.into(),
            path: path.into(),
            target: path.into(),
            headers: HeaderMap::new(),
            body: Bytes::from_static(b"body"),
            key: None,
            patience: Some(Duration::from_secs(10)),
            last_event: None,
            prompt: Some(Prompt {
                tokens: 8000,
                most_made: 800,
                parts: prompt_parts(),
            }),
            arrived: self.timer.now(),
        }
    }

    pub async fn handle(&self, path: &str) -> Reply {
        self.gateway.handle(self.call(path)).await
    }

    /// Has the gateway hear a note of another VM.
    pub fn hear_of_peer(&self) {
        self.hear(self.peer_note("vm-2", "b"));
    }

    /// Has the gateway hear of a crash from the VM of that number.
    pub fn hear_of_crash(&self, vm: usize, crash: Crash) {
        let note = self.peer_note(&format!("vm-{}", vm + 1), "b");
        self.hear(PeerHeartbeat {
            crashes: vec![crash],
            ..note
        });
    }

    pub fn hear(&self, note: PeerHeartbeat) {
        self.gateway.take_note(note, ([127, 0, 0, 2], 9).into());
    }

    /// A note without anything in it, newer than those before.
    pub fn peer_note(&self, vm: &str, zone: &str) -> PeerHeartbeat {
        PeerHeartbeat {
            vm: vm.into(),
            zone: zone.parse().unwrap(),
            incarnation: 1,
            number: u64::try_from(self.timer.now().0.as_millis()).unwrap() + 1,
            loads: Vec::new(),
            suspects: Vec::new(),
            crashes: Vec::new(),
            members: Vec::new(),
            wants_members: false,
            rollouts: Vec::new(),
        }
    }

    /// Upstreams that were sent a call, in order.
    pub fn sent_to(&self) -> Vec<String> {
        self.seen
            .lock()
            .iter()
            .map(|seen| seen.upstream.clone())
            .collect()
    }
}

/// Parts of the prompt of a caller.
pub fn prompt_parts() -> Arc<[PromptPart]> {
    [("shared", 200), ("own", 7800)]
        .map(|(id, tokens)| PromptPart {
            id: id.into(),
            tokens,
        })
        .into()
}

/// A stream's text, and whether it ended in whole.
pub async fn read_stream(reply: Reply) -> (String, bool) {
    let Reply::Events { mut body, .. } = reply else {
        panic!("no stream but {reply:?}");
    };
    let mut text = String::new();
    while let Some(events) = body.0.next().await {
        match events {
            Ok(bytes) => text.push_str(std::str::from_utf8(&bytes).unwrap()),
            Err(_) => return (text, false),
        }
    }
    (text, true)
}

/// Events numbered from `first` to `last`, as an upstream writes them.
pub fn events(first: u64, last: u64) -> Vec<Part> {
    (first..=last)
        .flat_map(|id| {
            [
                Part::Bytes(event(id)),
                Part::Pause(Duration::from_millis(30)),
            ]
        })
        .collect()
}

pub fn event(id: u64) -> String {
    format!("id: {id}\ndata: word {id}\n\n")
}

/// The text of events from `first` to `last`.
pub fn text(first: u64, last: u64) -> String {
    (first..=last).map(event).collect()
}

/// Entry of an upstream that says when it started.
pub fn born_upstream(id: &str, service: &str, zone: &str, born: ProcessStart) -> UpstreamEntry {
    let mut entry = upstream(id, service, zone);
    entry.id.born = Some(born);
    entry
}

pub fn upstream(id: &str, service: &str, zone: &str) -> UpstreamEntry {
    let port = id.bytes().fold(1000_u16, |sum, byte| {
        sum.wrapping_mul(31).wrapping_add(u16::from(byte))
    });
    UpstreamEntry {
        id: id.parse().unwrap(),
        service: service.parse().unwrap(),
        address: ([127, 0, 0, 1], port).into(),
        zone: zone.parse().unwrap(),
        slots: 6,
        leaving: false,
        version: None,
    }
}

pub fn route(prefix: &str, kind: CallKind, service: &str) -> Route {
    Route {
        name: prefix.into(),
        host: HOST.into(),
        prefix: prefix.into(),
        kind,
        timeout: Duration::from_secs(if kind.is_stream() { 25 } else { 1 }),
        target_latency: Duration::from_millis(150),
        target_event_gap: None,
        priority: 1,
        targets: vec![RouteTarget {
            service: service.parse().unwrap(),
            weight: 1,
        }],
        // More than one everywhere: what may be repeated follows from the kind alone.
        max_upstreams: 5,
        public: false,
    }
}

fn service(name: &str, engine: bool) -> ServiceSpec {
    ServiceSpec {
        name: name.parse().unwrap(),
        engine,
        copies: engine,
    }
}

fn limits() -> CallerLimits {
    CallerLimits {
        head_bytes: 16_384,
        body_bytes: 1 << 20,
        head_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    }
}
