//! Streams run on model workers. All channels that are open to the workers fall silent at one moment, for good; new ones
//! work.

use review_standins_2::{
    http::{Message, Reader, call, listen},
    record::{Record, trouble},
    router::{Deployment, Router},
    store::{Fate, Store},
};
use serde_json::{Value, json};
use std::{
    collections::BTreeMap,
    io::{ErrorKind, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// `stable-window-ms` of the settings.
const STABLE_WINDOW: Duration = Duration::from_secs(4);

/// Time for which two workers may both work on a request that goes on.
const OVERLAP: Duration = Duration::from_millis(400);

/// Time to read the prompt, the number of events, and the time between two of them.
const PREFILL: Duration = Duration::from_secs(1);
const EVENTS: u64 = 150;
const EVENT_GAP: Duration = Duration::from_millis(60);

/// A run of a request on a worker.
#[derive(Clone)]
struct Run {
    worker: String,
    began: Instant,
    ended: Option<Instant>,
}

/// Runs by request.
type Runs = Arc<Mutex<BTreeMap<String, Vec<Run>>>>;

struct Engine {
    id: String,
    address: SocketAddr,
    /// Runs that it works on, each with the number of events so far; `None` for one that an order has stopped.
    running: Mutex<BTreeMap<String, Option<u64>>>,
    /// Channels that are open, each with whether it is silent.
    channels: Mutex<Vec<Arc<AtomicBool>>>,
    runs: Runs,
}

impl Engine {
    fn start(n: usize, runs: &Runs) -> Arc<Self> {
        let (listener, address) = listen();
        let engine = Arc::new(Self {
            id: format!("i-engine-{n}"),
            address,
            running: Mutex::default(),
            channels: Mutex::default(),
            runs: runs.clone(),
        });
        let server = engine.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let silent = Arc::new(AtomicBool::new(false));
                server.channels.lock().unwrap().push(silent.clone());
                let engine = server.clone();
                thread::spawn(move || engine.serve(Reader::new(stream), &silent));
            }
        });
        engine
    }

    /// Makes all channels that are open now silent.
    fn fall_silent(&self) {
        for silent in self.channels.lock().unwrap().drain(..) {
            silent.store(true, Ordering::SeqCst);
        }
    }

    fn entry(&self, sequence: u64) -> Value {
        json!({
            "service": "drafts", "address": self.address.to_string(), "zone": "hall-a", "version": "v1", "slots": 32,
            "state": "ready", "cold-remaining-ms": 0, "stage": "combined",
            "models": [{"name": "m", "version": 1, "adapters": []}], "sequence": sequence,
        })
    }

    fn serve(&self, mut reader: Reader, silent: &AtomicBool) {
        while let Ok(request) = reader.message(false) {
            if silent.load(Ordering::SeqCst) {
                // Nothing arrives on a silent channel.
                loop {
                    thread::sleep(Duration::from_secs(60));
                }
            }
            let expected = request.header("expect-instance");
            let instance = &self.id;
            if expected.is_some_and(|id| id != instance) {
                let head = "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: ";
                let _ = write!(
                    reader.stream,
                    "{head}{instance}\r\nContent-Length: 0\r\n\r\n"
                );
            } else if request.target() == "/v1/report" {
                let running = self.running.lock().unwrap();
                let runs = running.iter().filter_map(|(id, events)| {
                    Some(json!([id, 8200 + 6 * (*events)?, (*events)?, 1]))
                });
                let runs = runs.collect::<Vec<_>>();
                drop(running);
                let report = json!({
                    "stage": "combined", "models": [{"name": "m", "version": 1, "adapters": []}], "busy": false, "sequence": 0,
                    "queue-depth": 0, "in-flight": runs.len(), "kv-used": 41000, "kv-total": 500_000,
                    "handles": 0, "state": "ready", "runs": runs,
                });
                let report = report.to_string();
                let head = format!(
                    "HTTP/1.1 200 OK\r\nInstance-Id: {instance}\r\nContent-Type: application/json\r\n"
                );
                let _ = write!(
                    reader.stream,
                    "{head}Content-Length: {}\r\n\r\n{report}",
                    report.len()
                );
            } else if request.target() == "/v1/kv-move" {
                let status = self.move_run(&request.body);
                let _ = write!(
                    reader.stream,
                    "HTTP/1.1 {status}\r\nInstance-Id: {instance}\r\nContent-Length: 0\r\n\r\n"
                );
            } else if request.target() == "/health" {
                let _ = write!(
                    reader.stream,
                    "HTTP/1.1 200 OK\r\nInstance-Id: {instance}\r\nContent-Length: 0\r\n\r\n"
                );
            } else if !self.run(&request, &mut reader.stream, silent) {
                return;
            }
        }
    }

    /// Handles an order to move a run. There is no room at any destination; with `last`, the run stops first.
    fn move_run(&self, body: &[u8]) -> &'static str {
        let order = serde_json::from_slice::<Value>(body).unwrap_or_default();
        let mut running = self.running.lock().unwrap();
        let Some(run) = running.get_mut(order["id"].as_str().unwrap_or_default()) else {
            return "404 Not Found";
        };
        if order["last"] == true {
            *run = None;
        }
        "503 Service Unavailable"
    }

    /// Whether an order has stopped a run; otherwise records its events.
    fn is_stopped(&self, id: &str, events: u64) -> bool {
        let mut running = self.running.lock().unwrap();
        match running.get_mut(id) {
            Some(Some(made)) => {
                *made = events;
                false
            }
            _ => true,
        }
    }

    /// Runs a stream; returns whether its channel is still open. A worker stops when its channel closes, which it cannot
    /// see on a silent one.
    fn run(&self, request: &Message, stream: &mut TcpStream, silent: &AtomicBool) -> bool {
        let id = request.header("attempt-id").unwrap_or_default().to_owned();
        let last = request
            .header("last-event-id")
            .and_then(|last| last.parse::<u64>().ok());
        self.running.lock().unwrap().insert(id.clone(), Some(0));
        let run = Run {
            worker: self.id.clone(),
            began: Instant::now(),
            ended: None,
        };
        let mut runs = self.runs.lock().unwrap();
        let of_request = runs.entry(id.clone()).or_default();
        let index = of_request.len();
        of_request.push(run);
        drop(runs);
        let is_open = self.generate(&id, last.unwrap_or(0), stream, silent);
        self.runs.lock().unwrap().get_mut(&id).unwrap()[index].ended = Some(Instant::now());
        self.running.lock().unwrap().remove(&id);
        is_open
    }

    fn generate(&self, id: &str, last: u64, stream: &mut TcpStream, silent: &AtomicBool) -> bool {
        let steps = PREFILL.as_millis() / 20;
        for _ in 0..steps {
            thread::sleep(Duration::from_millis(20));
            if self.is_stopped(id, 0) || (!silent.load(Ordering::SeqCst) && is_closed(stream)) {
                return false;
            }
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Seal: seal.{id}\r\nContent-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        );
        let mut next = head;
        for event in last + 1..=EVENTS {
            if self.is_stopped(id, event) {
                return false;
            }
            let text = format!("id: {event}\ndata: word {event} of {id}\n\n");
            next += &format!("{:x}\r\n{text}\r\n", text.len());
            if event == EVENTS {
                next += "0\r\n\r\n";
            }
            if !silent.load(Ordering::SeqCst)
                && (is_closed(stream) || stream.write_all(next.as_bytes()).is_err())
            {
                return false;
            }
            next.clear();
            thread::sleep(EVENT_GAP);
        }
        !silent.load(Ordering::SeqCst)
    }
}

