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
const FLAGS_WITH_VARIABLE: &[&str] = &["operator", "platform", "timeout-ms"];

/// Flags that can be set on the command line only.
const COMMAND_LINE_FLAGS: &[&str] = &["request", "since", "upstream", "vm"];

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
        for flag in FLAGS_WITH_VARIABLE {
            if let Some(value) = variable(&variable_name(flag)) {
                settings.set(flag, &value)?;
            }
        }
        let mut arguments = Vec::new();
        let mut parser = lexopt::Parser::from_args(args);
        while let Some(arg) = parser.next().map_err(flag_error)? {
            match arg {
                lexopt::Arg::Long("help") | lexopt::Arg::Short('h') => {
                    return Ok((settings, CtlCommand::Help));
                }
                lexopt::Arg::Long("version") => return Ok((settings, CtlCommand::Version)),
                lexopt::Arg::Long("json") => settings.json = true,
                lexopt::Arg::Long(flag) => {
                    let known = FLAGS_WITH_VARIABLE.iter().chain(COMMAND_LINE_FLAGS);
                    let flag = known.copied().find(|known| *known == flag);
                    let flag = flag.ok_or_else(|| flag_error(arg.unexpected()))?;
                    let value = parser.value().map_err(flag_error)?;
                    settings.set(flag, &value.to_string_lossy())?;
                }
                lexopt::Arg::Value(text) => arguments.push(text.to_string_lossy().into_owned()),
                lexopt::Arg::Short(_) => return Err(flag_error(arg.unexpected())),
            }
        }
        Ok((settings, parse_command(arguments)?))
    }

    fn set(&mut self, flag: &'static str, value: &str) -> Result<()> {
        let address = "an IP address and port";
        let name = "1 to 200 visible ASCII characters";
        match flag {
            "operator" => self.operator = Some(parse(flag, name, value)?),
            "platform" => self.platform = Some(parse(flag, address, value)?),
            "request" => self.query.request = Some(parse(flag, name, value)?),
            "since" => self.query.since = Some(parse_since(value)?),
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
        self.platform.ok_or_else(|| missing_setting("platform"))
    }

    /// Returns the operator's name.
    ///
    /// # Errors
    ///
    /// Returns an error if it is not set.
    pub(crate) fn operator(&self) -> Result<OperatorName> {
        self.operator
            .clone()
            .ok_or_else(|| missing_setting("operator"))
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

fn parse_command(arguments: Vec<String>) -> Result<CtlCommand> {
    let mut arguments = arguments.into_iter();
    let first = arguments.next().ok_or(Error::CtlCommandAbsent)?;
    let name = match (first.as_str(), arguments.next()) {
        ("bundle", Some(second)) => format!("bundle {second}"),
        ("explain", Some(file)) => {
            let files = std::iter::once(file).chain(arguments).map(PathBuf::from);
            return Ok(CtlCommand::Explain(files.collect()));
        }
        (_, Some(extra)) => return Err(Error::CtlArgumentExtra { argument: extra }),
        (_, None) => first,
    };
    let mut next_argument = |argument: &'static str| {
        let missing = Error::CtlArgumentAbsent {
            command: name.clone(),
            argument,
        };
        arguments.next().ok_or(missing)
    };
    let command = match name.as_str() {
        "explain" => CtlCommand::Explain(vec![next_argument("FILE")?.into()]),
        "bundle check" => CtlCommand::Check(next_argument("FILE")?.into()),
        "bundle propose" => CtlCommand::Propose(next_argument("FILE")?.into()),
        "bundle sign-off" => CtlCommand::SignOff(next_argument("DRAFT")?.parse()?),
        "bundle roll-out" => CtlCommand::RollOut(next_argument("DRAFT")?.parse()?),
        "bundle roll-back" => CtlCommand::RollBack(next_argument("VERSION")?.parse()?),
        "bundle diff" => CtlCommand::Diff(
            parse_reference(next_argument("A")?),
            parse_reference(next_argument("B")?),
        ),
        "bundle status" => CtlCommand::BundleStatus,
        "bundle history" => CtlCommand::History,
        "status" => CtlCommand::Status,
        "timeline" => CtlCommand::Timeline,
        _ => return Err(Error::CtlCommandUnknown { command: name }),
    };
    match arguments.next() {
        Some(argument) => Err(Error::CtlArgumentExtra { argument }),
        None => Ok(command),
    }
}

fn parse_reference(text: String) -> BundleReference {
    if let Ok(version) = text.parse() {
        return BundleReference::Version(version);
    }
    match text.parse() {
        Ok(draft) => BundleReference::Draft(draft),
        Err(_) => BundleReference::File(text.into()),
    }
}

/// Parses a clock reading, or an age that is subtracted from the current wall-clock time.
fn parse_since(value: &str) -> Result<HybridTime> {
    if let Ok(time) = value.parse() {
        return Ok(time);
    }
    let expected = "a clock reading, or an age as in `5m`";
    let age = humantime::parse_duration(value).map_err(|_| Error::SettingValue {
        flag: "since",
        expected,
        value: value.to_owned(),
    })?;
    let wall_time = process_clock::wall().saturating_sub(age);
    Ok(HybridTime {
        micros: u64::try_from(wall_time.as_micros()).unwrap_or(u64::MAX),
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

fn variable_name(flag: &str) -> String {
    format!("CATKINCTL_{}", flag.to_uppercase().replace('-', "_"))
}

fn flag_error(source: lexopt::Error) -> Error {
    Error::CtlFlag { source }
}

fn missing_setting(flag: &'static str) -> Error {
    Error::SettingAbsent {
        flag,
        variable: variable_name(flag),
    }
}
