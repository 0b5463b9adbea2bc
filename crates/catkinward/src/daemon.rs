use super::*;
use crate::http_server::Listener;
use std::process::ExitCode;

/// Runs the router daemon on a command line without the program's name.
///
/// On standard output it prints `operators ADDRESS`, if operators are served, and then, once callers
/// are served, `listening ADDRESS`.
pub fn run_daemon(args: impl IntoIterator<Item = OsString>) -> ExitCode {
    let command = Settings::read(args, |name| std::env::var(name).ok());
    match command.and_then(run) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(command: Command) -> Result<()> {
    match command {
        Command::Check(_) => println!("the settings are valid"),
        Command::Help => print!("{HELP}"),
        Command::Run(settings) => return serve(settings),
        Command::Version => println!("catkinward {}", env!("CARGO_PKG_VERSION")),
    }
    Ok(())
}

#[tokio::main]
async fn serve(settings: Settings) -> Result<()> {
    start_logging(&settings.log);
    let listener = Listener::bind(settings.listen).await?;
    let operators = match settings.operator_listen {
        Some(address) => Some(Listener::bind(address).await?),
        None => None,
    };
    let node = Node::start(settings)?;
    if let Some(operators) = &operators {
        println!("operators {}", operators.address()?);
    }
    println!("listening {}", listener.address()?);
    let serve_operators = async {
        match operators {
            Some(operators) => node.serve_operators(operators).await,
            None => Ok(()),
        }
    };
    let (callers, operators) = tokio::join!(node.serve(listener), serve_operators);
    callers.and(operators)
}
