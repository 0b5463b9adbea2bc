use super::*;
use crate::fleet_bundle::{fleet_bundle, team_key};
use catkinward::http_client::{Connections, HttpCall};
use rustix::process::Signal;
use serde::de::DeserializeOwned;

/// The processes of one experiment.
pub struct Fleet {
    /// Router processes; the index is the number in the VM's name.
    pub routers: Vec<Process>,
    /// Mock engine processes.
    pub engines: Vec<Process>,
    /// Mock processes of the plain service.
    pub plain_upstreams: Vec<Process>,
    proxy: Option<Process>,
    /// Number of routes through the proxy: first those to engines, then those to routers.
    proxy_routes: usize,
    connections: Arc<Connections>,
}

/// Settings of the processes of an experiment.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// Numbers of processes, zones and teams.
    pub size: FleetSize,
    /// Duration of an engine's decode step.
    pub step: Duration,
    /// Recovery policy of the generation service.
    pub recovery: RecoveryPolicy,
    /// Whether routers reach engines through the fault-injecting proxy.
    pub proxied: bool,
    /// Whether routers reach each other through the fault-injecting proxy.
    pub peers_proxied: bool,
    /// Additional command-line flags of the routers.
    pub router_flags: Vec<String>,
    /// Additional command-line flags of the engines.
    pub engine_flags: Vec<String>,
    /// Additional command-line flags of the plain service.
    pub plain_flags: Vec<String>,
    /// Base seed; each mock upstream adds its index.
    pub seed: u64,
}

impl Default for FleetSettings {
    fn default() -> Self {
        Self {
            size: Size::Small.fleet(),
            step: Duration::from_millis(10),
            recovery: RecoveryPolicy::LeastWait,
            proxied: false,
            peers_proxied: false,
            router_flags: Vec::new(),
            engine_flags: Vec::new(),
            plain_flags: Vec::new(),
            seed: 1,
        }
    }
}

/// Timeout of a control request.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout until all routers are ready and have discovered each other.
const READY_TIMEOUT: Duration = Duration::from_secs(40);

impl Fleet {
    /// Starts all processes and waits until the routers are ready.
    ///
    /// # Errors
    ///
    /// If a process does not start, or the routers are not ready within 40 s.
    pub async fn start(program: &Path, settings: &FleetSettings) -> Result<Self, LoadError> {
        let size = settings.size;
        let engine = |i: usize| start_mock(program, "engine", engine_flags(settings, i));
        let plain = |i: usize| start_mock(program, "plain", plain_flags(settings, i));
        let engines = try_join_all((0..size.engines).map(engine)).await?;
        let plain_upstreams = try_join_all((0..size.plain_upstreams).map(plain)).await?;
        let connections = Arc::new(Connections::new()?);
        let mut fleet = Self {
            routers: Vec::new(),
            engines,
            plain_upstreams,
            proxy: None,
            proxy_routes: 0,
            connections,
        };
        if settings.proxied || settings.peers_proxied {
            fleet.proxy = Some(start_mock(program, "proxy", Vec::new()).await?);
        }
        let engines = fleet.engine_addresses(settings.proxied).await?;
        let plain_upstreams: Vec<_> = fleet.plain_upstreams.iter().map(Process::address).collect();
        let bundle = fleet_bundle(size, settings.recovery, &engines, &plain_upstreams);
        fleet.start_routers(program, settings, &bundle).await?;
        Ok(fleet)
    }

    async fn engine_addresses(&mut self, proxied: bool) -> Result<Vec<SocketAddr>, LoadError> {
        let mut engines = Vec::new();
        let addresses = self.engines.iter().map(Process::address);
        for address in addresses.collect::<Vec<_>>() {
            engines.push(if proxied {
                self.add_proxy_route(address).await?
            } else {
                address
            });
        }
        Ok(engines)
    }

    /// Adds a route through the proxy and returns its listening address.
    async fn add_proxy_route(&mut self, to: SocketAddr) -> Result<SocketAddr, LoadError> {
        let path = format!("/route?to={to}");
        let route = self.call_control(self.proxy()?, Method::POST, path).await?;
        self.proxy_routes += 1;
        Ok(route)
    }

    fn proxy(&self) -> Result<SocketAddr, LoadError> {
        let role = Role::Standin;
        let proxy = self.proxy.as_ref().ok_or(LoadError::NotRunning { role })?;
        Ok(proxy.address())
    }

