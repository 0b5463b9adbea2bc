//! Crowds of callers at the product's own interface that send large bodies and stop short of their end. The process lives
//! within its memory and answers ordinary callers.

use catkin_border::bundle::{
    Bundle, PathRule, RecoveryPolicy, ServiceEntry, ServiceKind, UpstreamEntry,
};
use catkin_standins::{
    DEMO_KEY, EngineServer, EngineSettings, PlainServer, PlainSettings, demo_bundle,
};
use googletest::prelude::*;
use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    process::{Child, Command, Stdio},
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::Mutex,
    task::JoinSet,
};

/// Memory of the smallest VM, in megabytes.
const MEMORY: u64 = 120;

/// Descriptors that the process may have open.
const MAX_DESCRIPTORS: u64 = 400;

/// Callers of a crowd: with bodies of the largest legal size, they send twice the memory of the VM.
const CROWD: usize = 60;

/// Largest legal body, in bytes.
const MAX_BODY: usize = 4 << 20;

/// Maximum wait for any condition; far more than is needed on a busy machine.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

const COMPLETIONS: &str = "/v1/completions";
const ORDERS: &str = "/v1/services/shopfront/orders";

/// One test at a time: each measures what its own crowd costs.
static ALONE: Mutex<()> = Mutex::const_new(());

/// A running process with one upstream of each kind.
struct Process {
    address: SocketAddr,
    child: Child,
    _folder: tempfile::TempDir,
}

impl Process {
    fn start(engine: &EngineServer, plain: &PlainServer) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let bundle = folder.path().join("bundle.json");
        let text = serde_json::to_string(&bundle_of(engine.address(), plain.address())).unwrap();
        std::fs::write(&bundle, text).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_catkinward"))
            .args(["--listen", "127.0.0.1:0", "--log", "error", "--bundle-file"])
            .arg(&bundle)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let lines = BufReader::new(child.stdout.take().unwrap()).lines();
        let address = lines.map_while(std::io::Result::ok).find_map(|line| {
            let address = line.strip_prefix("listening ")?;
            address.parse().ok()
        });
        Self {
            address: address.expect("the process listens"),
            child,
            _folder: folder,
        }
    }

    fn peak_memory(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kilobytes = line.and_then(|line| line.trim().strip_suffix(" kB"));
        kilobytes.unwrap().parse::<u64>().unwrap() / 1024
    }

    fn open_descriptors(&self) -> u64 {
        let open = std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap();
        open.count().try_into().unwrap()
    }

    fn expect_within_limits(&mut self) {
        expect_that!(self.child.try_wait().unwrap(), none());
        expect_that!(self.peak_memory(), le(MEMORY));
        expect_that!(self.open_descriptors(), le(MAX_DESCRIPTORS));
    }

    async fn expect_answer(&self) {
        let request = head(
            ORDERS,
            &format!("{}Connection: close\r\n", content_length(4)),
        );
        let mut stream = TcpStream::connect(self.address).await.unwrap();
        stream
            .write_all(format!("{request}menu").as_bytes())
            .await
            .unwrap();
        let mut response = String::new();
        let read = stream.read_to_string(&mut response);
        let read = tokio::time::timeout(WAIT_TIMEOUT, read).await;
        read.expect("a response in time").unwrap();
        expect_that!(response, starts_with("HTTP/1.1 200"));
    }

    /// Sends the same from all callers of a crowd at the same time, and returns their open connections.
    async fn crowd(&self, path: &'static str, framing: &str, body: &[u8]) -> Vec<TcpStream> {
        let mut senders = JoinSet::new();
        for _ in 0..CROWD {
            let mut bytes = head(path, framing).into_bytes();
            bytes.extend_from_slice(body);
            let address = self.address;
            senders.spawn(async move {
                let mut stream = TcpStream::connect(address).await.ok()?;
                // The process may refuse the request, leave it unread or close the connection at any time.
                let _ = tokio::time::timeout(WAIT_TIMEOUT, stream.write_all(&bytes)).await;
                Some(stream)
            });
        }
        senders.join_all().await.into_iter().flatten().collect()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn bundle_of(engine: SocketAddr, plain: SocketAddr) -> Bundle {
    let mut bundle = demo_bundle(&[engine], RecoveryPolicy::LeastWait);
    bundle.services.push(ServiceEntry {
        deadline_ms: None,
        kind: ServiceKind::Plain,
        model: None,
        name: "shopfront".to_owned(),
        paths: vec![PathRule {
            idempotent: false,
            method: "POST".to_owned(),
            prefix: "/orders".to_owned(),
        }],
        recovery: None,
        teams: Vec::new(),
    });
    bundle.upstreams.push(UpstreamEntry {
        address: plain.to_string(),
        availability_zone: "zone-1".to_owned(),
        checks_orderer: false,
        enforces_fencing: false,
        id: "plain-1".to_owned(),
        services: vec!["shopfront".to_owned()],
    });
    bundle
}

fn head(path: &str, framing: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Bearer {DEMO_KEY}\r\n{framing}\r\n"
    )
}

fn content_length(bytes: usize) -> String {
    format!("Content-Length: {bytes}\r\n")
}

/// Expects that the process bears a crowd, and that an ordinary caller is answered beside it and after it.
async fn expect_crowd_is_borne(path: &'static str, framing: &str, body: &[u8]) {
    let _alone = ALONE.lock().await;
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let plain = PlainServer::start(any, PlainSettings::default());
    let slow = EngineSettings {
        step: WAIT_TIMEOUT,
        ..EngineSettings::default()
    };
    let engine = EngineServer::start(any, slow).await.unwrap();
    let mut process = Process::start(&engine, &plain.await.unwrap());

    let crowd = process.crowd(path, framing, body).await;

    expect_that!(crowd.len(), eq(CROWD));
    process.expect_answer().await;
    process.expect_within_limits();
    drop(crowd);
    process.expect_answer().await;
    process.expect_within_limits();
}

/// Guards against a process whose memory is used up by bodies that lack their last byte, at each path that reads bodies.
#[gtest]
#[tokio::test]
async fn bodies_short_of_their_end_are_borne() {
    for path in [COMPLETIONS, ORDERS] {
        let body = vec![b'x'; MAX_BODY - 1];

        expect_crowd_is_borne(path, &content_length(MAX_BODY), &body).await;
    }
}

/// Guards against a process whose memory is used up by chunks that do not end.
#[gtest]
#[tokio::test]
async fn chunks_without_end_are_borne() {
    let mut chunk = format!("{MAX_BODY:x}\r\n").into_bytes();
    chunk.resize(chunk.len() + MAX_BODY - 1, b'x');
    for path in [COMPLETIONS, ORDERS] {
        expect_crowd_is_borne(path, "Transfer-Encoding: chunked\r\n", &chunk).await;
    }
}

/// Guards against a process whose memory is used up by the prompts of generations that wait for their engine.
#[gtest]
#[tokio::test]
async fn prompts_at_a_slow_engine_are_borne() {
    let prompt = "x".repeat(MAX_BODY - 100);
    let body = format!(r#"{{"model":"ticket-model","stream":true,"prompt":"{prompt}"}}"#);

    expect_crowd_is_borne(COMPLETIONS, &content_length(body.len()), body.as_bytes()).await;
}
