//! Processes of the system, started as the deploy file says.

use crate::http::call;
use std::{
    fs::{self, File},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

/// The program in the deploy file's `run`.
const PROGRAM: &str = "target/release/catkinward-platform";

pub struct Router {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    folder: PathBuf,
    child: Option<Child>,
}

/// Settings of a small deployment.
pub struct Deployment {
    pub store: SocketAddr,
    pub contracts: &'static [&'static str],
    pub ips: Vec<Ipv4Addr>,
    /// Whether the whole system starts for the first time.
    pub bootstrap: bool,
    /// Machines that the settings name as seeds.
    pub seeds: Vec<Ipv4Addr>,
}

impl Deployment {
    /// A deployment of this many machines, on loopback addresses that are free.
    pub fn new(store: SocketAddr, machines: u8, contracts: &'static [&'static str]) -> Self {
        let id = std::process::id();
        let free = |net: u32| {
            let [.., high, low] = (id + net).to_be_bytes();
            let ips = (1..=machines).map(|n| Ipv4Addr::new(127, high.max(1), low, n));
            let ips = ips.collect::<Vec<_>>();
            let is_free = ips.iter().all(|ip| {
                [8740, 8748, 8749, 7200]
                    .iter()
                    .all(|p| TcpListener::bind((*ip, *p)).is_ok())
            });
            is_free.then_some(ips)
        };
        let ips = (0..100).find_map(free).expect("free loopback addresses");
        Self {
            store,
            contracts,
            bootstrap: true,
            seeds: ips.iter().take(3).copied().collect(),
            ips,
        }
    }

    /// Settings of one machine, with the bounds of the sheet of `shifted/`.
    fn settings(&self, index: usize) -> String {
        let (ip, bootstrap) = (self.ips[index], self.bootstrap);
        let lines = |items: Vec<String>| {
            let items = items.iter().map(|item| format!("  - \"{item}\"\n"));
            items.collect::<String>()
        };
        let seeds = self.seeds.iter().map(|ip| format!("{ip}:8748"));
        let contracts = self.contracts.iter().map(|name| (*name).to_owned());
        format!(
            "node-name: \"edge-{index}\"\nrole: \"router\"\nmachine-class: \"edge\"\nserves:\n  - \"edge\"\n  - \"control_plane\"\n\
             ip: \"{ip}\"\nzone: \"hall-a\"\nregion: \"r\"\nzones:\n  hall-a: \"r\"\n\
             listen-addrs:\n  front: \"{ip}:8740\"\n  ready: \"{ip}:8749\"\n  control: \"{ip}:8748\"\n\
             internal-ports:\n  - 7200\n  - 7215\nseeds:\n{}bootstrap: {bootstrap}\nfault-counted: false\n\
             limits:\n  cpu-share: 0.25\n  cores: 1\n  memory-mb: 260\n  max-fds: 4100\n  link-mbps: 1000.0\n  disk-mb: 0\n\
             data-dir: null\ndiscovery: \"platform\"\nentry: \"vip\"\nheartbeat-ms: 1200\ncontracts:\n{}\
             fault-tolerance:\n  machines: 2\n  zones: 1\n  regions: 0\nbounds:\n  seed-lag-s: 3\n  addr-reuse-s: 2\n\
             \x20 stable-window-ms: 4000\n  ack-ms: 6000\n  catch-up-s: 6\n  drain-ms: 3000\n  grace-s: 8\n  loss-slack-ms: 200\n\
             \x20 config-apply-ms: 3000\n  downgrade-slack-ms: 250\n  max-skew-ms: 6000\n  strict-revoke: false\n  revoke-ms: 5000\n\
             \x20 retry-budget-ratio: 0.8\n  budget-window-s: 10\n  budget-slack: 150\n  exposure-share: 0.1\n  exposure-slack: 50\n\
             \x20 rollback-ms: 5000\n  recovery-s: 15\n  pass-ms: 200\n  retry-after-s: 10\nplatform:\n  address: \"{}\"\n  form: \"table\"\n\
             \x20 writes-per-s: 400\n  reads-per-s: 2000\n  tx-ms: 5.0\n  part-writes-per-s: 200\n  row-bytes: 65536\n  spread: false\n\
             \x20 history-s: 20\n  blob-bytes: 8388608\n  blob-ms: 25.0\n  blob-mb-per-s: 80.0\n",
            lines(seeds.collect()),
            lines(contracts.collect()),
            self.store,
        )
    }

    /// Starts the process of a machine.
    pub fn start(&self, index: usize) -> Router {
        let folder = std::env::var("SCRATCH").map_or_else(|_| std::env::temp_dir(), PathBuf::from);
        let ip = IpAddr::V4(self.ips[index]);
        let mut router = Router {
            name: format!("edge-{index}"),
            front: SocketAddr::new(ip, 8740),
            ready: SocketAddr::new(ip, 8749),
            folder,
            child: None,
        };
        self.write_settings(index, &router);
        router.start();
        router
    }

    /// Writes the settings file of a machine.
    pub fn write_settings(&self, index: usize, router: &Router) {
        fs::write(router.settings_path(), self.settings(index)).expect("settings are written");
    }
}

impl Router {
    fn settings_path(&self) -> PathBuf {
        self.folder.join(format!("{}.yaml", self.name))
    }

    /// Starts the process with its settings; its log is appended to that of earlier ones.
    pub fn start(&mut self) {
        let program = PathBuf::from(std::env::var("REPO").unwrap_or_else(|_| ".".to_owned()));
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}.log", self.name)))
            .expect("a log file");
        let errors = log.try_clone().expect("a log file");
        let child = Command::new(program.join(PROGRAM))
            .env("CATKINWARD_BOOT", self.settings_path())
            .stdin(Stdio::null())
            .stdout(Stdio::from(log))
            .stderr(Stdio::from(errors))
            .spawn();
        match child {
            Ok(child) => self.child = Some(child),
            Err(error) => {
                eprintln!("the router cannot be started: {error}");
                std::process::exit(2);
            }
        }
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a signal, by name.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let pid = child.id().to_string();
            let _ = Command::new("kill").args(["-s", name, &pid]).status();
        }
    }

    /// Exit status, if the process has ended.
    pub fn ended(&mut self) -> Option<std::process::ExitStatus> {
        self.child.as_mut()?.try_wait().ok()?
    }

    pub fn is_ready(&self) -> bool {
        let request = "GET /v1/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let response = call(self.ready, request, Duration::from_secs(1));
        response.is_ok_and(|response| response.status() == 200)
    }

    pub fn wait_until_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.kill();
    }
}