    /// Starts a router. A proxied one advertises its route, which gets its target when the router has
    /// bound a port: a port chosen before could be taken by another process meanwhile.
    async fn start_router(
        &mut self,
        program: &Path,
        mut flags: Vec<String>,
        proxied: bool,
    ) -> Result<Process, LoadError> {
        let role = Role::Router;
        flags.push("--peer-listen=127.0.0.1:0".to_owned());
        if !proxied {
            return Process::start(program, role, &flags).await;
        }
        let proxy = self.proxy()?;
        let advertised: SocketAddr = self
            .call_control(proxy, Method::POST, "/route".to_owned())
            .await?;
        let route = self.proxy_routes;
        self.proxy_routes += 1;
        flags.push(flag("peer-advertise", advertised));
        let router = Process::start(program, role, &flags).await?;
        let bound = router.other_address("peers-bound");
        let bound = bound.ok_or(LoadError::NotListening { role })?;
        let path = format!("/target?route={route}&to={bound}");
        let call = control_call(proxy, Method::POST, path);
        self.connections.call_complete(call).await?;
        Ok(router)
    }

    async fn start_routers(
        &mut self,
        program: &Path,
        settings: &FleetSettings,
        bundle: &bundle::Bundle,
    ) -> Result<(), LoadError> {
        let name = format!("catkin-load-{:x}.json", rand::random::<u64>());
        let file = std::env::temp_dir().join(name);
        std::fs::write(&file, serde_json::to_vec(bundle).unwrap_or_default())?;
        let flags = |i: usize, peers: &str| {
            let mut flags = vec![
                format!("--vm=vm-{i}"),
                format!("--zone=zone-{}", i % settings.size.zones),
                "--listen=127.0.0.1:0".to_owned(),
                format!("--entry-vms={}", settings.size.routers),
                "--peer-key=secret-of-the-fleet".to_owned(),
                format!("--peers={peers}"),
                format!("--log={}", crate::process::log_filter()),
                format!("--bundle-file={}", file.display()),
            ];
            flags.extend(settings.router_flags.iter().cloned());
            flags
        };
        let mut peers = Vec::new();
        for i in 0..settings.size.routers {
            let flags = flags(i, &peers.join(","));
            let proxied = settings.peers_proxied;
            let router = self.start_router(program, flags, proxied).await?;
            if let Some(address) = router.other_address("peers") {
                peers.push(format!("vm-{i}={address}@zone-{}", i % settings.size.zones));
            }
            self.routers.push(router);
        }
        let ready = tokio::time::timeout(READY_TIMEOUT, self.wait_until_ready()).await;
        std::fs::remove_file(&file)?;
        ready.map_err(|_| LoadError::NotReady)?
    }

