use super::*;

/// Settings of the router daemon. Each can be set by a flag or by an environment variable, whose name is
/// `CATKINWARD_` and the flag in upper case. The flag takes precedence.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Address of the caller API.
    pub listen: SocketAddr,
    /// Id of this VM.
    pub vm: VmId,
    /// Availability zone of this VM.
    pub zone: AvailabilityZone,
    /// Address of the operator API; `None` disables it.
    pub operator_listen: Option<SocketAddr>,
    /// SHA-256 of the bearer key of the operator API.
    pub operator_key: Option<KeyHash>,
    /// Initial bundle, for a system without a platform.
    pub bundle_file: Option<PathBuf>,
    /// Address of the platform; without it, this VM stores nothing and does not coordinate with others.
    pub platform: Option<SocketAddr>,
    /// Address on which connections of other VMs are accepted; `None` means that this VM has no peers.
    pub peer_listen: Option<SocketAddr>,
    /// Address that is advertised to other VMs, if it differs from `peer_listen`.
    pub peer_advertise: Option<SocketAddr>,
    /// Secret that authenticates the VMs to each other; the same on all VMs.
    pub peer_key: PeerKey,
    /// Initial peers, in addition to the VMs listed by the platform.
    pub peers: Vec<PeerEntry>,
    /// Set of upstreams to which this VM may send orders.
    pub orders: OrderPermission,
    /// Time without any request in flight after which a draining process exits.
    pub drain_grace: Duration,
    /// Time for which a generation continues after its caller has disconnected.
    pub caller_grace: Duration,
    /// Maximum size of a request body and of the response of a plain service, in bytes.
    pub body_limit: usize,
    /// Memory that the process may have, from which the memory for callers' requests follows.
    pub memory: VmMemory,
    /// Number of VMs that share the capacity of the upstreams and of the platform; this VM uses its
    /// share.
    pub entry_vms: u32,
    /// Maximum number of events in the timeline; the oldest ones are overwritten.
    pub timeline_events: usize,
    /// Filter of log levels, such as `info,catkinward=debug`.
    pub log: String,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 8080)),
            vm: "vm-1".parse().expect("a valid name"),
            zone: "zone-1".parse().expect("a valid name"),
            operator_listen: None,
            operator_key: None,
            bundle_file: None,
            platform: None,
            orders: OrderPermission::default(),
            peer_listen: None,
            peer_advertise: None,
            peer_key: PeerKey::default(),
            peers: Vec::new(),
            drain_grace: Duration::from_secs(2),
            caller_grace: Duration::from_secs(20),
            body_limit: 4 * 1024 * 1024,
            memory: VmMemory::default(),
            entry_vms: 1,
            timeline_events: 20_000,
            log: "info".to_owned(),
        }
    }
}

/// Action selected by the command line.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Validate the settings and exit.
    Check(Settings),
    /// Print the help text.
    Help,
    /// Run the router.
    Run(Settings),
    /// Print the version.
    Version,
}

/// Text of `--help`.
pub const HELP: &str = "\
Usage: catkinward [FLAGS]

Routes generations and plain calls to upstreams and recovers from failures of upstreams.

Flags (each can also be set by a variable, such as CATKINWARD_LISTEN):
  --listen ADDRESS          IP and port for callers [127.0.0.1:8080]
  --vm ID                   id of this VM [vm-1]
  --zone NAME               availability zone of this VM [zone-1]
  --operator-listen ADDRESS IP and port for operators; needs --operator-key-sha256
  --operator-key-sha256 HEX SHA-256 of the bearer key of operators
  --bundle-file FILE        initial bundle, for a system without a platform
  --platform ADDRESS        IP and port of the platform; without it nothing is stored or coordinated
  --peer-listen ADDRESS     IP and port for other VMs; without it this VM has no peers
  --peer-advertise ADDRESS  address advertised to other VMs, if it differs from --peer-listen
  --peer-key TEXT           secret shared by all VMs; prefer the variable
  --peers LIST              initial peers, as VM=ADDRESS@ZONE, separated by commas
  --orders WHICH            upstreams to which this VM may send orders: all, checked (those that
                            verify the orderer) or none [all]
  --drain-grace-ms N        time without requests in flight before a drained process exits [2000]
  --caller-grace-ms N       time for which a generation continues without its caller [20000]
  --body-limit N            maximum size of a request body in bytes [4194304]
  --memory-mb N             memory of this process in MB; without it, requests may hold 33.5 MB
  --entry-vms N             number of VMs that share upstream and platform capacity [1]
  --timeline-events N       maximum number of events in the timeline [20000]
  --log FILTER              log levels [info]
  --check                   validate the settings and exit
  --help                    print this text
  --version                 print the version
";

