use super::*;
use crate::{
    caller_api::CallerApi,
    coordination::{CoordinationParts, start_coordination},
    http_server::Listener,
    metrics_endpoint::start_metrics,
    operator_api::OperatorApi,
    peer_updates::{poll_vm_list, start_peer_updates},
    slice_exchange::exchange_slices,
    upstream_gossip::gossip_upstreams,
};
use volo_http::server::Server;

/// A router with all its services. The services that every request needs are fields as well.
pub struct Node {
    /// Settings that the process was started with.
    pub settings: Settings,
    /// All services by name.
    pub registry: ServiceRegistry,
    /// Monotonic time and periodic ticks.
    pub timer: Arc<Timer>,
    /// Latest events of this process.
    pub timeline: Arc<Timeline>,
    /// HTTP connections to other processes.
    pub connections: Arc<Connections>,
    /// The bundle in force on this VM.
    pub bundle: Arc<BundleInForce>,
    /// Watch for new releases.
    pub bundle_watch: Arc<BundleWatch>,
    /// The platform, if the settings name its address.
    pub platform: Option<Arc<Platform>>,
    /// Claims of idempotency keys; `None` without a platform.
    pub claims: Option<Arc<Claims>>,
    /// Upstreams of the bundle with their observed state.
    pub upstreams: Arc<Upstreams>,
    /// Queues and concurrency slots of all services.
    pub admission: Arc<Admission>,
    /// This VM's slices of the teams' rate limits.
    pub limits: Arc<TeamLimits>,
    /// Generations in progress on this VM.
    pub generations: Arc<Generations>,
    /// The other VMs; `None` if this VM does not listen for peers.
    pub peers: Option<Arc<Peers>>,
    /// Memory for the requests of callers.
    pub caller_memory: Arc<CallerMemory>,
    /// The state of a graceful shutdown.
    pub drain: Arc<Drain>,
}

impl Node {
    /// Starts all services.
    ///
    /// # Errors
    ///
    /// If a service cannot be started.
    pub fn start(settings: Settings) -> Result<Arc<Self>> {
        let registry = ServiceRegistry::default();
        let timer = registry.register(ServiceName::Timer, Timer::start())?;
        let timeline = registry.register(ServiceName::Timeline, new_timeline(&settings))?;
        timeline.record(Event::new(EventKind::Started));
        let connections = Connections::with_clock(timeline.clock().clone())?;
        let connections = Arc::new(connections);
        let connections = registry.register(ServiceName::Connections, connections)?;
        let platform = match settings.platform {
            Some(address) => {
                let cfg = PlatformSettings::shared_by(settings.entry_vms);
                let platform =
                    Platform::over_http(connections.clone(), timer.clone(), address, cfg);
                Some(registry.register(ServiceName::Platform, Arc::new(platform))?)
            }
            None => None,
        };
        let bundle = registry.register(
            ServiceName::Bundle,
            Arc::new(BundleInForce::new(timeline.clone())),
        )?;
        if let Some(path) = &settings.bundle_file {
            bundle.advance(read_bundle_file(path)?);
        }
        let bundle_watch = BundleWatch::start(platform.clone(), &timer, &bundle);
        let bundle_watch = registry.register(ServiceName::BundleWatch, bundle_watch)?;
        let claims = match &platform {
            Some(platform) => {
                let parts = CoordinationParts {
                    platform: platform.clone(),
                    timer: timer.clone(),
                    timeline: timeline.clone(),
                    connections: connections.clone(),
                    bundle: bundle.clone(),
                };
                Some(start_coordination(&registry, &settings, parts)?)
            }
            None => None,
        };
        let upstreams = Upstreams::start(&timer, &connections, &timeline, &bundle, &settings);
        let upstreams = registry.register(ServiceName::Upstreams, upstreams)?;
        start_metrics();
        let admission = Admission::start(&timer, &bundle, &upstreams, &settings);
        let admission = registry.register(ServiceName::Admission, admission)?;
        let limits = Arc::new(TeamLimits::new(&timer, &bundle, &settings));
        let limits = registry.register(ServiceName::TeamLimits, limits)?;
        let generations: Arc<Generations> =
            registry.register(ServiceName::Generations, Arc::default())?;
        let peers = start_peers(&settings, |entry| PeerParts {
            entry,
            key: settings.peer_key.clone(),
            known: settings.peers.clone(),
            timer: timer.clone(),
            timeline: timeline.clone(),
            generations: generations.clone(),
            bundle: bundle.clone(),
        })?;
        if let Some(peers) = &peers {
            registry.register(ServiceName::Peers, peers.clone())?;
            gossip_upstreams(peers, &upstreams);
            start_peer_updates(peers, &bundle_watch, &upstreams, &bundle);
            exchange_slices(peers, &limits, &timer);
        }
        if let Some(platform) = platform.clone() {
            let upstreams = upstreams.clone();
            tokio::spawn(poll_vm_list(
                platform,
                peers.clone(),
                upstreams,
                timer.clone(),
            ));
        }
        let memory = CallerMemorySettings::of_vm(settings.memory, CallerConnectionLimit::Unlimited);
        let caller_memory = CallerMemory::new(memory, timer.clone());
        let caller_memory = registry.register(ServiceName::CallerMemory, caller_memory)?;
        let drain = registry.register(ServiceName::Drain, Arc::default())?;
        Ok(Arc::new(Self {
            settings,
            registry,
            timer,
            timeline,
            connections,
            bundle,
            bundle_watch,
            platform,
            claims,
            upstreams,
            admission,
            limits,
            generations,
            peers,
            caller_memory,
            drain,
        }))
    }