/// Whether the other end has closed a channel.
fn is_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(count) => count == 0,
        Err(error) => error.kind() != ErrorKind::WouldBlock,
    }
}

fn manifest() -> Value {
    json!({
        "version": 1,
        "routes": [{
            "name": "draft", "host": "shop.example", "prefix": "/draft/", "route-type": "streaming", "resumable": true,
            "sticky-sessions": true, "timeout-ms": 25000, "target-latency-ms": 4500, "priority": 1, "service": "drafts",
            "max-attempts": 5, "gap-target-ms": 700,
        }],
        "services": [{
            "name": "drafts", "health-path": "/health", "max-connections": 490,
            "engine": {"slots": 32, "kv-capacity": 500_000, "backups": false, "moves": true},
        }],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 2000, "idle-timeout-ms": 15000},
        "tenants": [{"name": "t1", "api-keys": ["key-1"], "priority": 1}],
    })
}

fn main() {
    let record = Arc::new(Record::create());
    let began = Instant::now();
    let store = Store::start(|_| Fate::Answer, |_, _, _| {});
    store.put("op", "config", Some(&manifest()));
    let runs = Runs::default();
    let engines = (0..3).map(|n| Engine::start(n, &runs)).collect::<Vec<_>>();
    for engine in &engines {
        store.put("servers", &engine.id, Some(&engine.entry(0)));
        let (store, engine) = (store.clone(), engine.clone());
        thread::spawn(move || {
            for sequence in 1.. {
                thread::sleep(Duration::from_millis(1200));
                store.put("servers", &engine.id, Some(&engine.entry(sequence)));
            }
        });
    }
    let contracts = &[
        "base", "drain", "config", "retry", "recover", "engine", "stream", "tenants", "platform",
    ];
    let deployment = Deployment::new(store.address, 3, contracts);
    let routers = (0..3).map(|n| deployment.start(n)).collect::<Vec<Router>>();
    if !routers.iter().all(Router::wait_until_ready) {
        record.say("the routers are not ready");
        std::process::exit(2);
    }
    record.say("the routers are ready");
    let fronts = routers
        .iter()
        .map(|router| router.front)
        .collect::<Vec<_>>();
    let answers = Arc::new(Mutex::new(BTreeMap::<String, String>::new()));
    {
        let (record, answers) = (record.clone(), answers.clone());
        thread::spawn(move || {
            for number in 0_usize..180 {
                let (record, answers, front) = (
                    record.clone(),
                    answers.clone(),
                    fronts[number % fronts.len()],
                );
                thread::spawn(move || send(number, front, &record, &answers));
                thread::sleep(Duration::from_millis(200));
            }
        });
    }
    thread::sleep(Duration::from_secs(20));
    let silent_at = Instant::now();
    if trouble() {
        for engine in &engines {
            engine.fall_silent();
        }
        record.say("all open channels to workers are silent from now on");
    }
    thread::sleep(Duration::from_secs(45));

    let at = |time: Instant| time.duration_since(began).as_secs_f64();
    let runs = runs.lock().unwrap();
    let mut broken = 0;
    for (id, runs) in runs.iter() {
        for run in runs {
            let ended = run.ended.map_or(f64::INFINITY, at);
            record.line(&format!(
                "worker {}: request {id} from {:.3} to {ended:.3}",
                run.worker,
                at(run.began)
            ));
        }
        for (before, after) in runs.iter().zip(runs.iter().skip(1)) {
            let still_works = before
                .ended
                .is_none_or(|ended| ended > after.began + OVERLAP);
            let in_touch = after.began > silent_at + STABLE_WINDOW;
            if still_works && before.worker != after.worker && in_touch {
                broken += 1;
                let (sent, since) = (
                    at(after.began),
                    after.began.duration_since(silent_at).as_secs_f64(),
                );
                record.say(&format!(
                    "TWICE: request {id} goes on at {} at {sent:.3}, {since:.3} s after the channels fell silent, while {} works on it until {:.3}",
                    after.worker, before.worker, before.ended.map_or(f64::INFINITY, at)
                ));
            }
        }
    }
    let answers = answers.lock().unwrap();
    let complete = answers
        .values()
        .filter(|answer| *answer == "complete")
        .count();
    record.say(&format!("{} requests, {complete} complete", answers.len()));
    record.say(if broken > 0 {
        "TWICE broken"
    } else {
        "TWICE held"
    });
    drop(routers);
    std::process::exit(i32::from(broken > 0));
}

fn send(
    number: usize,
    front: SocketAddr,
    record: &Record,
    answers: &Mutex<BTreeMap<String, String>>,
) {
    let id = format!("{number:016x}");
    let request = format!(
        "POST /draft/{number} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {id}\r\nModel: m\r\nToken-Usage: 8200,900\r\n\
         Prompt-Prefix: 5c1e07a2:200,{number:08x}:8000\r\nDeadline-Ms: 25000\r\nCredential: key-1\r\nConnection: close\r\n\
         Content-Length: 2\r\n\r\nhi"
    );
    let answer = match call(front, &request, Duration::from_secs(20)) {
        Ok(answer) => {
            let text = String::from_utf8_lossy(&answer.body).into_owned();
            let whole =
                (1..=EVENTS).map(|event| format!("id: {event}\ndata: word {event} of {id}\n\n"));
            match answer.status() {
                200 if text == whole.collect::<String>() => "complete".to_owned(),
                status => format!("{status}, not the whole stream"),
            }
        }
        Err(error) => format!("{:?}", error.kind()),
    };
    record.line(&format!("client: request {id}: {answer}"));
    answers.lock().unwrap().insert(id, answer);
}