impl Settings {
    /// Parses the command line and the environment variables that `variable` looks up.
    ///
    /// # Errors
    ///
    /// Returns an error that names the unknown flag, or the flag with an invalid or missing value.
    pub fn read(
        args: impl IntoIterator<Item = OsString>,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Command> {
        let mut settings = Self::default();
        for flag in FLAGS {
            if let Some(value) = variable(&variable_name(flag)) {
                settings.set(flag, &value)?;
            }
        }
        let mut parser = lexopt::Parser::from_args(args);
        let mut check = false;
        while let Some(arg) = parser.next()? {
            match arg {
                lexopt::Arg::Long("check") => check = true,
                lexopt::Arg::Long("help") | lexopt::Arg::Short('h') => return Ok(Command::Help),
                lexopt::Arg::Long("version") => return Ok(Command::Version),
                lexopt::Arg::Long(flag) => {
                    let flag = FLAGS
                        .iter()
                        .find(|known| **known == flag)
                        .ok_or_else(|| arg.unexpected())?;
                    let value = parser.value()?;
                    settings.set(flag, &value.to_string_lossy())?;
                }
                _ => return Err(arg.unexpected().into()),
            }
        }
        settings.check()?;
        Ok(if check {
            Command::Check(settings)
        } else {
            Command::Run(settings)
        })
    }

    /// Returns the hash of the operators' key.
    ///
    /// # Errors
    ///
    /// Returns an error if it is not set.
    pub fn operator_key(&self) -> Result<KeyHash> {
        let flag = "operator-key-sha256";
        self.operator_key.ok_or_else(|| Error::SettingAbsent {
            flag,
            variable: variable_name(flag),
        })
    }

    /// Validates combinations of settings.
    fn check(&self) -> Result<()> {
        if self.operator_listen.is_some() {
            self.operator_key()?;
        }
        if self.peer_listen.is_some() && self.peer_key == PeerKey::default() {
            return Err(Error::SettingAbsent {
                flag: "peer-key",
                variable: variable_name("peer-key"),
            });
        }
        Ok(())
    }

    fn set(&mut self, flag: &'static str, value: &str) -> Result<()> {
        match flag {
            "listen" => self.listen = parse(flag, "an IP address and port", value)?,
            "vm" => self.vm = parse(flag, "1 to 200 visible ASCII characters", value)?,
            "zone" => self.zone = parse(flag, "1 to 200 visible ASCII characters", value)?,
            "operator-listen" => {
                self.operator_listen = Some(parse(flag, "an IP address and port", value)?);
            }
            "operator-key-sha256" => {
                let digits = "64 lower-case hexadecimal digits";
                self.operator_key = Some(parse(flag, digits, value)?);
            }
            "bundle-file" => self.bundle_file = Some(value.into()),
            "peer-listen" => {
                self.peer_listen = Some(parse(flag, "an IP address and port", value)?);
            }
            "peer-advertise" => {
                self.peer_advertise = Some(parse(flag, "an IP address and port", value)?);
            }
            "peer-key" => self.peer_key = PeerKey::new(value),
            "peers" => self.peers = parse_peers(flag, value)?,
            "drain-grace-ms" => self.drain_grace = parse_ms(flag, value)?,
            "caller-grace-ms" => self.caller_grace = parse_ms(flag, value)?,
            "entry-vms" => self.entry_vms = parse(flag, "a number of VMs", value)?,
            "body-limit" => self.body_limit = parse(flag, "a number of bytes", value)?,
            "memory-mb" => {
                let megabytes = parse(flag, "a number of megabytes", value)?;
                self.memory = VmMemory::AtMost(MemorySize::megabytes(megabytes));
            }
            "timeline-events" => {
                self.timeline_events = parse(flag, "a number of events", value)?;
            }
            "orders" => self.orders = parse(flag, "all, checked or none", value)?,
            "platform" => {
                self.platform = Some(parse(flag, "an IP address and port", value)?);
            }
            "log" => value.clone_into(&mut self.log),
            _ => unreachable!("every flag of FLAGS is handled above"),
        }
        Ok(())
    }
}

/// Flags that take a value.
const FLAGS: &[&str] = &[
    "body-limit",
    "bundle-file",
    "caller-grace-ms",
    "drain-grace-ms",
    "entry-vms",
    "listen",
    "log",
    "memory-mb",
    "orders",
    "operator-key-sha256",
    "operator-listen",
    "platform",
    "peer-advertise",
    "peer-key",
    "peer-listen",
    "peers",
    "timeline-events",
    "vm",
    "zone",
];

fn variable_name(flag: &str) -> String {
    format!("CATKINWARD_{}", flag.to_uppercase().replace('-', "_"))
}

fn parse<T: FromStr>(flag: &'static str, expected: &'static str, value: &str) -> Result<T> {
    value.parse().map_err(|_| Error::SettingValue {
        flag,
        expected,
        value: value.to_owned(),
    })
}

fn parse_ms(flag: &'static str, value: &str) -> Result<Duration> {
    parse(flag, "a number of milliseconds", value).map(Duration::from_millis)
}

fn parse_peers(flag: &'static str, value: &str) -> Result<Vec<PeerEntry>> {
    let entry = |text: &str| {
        let (vm, rest) = text.split_once('=')?;
        let (address, zone) = rest.split_once('@')?;
        Some(PeerEntry {
            vm: vm.parse().ok()?,
            address: address.parse().ok()?,
            zone: zone.parse().ok()?,
        })
    };
    let parts = value.split(',').filter(|part| !part.is_empty());
    let entries = parts.map(entry).collect::<Option<Vec<_>>>();
    entries.ok_or_else(|| Error::SettingValue {
        flag,
        expected: "VM=ADDRESS@ZONE, separated by commas",
        value: value.to_owned(),
    })
}