    /// Puts a bundle in force if `version` is larger than that in force; returns whether it did.
    ///
    /// # Errors
    ///
    /// If the bundle is invalid; the error names the field.
    pub fn activate_bundle(&self, version: u64, json: &str) -> Result<bool> {
        let bundle = read_bundle(BundleVersion(version), json)?;
        Ok(self.bundle.advance(bundle))
    }

    /// Serves callers until a signal arrives, then drains.
    ///
    /// # Errors
    ///
    /// If the server fails.
    pub async fn serve(self: &Arc<Self>, listener: Listener) -> Result<()> {
        let address = listener.address()?;
        tracing::info!(%address, vm = %self.settings.vm, "serving callers");
        let node = self.clone();
        // About 30 s after a signal the HTTP library stops even if connections are still open, which
        // would interrupt generations that take minutes. It runs its shutdown hook first and keeps
        // accepting connections meanwhile, so the hook waits until nothing is in flight.
        Server::new(CallerApi::new(self.clone()))
            .register_shutdown_hook(move || Box::pin(async move { node.run_drain().await }))
            .run(listener)
            .await
            .map_err(|source| Error::Server { address, source })?;
        self.registry.stop().await;
        Ok(())
    }

    /// Serves operators until the callers' server has drained, so that they can observe the drain.
    ///
    /// # Errors
    ///
    /// If no operator key is set, or the server fails.
    pub async fn serve_operators(self: &Arc<Self>, listener: Listener) -> Result<()> {
        let address = listener.address()?;
        let key = self.settings.operator_key()?;
        let node = self.clone();
        // Each server of a process handles signals independently. The shutdown hook of this one waits
        // for the end of the drain; otherwise it would close while generations are still running.
        Server::new(OperatorApi::new(self.clone(), key))
            .register_shutdown_hook(move || {
                Box::pin(async move { node.drain.wait_until_closed().await })
            })
            .run(listener)
            .await
            .map_err(|source| Error::Server { address, source })
    }

    async fn run_drain(&self) {
        self.drain.begin();
        self.timeline.record(Event::new(EventKind::DrainBegan));
        tracing::info!(in_flight = self.drain.in_flight(), "draining");
        self.drain.close_when_idle(self.settings.drain_grace).await;
        self.timeline.record(Event::new(EventKind::DrainEnded));
        tracing::info!("drained");
    }
}

fn start_peers(
    settings: &Settings,
    parts: impl FnOnce(PeerEntry) -> PeerParts,
) -> Result<Option<Arc<Peers>>> {
    let Some(address) = settings.peer_listen else {
        return Ok(None);
    };
    let listen = || {
        let listener = std::net::TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        tokio::net::TcpListener::from_std(listener)
    };
    let listener = listen().map_err(|source| Error::Listen { address, source })?;
    let bound_address = listener
        .local_addr()
        .map_err(|source| Error::Listen { address, source })?;
    let entry = PeerEntry {
        vm: settings.vm.clone(),
        address: settings.peer_advertise.unwrap_or(bound_address),
        zone: settings.zone.clone(),
    };
    Ok(Some(Peers::start(listener, parts(entry))))
}

fn new_timeline(settings: &Settings) -> Arc<Timeline> {
    Arc::new(Timeline::new(
        settings.vm.clone(),
        settings.zone.clone(),
        Arc::default(),
        settings.timeline_events,
    ))
}

fn read_bundle_file(path: &std::path::Path) -> Result<ReadBundle> {
    let json = std::fs::read_to_string(path).map_err(|source| Error::File {
        path: path.to_owned(),
        source,
    })?;
    read_bundle(BundleVersion(1), &json)
}
