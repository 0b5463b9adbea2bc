use super::*;
use catkin_decisions::{DraftId, OperatorName};

/// Text of `catkinctl --help`.
pub(crate) const CTL_HELP: &str = "\
Usage: catkinctl [FLAGS] COMMAND

Commands:
  bundle check FILE           validate a bundle file without the platform
  bundle propose FILE         store a bundle as a draft based on the release in force
  bundle sign-off DRAFT       sign off a draft; not allowed for its proposer
  bundle roll-out DRAFT       put a signed-off draft in force
  bundle roll-back VERSION    put the content of an earlier version in force, as a new version
  bundle diff A B             show the changes from A to B; each is a version, a draft or a file
  bundle status               show the release in force and the drafts based on it
  bundle history              list the latest releases
  explain FILE...             explain the outcome of the request --request from log files
  status                      show bundle, readiness and requests in flight of each VM
  timeline                    show events of all VMs in causal order; see the flags below

Flags (the first three can also be set by a variable, such as CATKINCTL_PLATFORM):
  --platform ADDRESS          IP and port of the platform
  --operator NAME             name of the operator, required by commands that change a bundle
  --timeout-ms N              timeout for the response of each VM [2000]
  --vm ADDRESS                operator address of a VM, instead of the platform's list; repeatable
  --request ID                only events of this request
  --upstream ID               only events of this upstream
  --since TIME                only events since a clock reading, or of the last period, such as `5m`
  --json                      print `status` and `timeline` as JSON
  --help                      print this text
  --version                   print the version

`status` and `timeline` authenticate with the operator key, read from CATKINCTL_KEY only.
";

/// A command of `catkinctl`.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum CtlCommand {
    Check(PathBuf),
    Diff(BundleReference, BundleReference),
    Explain(Vec<PathBuf>),
    Help,
    History,
    Propose(PathBuf),
    RollBack(BundleVersion),
    RollOut(DraftId),
    SignOff(DraftId),
    BundleStatus,
    Status,
    Timeline,
    Version,
}

/// Reference to a bundle: a released version, a draft or a file.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum BundleReference {
    Version(BundleVersion),
    Draft(DraftId),
    File(PathBuf),
}

/// Settings of `catkinctl`.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct CtlSettings {
    pub(crate) platform: Option<SocketAddr>,
    pub(crate) operator: Option<OperatorName>,
    pub(crate) timeout: Duration,
    pub(crate) key: Option<String>,
    pub(crate) vms: Vec<SocketAddr>,
    pub(crate) query: TimelineQuery,
    pub(crate) json: bool,
}

impl Default for CtlSettings {
    fn default() -> Self {
        Self {
            platform: None,
            operator: None,
            timeout: Duration::from_secs(2),
            key: None,
            vms: Vec::new(),
            query: TimelineQuery::default(),
            json: false,
        }
    }
}

/// Flags that can also be set by an environment variable.
const CTL_VARIABLES: &[&str] = &["operator", "platform", "timeout-ms"];

/// Flags that can be set on the command line only.
const CTL_FLAGS: &[&str] = &["request", "since", "upstream", "vm"];

