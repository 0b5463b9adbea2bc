use super::*;
use crate::http_server::Listener;
use std::process::ExitCode;
use tokio::signal;

/// Runs the router daemon with command line arguments that exclude the program's name.
///
/// Once it serves callers, it prints `listening ADDRESS` on standard output; before that, a line
/// for each other address that it listens on. The address for peers is printed as `peers ADDRESS` as
/// advertised, and as `peers-bound ADDRESS` as bound.
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
    let signals = Signals::new();
    let listener = Listener::bind(settings.listen).await?;
    let operators = match settings.operator_listen {
        Some(address) => Some(Listener::bind(address).await?),
        None => None,
    };
    let node = Node::start(settings)?;
    if let Some(peers) = &node.peers {
        println!("peers {}", peers.own().address);
        if let Some(address) = peers.listen_address() {
            println!("peers-bound {address}");
        }
    }
    if let Some(operators) = &operators {
        println!("operators {}", operators.address()?);
    }
    println!("listening {}", listener.address()?);
    let drain = node.drain.clone();
    tokio::select! {
        served = serve_all(&node, listener, operators) => served,
        () = signals.wait_for_second() => Err(Error::AbortedRequests {
            in_flight: drain.in_flight(),
        }),
    }
}

async fn serve_all(node: &Arc<Node>, callers: Listener, operators: Option<Listener>) -> Result<()> {
    let Some(operators) = operators else {
        return node.serve(callers).await;
    };
    let (callers, operators) = tokio::join!(node.serve(callers), node.serve_operators(operators));
    callers.and(operators)
}

/// Signals that request a shutdown.
struct Signals {
    streams: Vec<signal::unix::Signal>,
}

impl Signals {
    /// Registers the signal handlers.
    fn new() -> Self {
        let kinds = [
            signal::unix::SignalKind::interrupt(),
            signal::unix::SignalKind::terminate(),
        ];
        Self {
            streams: kinds
                .into_iter()
                .filter_map(|kind| signal::unix::signal(kind).ok())
                .collect(),
        }
    }

    /// Waits for the second signal: the first begins the graceful shutdown, the second stops the
    /// process immediately.
    async fn wait_for_second(mut self) {
        for _ in 0..2 {
            let next = self
                .streams
                .iter_mut()
                .map(|stream| Box::pin(stream.recv()));
            futures::future::select_all(next).await;
        }
    }
}
