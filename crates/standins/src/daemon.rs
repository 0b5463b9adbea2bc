use super::*;
use catkin_border::platform::PlatformFaults;
use std::{ffi::OsString, process::ExitCode, str::FromStr};

/// Error that ends a mock process.
#[derive(Debug, Display, Error, From)]
pub enum StandinError {
    /// A flag is unknown or has no value.
    #[display("{_0}")]
    Flag(lexopt::Error),
    /// A flag has an invalid value.
    #[display("invalid value `{value}` for `--{flag}`")]
    #[from(skip)]
    Value {
        /// Name of the flag, without dashes.
        flag: &'static str,
        /// Value as given on the command line.
        value: String,
    },
    /// The mock engine was killed by a fault or crashed by a poison request.
    #[display("engine killed by a fault or a poison request")]
    #[from(skip)]
    Crashed,
    /// The command line names no kind of mock.
    #[display("missing kind of mock: expected `engine`, `plain`, `platform` or `proxy`")]
    #[from(skip)]
    Kind,
    /// Binding the listening address failed.
    #[display("cannot listen: {_0}")]
    Listen(std::io::Error),
}

/// Kind and settings of the mock to run, parsed from the command line.
enum Standin {
    Engine(EngineSettings),
    Plain(PlainSettings),
    Platform(PlatformFaults),
    Proxy(Vec<SocketAddr>),
}

/// Runs the mock that `args` select: `engine`, `plain`, `platform` or `proxy`, followed by its flags.
///
/// Prints `listening ADDRESS` once it accepts connections. The proxy first prints `route ADDRESS` for
/// each `--to`; its listening address is that of its control API.
pub fn run_standin(args: impl IntoIterator<Item = OsString>) -> ExitCode {
    match parse_args(args).map(serve) {
        Ok(Ok(())) => ExitCode::SUCCESS,
        Ok(Err(error)) | Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}

fn parse_args(args: impl IntoIterator<Item = OsString>) -> Result<Standin, StandinError> {
    let mut parser = lexopt::Parser::from_args(args);
    match parser.next()? {
        Some(lexopt::Arg::Value(kind)) if kind == "plain" => parse_plain(&mut parser),
        Some(lexopt::Arg::Value(kind)) if kind == "platform" => parse_platform(&mut parser),
        Some(lexopt::Arg::Value(kind)) if kind == "proxy" => parse_proxy(&mut parser),
        Some(lexopt::Arg::Value(kind)) if kind == "engine" => parse_engine(&mut parser),
        Some(arg) => Err(arg.unexpected().into()),
        None => Err(StandinError::Kind),
    }
}

fn parse_engine(parser: &mut lexopt::Parser) -> Result<Standin, StandinError> {
    let mut settings = EngineSettings::default();
    while let Some(arg) = parser.next()? {
        match arg {
            lexopt::Arg::Long("step-us") => settings.step = micros("step-us", parser)?,
            lexopt::Arg::Long("step-per-sequence-us") => {
                settings.step_per_sequence = micros("step-per-sequence-us", parser)?;
            }
            lexopt::Arg::Long("prefill-us") => {
                settings.prefill_per_token = micros("prefill-us", parser)?;
            }
            lexopt::Arg::Long("capacity") => settings.capacity = parse_value("capacity", parser)?,
            lexopt::Arg::Long("prefix-cache") => {
                settings.prefix_cache = parse_value("prefix-cache", parser)?;
            }
            lexopt::Arg::Long("load-model-us") => {
                settings.load_time = micros("load-model-us", parser)?;
            }
            lexopt::Arg::Long("ignore-fencing") => settings.enforces_fencing = false,
            lexopt::Arg::Long("orderer") => {
                let vm = parser.value()?.to_string_lossy().into_owned();
                settings.orderers.push(vm.into());
            }
            lexopt::Arg::Long("load-lag-us") => settings.load_lag = micros("load-lag-us", parser)?,
            lexopt::Arg::Long("seed") => settings.seed = parse_value("seed", parser)?,
            _ => return Err(arg.unexpected().into()),
        }
    }
    Ok(Standin::Engine(settings))
}

fn parse_plain(parser: &mut lexopt::Parser) -> Result<Standin, StandinError> {
    let mut settings = PlainSettings::default();
    while let Some(arg) = parser.next()? {
        match arg {
            lexopt::Arg::Long("service-us") => {
                settings.service_time = micros("service-us", parser)?;
            }
            lexopt::Arg::Long("spread") => settings.spread = parse_value("spread", parser)?,
            lexopt::Arg::Long("capacity") => settings.capacity = parse_value("capacity", parser)?,
            lexopt::Arg::Long("seed") => settings.seed = parse_value("seed", parser)?,
            _ => return Err(arg.unexpected().into()),
        }
    }
    Ok(Standin::Plain(settings))
}

fn parse_platform(parser: &mut lexopt::Parser) -> Result<Standin, StandinError> {
    let mut faults = PlatformFaults {
        answer_delay_ms: None,
        delay_ms: None,
        lose_answers: None,
        lose_every: None,
        outage: None,
        reads_per_second: None,
        vm_lag_ms: None,
        writes_per_second: None,
    };
    while let Some(arg) = parser.next()? {
        match arg {
            lexopt::Arg::Long("reads-per-second") => {
                faults.reads_per_second = Some(parse_value("reads-per-second", parser)?);
            }
            lexopt::Arg::Long("writes-per-second") => {
                faults.writes_per_second = Some(parse_value("writes-per-second", parser)?);
            }
            lexopt::Arg::Long("vm-lag-ms") => {
                faults.vm_lag_ms = Some(parse_value("vm-lag-ms", parser)?);
            }
            _ => return Err(arg.unexpected().into()),
        }
    }
    Ok(Standin::Platform(faults))
}

fn parse_proxy(parser: &mut lexopt::Parser) -> Result<Standin, StandinError> {
    let mut upstreams = Vec::new();
    while let Some(arg) = parser.next()? {
        match arg {
            lexopt::Arg::Long("to") => upstreams.push(parse_value("to", parser)?),
            _ => return Err(arg.unexpected().into()),
        }
    }
    Ok(Standin::Proxy(upstreams))
}

fn micros(flag: &'static str, parser: &mut lexopt::Parser) -> Result<Duration, StandinError> {
    parse_value(flag, parser).map(Duration::from_micros)
}

fn parse_value<T: FromStr>(
    flag: &'static str,
    parser: &mut lexopt::Parser,
) -> Result<T, StandinError> {
    let value = parser.value()?.to_string_lossy().into_owned();
    value
        .parse()
        .map_err(|_| StandinError::Value { flag, value })
}

#[tokio::main]
async fn serve(standin: Standin) -> Result<(), StandinError> {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    match standin {
        Standin::Engine(settings) => {
            let engine = EngineServer::start(any_port, settings).await?;
            println!("listening {}", engine.address());
            engine.wait_killed().await;
            return Err(StandinError::Crashed);
        }
        Standin::Plain(settings) => {
            let plain = PlainServer::start(any_port, settings).await?;
            println!("listening {}", plain.address());
        }
        Standin::Platform(faults) => {
            let platform = PlatformServer::start(any_port, faults).await?;
            println!("listening {}", platform.address());
        }
        Standin::Proxy(upstreams) => {
            let proxy = FaultProxy::start(any_port).await?;
            for upstream in upstreams {
                println!("route {}", proxy.route(upstream).await?);
            }
            println!("listening {}", proxy.address());
        }
    }
    std::future::pending::<()>().await;
    Ok(())
}
