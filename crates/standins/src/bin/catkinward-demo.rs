//! Demonstrates that a generation survives the death of its engine, with two mock engines and a
//! router in one process. With `--serve` it only serves until it is interrupted.

use catkin_border::{bundle::RecoveryPolicy, caller::CompletionRequest};
use catkin_standins::{
    Answer, CallerClient, DEMO_KEY, EngineServer, EngineSettings, TokenChain, demo_bundle,
};
use catkinward::{Node, Settings, http_server::Listener, start_logging};
use std::{error::Error, net::SocketAddr, num::NonZeroU32, time::Duration};

const TOKENS: u32 = 200;
const KILL_AFTER: usize = 80;
const SEED: u64 = 7;
const PROMPT: &str = "Two thousand leaflets for the Leith takeaway, folded, by Friday";

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    start_logging("error");
    let mut engines = Vec::new();
    for seed in 1..=2 {
        let settings = EngineSettings {
            seed,
            ..EngineSettings::default()
        };
        engines.push(EngineServer::start(free_address(), settings).await?);
    }
    let router = start_router(&engines).await?;
    println!("router on {router}, engines on {}", addresses(&engines));
    if std::env::args().any(|arg| arg == "--serve") {
        println!("bearer key `{DEMO_KEY}`, model `ticket-model`; press Ctrl-C to stop");
        return Ok(tokio::signal::ctrl_c().await?);
    }
    let answer = generate(router, &engines).await?;
    print_summary(&answer)
}

fn free_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn addresses(engines: &[EngineServer]) -> String {
    let addresses = engines.iter().map(|engine| engine.address().to_string());
    addresses.collect::<Vec<_>>().join(" and ")
}

async fn start_router(engines: &[EngineServer]) -> Result<SocketAddr, Box<dyn Error>> {
    let engines = engines.iter().map(EngineServer::address);
    let bundle = demo_bundle(&engines.collect::<Vec<_>>(), RecoveryPolicy::LeastWait);
    let listener = Listener::bind(free_address()).await?;
    let address = listener.address()?;
    let node = Node::start(Settings::default())?;
    node.activate_bundle(1, &serde_json::to_string(&bundle)?)?;
    tokio::spawn(async move { node.serve(listener).await });
    Ok(address)
}

async fn generate(router: SocketAddr, engines: &[EngineServer]) -> Result<Answer, Box<dyn Error>> {
    let caller = CallerClient::new(router, DEMO_KEY)?;
    let request = CompletionRequest {
        max_tokens: NonZeroU32::new(TOKENS).ok_or("TOKENS must not be zero")?,
        model: "ticket-model".to_owned(),
        prompt: PROMPT.to_owned(),
        seed: Some(SEED),
        stop: Vec::new(),
        stream: true,
        temperature: None,
    };
    let mut answer = Answer::default();
    let mut killed = false;
    let kill_busiest = |answer: &Answer| {
        if killed || answer.ids.len() < KILL_AFTER {
            return;
        }
        killed = true;
        if let Some(busiest) = engines.iter().max_by_key(|engine| engine.token_counts().0) {
            println!(
                "{} tokens received; killing {}",
                answer.ids.len(),
                busiest.address()
            );
            busiest.kill();
        }
    };
    caller
        .stream(&request, None, &mut answer, kill_busiest)
        .await?;
    Ok(answer)
}

fn print_summary(answer: &Answer) -> Result<(), Box<dyn Error>> {
    let chain = TokenChain::new("catkin", "1", PROMPT, SEED);
    answer.check(chain, usize::try_from(TOKENS)?)?;
    let attempts = answer.usage.as_ref().map_or(0, |usage| usage.attempts);
    println!(
        "complete answer: {} tokens in {attempts} attempts, none missing, none repeated; \
         longest gap between two tokens {} ms",
        answer.ids.len(),
        answer
            .longest_gap()
            .max(Duration::from_millis(1))
            .as_millis(),
    );
    Ok(())
}