impl CtlSettings {
    /// Parses the command line and the environment variables that `variable` looks up.
    ///
    /// # Errors
    ///
    /// Returns an error for an unknown, invalid, missing or unexpected argument.
    pub(crate) fn read(
        args: impl IntoIterator<Item = OsString>,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<(Self, CtlCommand)> {
        let mut settings = Self {
            key: variable("CATKINCTL_KEY"),
            ..Self::default()
        };
        for flag in CTL_VARIABLES {
            if let Some(value) = variable(&ctl_variable(flag)) {
                settings.set(flag, &value)?;
            }
        }
        let mut words = Vec::new();
        let mut parser = lexopt::Parser::from_args(args);
        while let Some(arg) = parser.next().map_err(ctl_flag)? {
            match arg {
                lexopt::Arg::Long("help") | lexopt::Arg::Short('h') => {
                    return Ok((settings, CtlCommand::Help));
                }
                lexopt::Arg::Long("version") => return Ok((settings, CtlCommand::Version)),
                lexopt::Arg::Long("json") => settings.json = true,
                lexopt::Arg::Long(flag) => {
                    let known = CTL_VARIABLES.iter().chain(CTL_FLAGS);
                    let flag = known.copied().find(|known| *known == flag);
                    let flag = flag.ok_or_else(|| ctl_flag(arg.unexpected()))?;
                    let value = parser.value().map_err(ctl_flag)?;
                    settings.set(flag, &value.to_string_lossy())?;
                }
                lexopt::Arg::Value(word) => words.push(word.to_string_lossy().into_owned()),
                lexopt::Arg::Short(_) => return Err(ctl_flag(arg.unexpected())),
            }
        }
        Ok((settings, command(words)?))
    }

    fn set(&mut self, flag: &'static str, value: &str) -> Result<()> {
        let address = "an IP address and port";
        let name = "1 to 200 visible ASCII characters";
        match flag {
            "operator" => self.operator = Some(parse(flag, name, value)?),
            "platform" => self.platform = Some(parse(flag, address, value)?),
            "request" => self.query.request = Some(parse(flag, name, value)?),
            "since" => self.query.since = Some(since(value)?),
            "timeout-ms" => {
                let ms = parse(flag, "a number of milliseconds", value)?;
                self.timeout = Duration::from_millis(ms);
            }
            "upstream" => self.query.upstream = Some(parse(flag, name, value)?),
            "vm" => self.vms.push(parse(flag, address, value)?),
            _ => unreachable!("every flag of CTL_VARIABLES and CTL_FLAGS is handled above"),
        }
        Ok(())
    }

    /// Returns the address of the platform.
    ///
    /// # Errors
    ///
    /// Returns an error if it is not set.
    pub(crate) fn platform(&self) -> Result<SocketAddr> {
        self.platform.ok_or_else(|| absent("platform"))
    }

    /// Returns the operator's name.
    ///
    /// # Errors
    ///
    /// Returns an error if it is not set.
    pub(crate) fn operator(&self) -> Result<OperatorName> {
        self.operator.clone().ok_or_else(|| absent("operator"))
    }

    /// Returns the bearer key for the operator API.
    ///
    /// # Errors
    ///
    /// Returns an error if it is not set.
    pub(crate) fn key(&self) -> Result<&str> {
        self.key.as_deref().ok_or(Error::CtlKeyAbsent)
    }
}

fn command(words: Vec<String>) -> Result<CtlCommand> {
    let mut words = words.into_iter();
    let first = words.next().ok_or(Error::CtlCommandAbsent)?;
    let name = match (first.as_str(), words.next()) {
        ("bundle", Some(second)) => format!("bundle {second}"),
        ("explain", Some(file)) => {
            let files = std::iter::once(file).chain(words).map(PathBuf::from);
            return Ok(CtlCommand::Explain(files.collect()));
        }
        (_, Some(extra)) => return Err(Error::CtlArgumentExtra { argument: extra }),
        (_, None) => first,
    };
    let mut next = |argument: &'static str| {
        let absent = Error::CtlArgumentAbsent {
            command: name.clone(),
            argument,
        };
        words.next().ok_or(absent)
    };
    let command = match name.as_str() {
        "explain" => CtlCommand::Explain(vec![next("FILE")?.into()]),
        "bundle check" => CtlCommand::Check(next("FILE")?.into()),
        "bundle propose" => CtlCommand::Propose(next("FILE")?.into()),
        "bundle sign-off" => CtlCommand::SignOff(next("DRAFT")?.parse()?),
        "bundle roll-out" => CtlCommand::RollOut(next("DRAFT")?.parse()?),
        "bundle roll-back" => CtlCommand::RollBack(next("VERSION")?.parse()?),
        "bundle diff" => CtlCommand::Diff(reference(next("A")?), reference(next("B")?)),
        "bundle status" => CtlCommand::BundleStatus,
        "bundle history" => CtlCommand::History,
        "status" => CtlCommand::Status,
        "timeline" => CtlCommand::Timeline,
        _ => return Err(Error::CtlCommandUnknown { command: name }),
    };
    match words.next() {
        Some(argument) => Err(Error::CtlArgumentExtra { argument }),
        None => Ok(command),
    }
}

fn reference(word: String) -> BundleReference {
    if let Ok(version) = word.parse() {
        return BundleReference::Version(version);
    }
    match word.parse() {
        Ok(draft) => BundleReference::Draft(draft),
        Err(_) => BundleReference::File(word.into()),
    }
}

/// Parses a clock reading, or an age that is subtracted from the current wall-clock time.
fn since(value: &str) -> Result<HybridTime> {
    if let Ok(time) = value.parse() {
        return Ok(time);
    }
    let expected = "a clock reading, or an age as in `5m`";
    let age = humantime::parse_duration(value).map_err(|_| Error::SettingValue {
        flag: "since",
        expected,
        value: value.to_owned(),
    })?;
    let then = process_clock::wall().saturating_sub(age);
    Ok(HybridTime {
        micros: u64::try_from(then.as_micros()).unwrap_or(u64::MAX),
        count: 0,
    })
}

fn parse<T: FromStr>(flag: &'static str, expected: &'static str, value: &str) -> Result<T> {
    value.parse().map_err(|_| Error::SettingValue {
        flag,
        expected,
        value: value.to_owned(),
    })
}

fn ctl_variable(flag: &str) -> String {
    format!("CATKINCTL_{}", flag.to_uppercase().replace('-', "_"))
}

fn ctl_flag(source: lexopt::Error) -> Error {
    Error::CtlFlag { source }
}

fn absent(flag: &'static str) -> Error {
    Error::SettingAbsent {
        flag,
        variable: ctl_variable(flag),
    }
}