    /// Waits until each router answers and has discovered all others.
    async fn wait_until_ready(&self) -> Result<(), LoadError> {
        for client in self.clients(0)? {
            while !client
                .peers()
                .await
                .is_ok_and(|n| n + 1 >= self.routers.len())
            {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        Ok(())
    }

    /// Returns whether a router reports that it accepts calls.
    pub async fn is_ready(&self, router: SocketAddr) -> bool {
        let call = HttpCall {
            address: router,
            path: "/readyz".to_owned(),
            timeout: Duration::from_millis(300),
            new_connection: true,
            ..HttpCall::default()
        };
        let answer = self.connections.call_complete(call).await;
        answer.is_ok_and(|(status, _)| status.is_success())
    }

    /// Creates one client per router with the key of a team.
    ///
    /// # Errors
    ///
    /// If a client cannot be created.
    pub fn clients(&self, team: usize) -> Result<Vec<CallerClient>, LoadError> {
        let key = team_key(team);
        let client = |router: &Process| CallerClient::new(router.address(), &key);
        Ok(self.routers.iter().map(client).collect::<Result<_, _>>()?)
    }

    /// Sends a signal to a router.
    ///
    /// # Errors
    ///
    /// If the process has exited.
    pub fn signal_router(&self, router: usize, signal: Signal) -> Result<(), LoadError> {
        self.routers[router].signal(signal)
    }

    /// Sends a signal to an engine.
    ///
    /// # Errors
    ///
    /// If the process has exited.
    pub fn signal_engine(&self, engine: usize, signal: Signal) -> Result<(), LoadError> {
        self.engines[engine].signal(signal)
    }

    /// Injects a fault on the proxy route to an engine; needs a fleet started with proxied engines.
    ///
    /// # Errors
    ///
    /// If there is no proxy, or it does not respond.
    pub async fn inject(&self, engine: usize, fault: ProxyFault) -> Result<(), LoadError> {
        let path = format!("/fault?route={engine}&kind={fault}");
        let call = control_call(self.proxy()?, Method::POST, path);
        self.connections.call_complete(call).await?;
        Ok(())
    }

    /// Delays every message between routers by `delay`; needs a fleet started with proxied peers.
    ///
    /// # Errors
    ///
    /// If there is no proxy, or it does not respond.
    pub async fn delay_peers(&self, delay: Duration) -> Result<(), LoadError> {
        let ms = delay.as_millis();
        for route in self.proxy_routes - self.routers.len()..self.proxy_routes {
            let kind = ProxyFault::Delay;
            let path = format!("/fault?route={route}&kind={kind}&ms={ms}");
            let call = control_call(self.proxy()?, Method::POST, path);
            self.connections.call_complete(call).await?;
        }
        Ok(())
    }

    /// Returns the number of engines that accept connections.
    pub(crate) async fn live_engines(&self) -> usize {
        let connects = self.engines.iter().map(|engine| async {
            tokio::net::TcpStream::connect(engine.address())
                .await
                .is_ok()
        });
        let live = join_all(connects).await;
        live.into_iter().filter(|live| *live).count()
    }

    /// Returns the load report of an engine; `None` if it does not respond.
    pub async fn engine_load(&self, engine: usize) -> Option<engine::UpstreamLoad> {
        self.try_control(self.engines[engine].address(), "/v1/load")
            .await
    }

    /// Returns the run counts of an engine; `None` if it does not respond.
    pub async fn engine_runs(&self, engine: usize) -> Option<RunCounts> {
        self.try_control(self.engines[engine].address(), "/stats")
            .await
    }

    /// Returns the run counts of a process of the plain service.
    ///
    /// # Errors
    ///
    /// If it does not respond.
    pub async fn plain_runs(&self, plain: SocketAddr) -> Result<RunCounts, LoadError> {
        self.call_control(plain, Method::GET, "/stats".to_owned())
            .await
    }

    /// Sets the fault that a process of the plain service injects from now on.
    ///
    /// # Errors
    ///
    /// If it does not respond.
    pub async fn inject_plain_fault(
        &self,
        plain: SocketAddr,
        fault: PlainFault,
    ) -> Result<(), LoadError> {
        let call = control_call(plain, Method::POST, format!("/fault?kind={fault}"));
        self.connections.call_complete(call).await?;
        Ok(())
    }

    /// Opens a response stream of a process; returns `None` on an error or a status other than
    /// success.
    pub(crate) async fn open_response(
        &self,
        address: SocketAddr,
        path: String,
    ) -> Option<Response> {
        let call = control_call(address, Method::GET, path);
        let response = self.connections.call(call).await.ok()?;
        response.status().is_success().then_some(response)
    }

    async fn try_control<T: DeserializeOwned>(&self, address: SocketAddr, path: &str) -> Option<T> {
        let answer = self
            .call_control(address, Method::GET, path.to_owned())
            .await;
        answer.ok()
    }

    async fn call_control<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        method: Method,
        path: String,
    ) -> Result<T, LoadError> {
        let call = control_call(address, method, path);
        Ok(self.connections.call_json(call).await?)
    }
}

fn control_call(address: SocketAddr, method: Method, path: String) -> HttpCall {
    HttpCall {
        address,
        method,
        path,
        timeout: CONTROL_TIMEOUT,
        new_connection: true,
        ..HttpCall::default()
    }
}

async fn start_mock(program: &Path, kind: &str, flags: Vec<String>) -> Result<Process, LoadError> {
    let args: Vec<_> = std::iter::once(kind.to_owned()).chain(flags).collect();
    Process::start(program, Role::Standin, &args).await
}

fn engine_flags(settings: &FleetSettings, i: usize) -> Vec<String> {
    let mut flags = vec![
        flag("seed", settings.seed.wrapping_add(to_u64(i))),
        flag("step-us", settings.step.as_micros()),
    ];
    flags.extend(settings.engine_flags.iter().cloned());
    flags
}

fn plain_flags(settings: &FleetSettings, i: usize) -> Vec<String> {
    let mut flags = vec![flag("seed", settings.seed.wrapping_add(to_u64(i)))];
    flags.extend(settings.plain_flags.iter().cloned());
    flags
}

fn flag(name: &str, value: impl std::fmt::Display) -> String {
    format!("--{name}={value}")
}

fn to_u64(i: usize) -> u64 {
    u64::try_from(i).unwrap_or_default()
}
