use super::*;

/// Settings of the router daemon. Each is given by a flag or by an environment variable, which is
/// the flag in capitals behind `CATKINWARD_`; the flag goes first.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Address on which callers are served.
    pub listen: SocketAddr,
    /// Id of this VM.
    pub vm: VmId,
    /// Availability zone of this VM.
    pub zone: AvailabilityZone,
    /// Address on which operators are served, if at all.
    pub operator_listen: Option<SocketAddr>,
    /// SHA-256 of the key that operators show.
    pub operator_key: Option<KeyHash>,
    /// A bundle to start with, for a system without a platform.
    pub bundle_file: Option<PathBuf>,
    /// Address of the platform; without it this VM keeps and agrees on nothing.
    pub platform: Option<SocketAddr>,
    /// Address on which other VMs are heard; none means that this VM stands alone.
    pub peer_listen: Option<SocketAddr>,
    /// Address at which other VMs reach this one, where it differs from the one above.
    pub peer_advertise: Option<SocketAddr>,
    /// Secret that all VMs share.
    pub peer_key: PeerKey,
    /// VMs to begin with, besides those of the platform's list.
    pub peers: Vec<PeerEntry>,
    /// Which upstreams this VM may give orders to.
    pub orders: OrderPermission,
    /// How long nothing must have been in flight before the process ends.
    pub drain_grace: Duration,
    /// How long a generation goes on without a caller who reads it.
    pub caller_grace: Duration,
    /// Longest request body, and longest answer of a plain service, in bytes.
    pub body_limit: usize,
    /// VMs that share the capacity of the upstreams and of the platform; this one takes its part.
    pub entry_vms: u32,
    /// Events that the time line holds; older ones make room for newer.
    pub timeline_events: usize,
    /// Log levels, as in `info,catkinward=debug`.
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
            entry_vms: 1,
            timeline_events: 20_000,
            log: "info".to_owned(),
        }
    }
}

/// What the command line asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Check the settings only.
    Check(Settings),
    /// Print the flags.
    Help,
    /// Serve.
    Run(Settings),
    /// Print the version.
    Version,
}

/// Text of `--help`.
pub const HELP: &str = "\
Usage: catkinward [FLAGS]

Routes generations and plain calls to upstreams and carries them through their failures.

Flags (each also as a variable, as in CATKINWARD_LISTEN):
  --listen ADDRESS          IP and port for callers [127.0.0.1:8080]
  --vm ID                   id of this VM [vm-1]
  --zone NAME               availability zone of this VM [zone-1]
  --operator-listen ADDRESS IP and port for operators; needs --operator-key-sha256
  --operator-key-sha256 HEX SHA-256 of the key that operators show
  --bundle-file FILE        bundle to start with, for a system without a platform
  --platform ADDRESS        IP and port of the platform; without it nothing is kept or agreed on
  --peer-listen ADDRESS     IP and port for other VMs; without it this VM stands alone
  --peer-advertise ADDRESS  where other VMs reach this one, if not at --peer-listen
  --peer-key TEXT           secret that all VMs share; better given as a variable
  --peers LIST              VMs to begin with, as VM=ADDRESS@ZONE, separated by commas
  --orders WHICH            upstreams that this VM may order: all, checked (those that check who
                            orders) or none [all]
  --drain-grace-ms N        how long nothing must be in flight before the end [2000]
  --caller-grace-ms N       how long a generation goes on without its caller [20000]
  --body-limit N            longest request body in bytes [4194304]
  --entry-vms N             VMs that share the upstreams' and the platform's capacity [1]
  --timeline-events N       events that the time line holds [20000]
  --log FILTER              log levels [info]
  --check                   check the settings and end
  --help                    print this text
  --version                 print the version
";

impl Settings {
    /// Reads the command line and the variables that `variable` looks up.
    ///
    /// # Errors
    ///
    /// Names the flag that is unknown, or whose value is wrong.
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

    /// Hash of the operators' key.
    ///
    /// # Errors
    ///
    /// If it is not set.
    pub fn operator_key(&self) -> Result<KeyHash> {
        let flag = "operator-key-sha256";
        self.operator_key.ok_or_else(|| Error::SettingAbsent {
            flag,
            variable: variable_name(flag),
        })
    }

    /// Checks what no setting shows alone.
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
            "timeline-events" => {
                self.timeline_events = parse(flag, "a number of events", value)?;
            }
            "orders" => self.orders = parse(flag, "all, checked or none", value)?,
            "platform" => {
                self.platform = Some(parse(flag, "an IP address and port", value)?);
            }
            "log" => value.clone_into(&mut self.log),
            _ => unreachable!("every flag of FLAGS is set above"),
        }
        Ok(())
    }
}

/// Flags that have a value.
const FLAGS: &[&str] = &[
    "body-limit",
    "bundle-file",
    "caller-grace-ms",
    "drain-grace-ms",
    "entry-vms",
    "listen",
    "log",
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
