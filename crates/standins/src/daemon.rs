use super::*;
use catkin_border::platform::PlatformFaults;
use std::{ffi::OsString, process::ExitCode};

/// Why a stand-in cannot run.
#[derive(Debug, Display, Error, From)]
pub enum StandinError {
    /// A flag is not known or has no value.
    #[display("{_0}")]
    Flag(lexopt::Error),
    /// A value is wrong.
    #[display("`--{flag}` must be a number, but is `{value}`")]
    #[from(skip)]
    Value {
        /// Its flag.
        flag: &'static str,
        /// What it is.
        value: String,
    },
    /// The kind of stand-in is missing.
    #[display("the first argument must be `engine` or `platform`")]
    #[from(skip)]
    NoKind,
    /// The address cannot be had.
    #[display("cannot listen: {_0}")]
    Listen(std::io::Error),
}

/// What the command line asks for.
enum Standin {
    Engine(EngineSettings),
    Platform(PlatformFaults),
}

/// Runs the stand-ins' daemon: `engine` or `platform` with its flags. It prints `listening ADDRESS`.
pub fn run_standin(args: impl IntoIterator<Item = OsString>) -> ExitCode {
    match read_standin(args).map(serve) {
        Ok(Ok(())) => ExitCode::SUCCESS,
        Ok(Err(error)) | Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}

fn read_standin(args: impl IntoIterator<Item = OsString>) -> Result<Standin, StandinError> {
    let mut parser = lexopt::Parser::from_args(args);
    match parser.next()? {
        Some(lexopt::Arg::Value(kind)) if kind == "engine" => read_engine(parser),
        Some(lexopt::Arg::Value(kind)) if kind == "platform" => read_platform(parser),
        Some(arg) => Err(arg.unexpected().into()),
        None => Err(StandinError::NoKind),
    }
}

fn read_engine(mut parser: lexopt::Parser) -> Result<Standin, StandinError> {
    let mut settings = EngineSettings::default();
    while let Some(arg) = parser.next()? {
        match arg {
            lexopt::Arg::Long("step-us") => settings.step = micros("step-us", &mut parser)?,
            lexopt::Arg::Long("seed") => settings.seed = number("seed", &mut parser)?,
            _ => return Err(arg.unexpected().into()),
        }
    }
    Ok(Standin::Engine(settings))
}

fn read_platform(mut parser: lexopt::Parser) -> Result<Standin, StandinError> {
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
                faults.reads_per_second = Some(number("reads-per-second", &mut parser)?);
            }
            lexopt::Arg::Long("writes-per-second") => {
                faults.writes_per_second = Some(number("writes-per-second", &mut parser)?);
            }
            lexopt::Arg::Long("vm-lag-ms") => {
                faults.vm_lag_ms = Some(number("vm-lag-ms", &mut parser)?);
            }
            _ => return Err(arg.unexpected().into()),
        }
    }
    Ok(Standin::Platform(faults))
}

fn micros(flag: &'static str, parser: &mut lexopt::Parser) -> Result<Duration, StandinError> {
    number(flag, parser).map(Duration::from_micros)
}

fn number<T: std::str::FromStr>(
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
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let address = match standin {
        Standin::Engine(settings) => EngineServer::start(address, settings).await?.address(),
        Standin::Platform(faults) => PlatformServer::start(address, faults).await?.address(),
    };
    println!("listening {address}");
    std::future::pending::<()>().await;
    Ok(())
}
