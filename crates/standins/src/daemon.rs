use super::*;
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
    /// The address cannot be had.
    #[display("cannot listen: {_0}")]
    Listen(std::io::Error),
}

/// Runs the stand-ins' daemon: `engine` with its flags. It prints `listening ADDRESS`.
pub fn run_standin(args: impl IntoIterator<Item = OsString>) -> ExitCode {
    match read_settings(args).map(serve) {
        Ok(Ok(())) => ExitCode::SUCCESS,
        Ok(Err(error)) | Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}

fn read_settings(args: impl IntoIterator<Item = OsString>) -> Result<EngineSettings, StandinError> {
    let mut settings = EngineSettings::default();
    let mut parser = lexopt::Parser::from_args(args);
    while let Some(arg) = parser.next()? {
        match arg {
            lexopt::Arg::Value(kind) if kind == "engine" => {}
            lexopt::Arg::Long("step-us") => settings.step = micros("step-us", &mut parser)?,
            lexopt::Arg::Long("seed") => settings.seed = number("seed", &mut parser)?,
            _ => return Err(arg.unexpected().into()),
        }
    }
    Ok(settings)
}

fn micros(flag: &'static str, parser: &mut lexopt::Parser) -> Result<Duration, StandinError> {
    number(flag, parser).map(Duration::from_micros)
}

fn number(flag: &'static str, parser: &mut lexopt::Parser) -> Result<u64, StandinError> {
    let value = parser.value()?.to_string_lossy().into_owned();
    value
        .parse()
        .map_err(|_| StandinError::Value { flag, value })
}

#[tokio::main]
async fn serve(settings: EngineSettings) -> Result<(), StandinError> {
    let engine = EngineServer::start(SocketAddr::from(([127, 0, 0, 1], 0)), settings).await?;
    println!("listening {}", engine.address());
    std::future::pending::<()>().await;
    Ok(())
}
