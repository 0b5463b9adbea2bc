//! A plain service with a route for each kind of request, its clients, and workers of several versions.

use crate::{
    http::{Message, call},
    record::Record,
    worker::{Worker, sealed},
};
use serde_json::{Value, json};
use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

pub const CONTRACTS: &[&str] = &[
    "base", "drain", "config", "retry", "recover", "rollout", "tenants", "platform",
];

pub fn manifest(version: u64) -> Value {
    let route = |name: &str, kind: &str| {
        json!({
            "name": name, "host": "shop.example", "prefix": format!("/{name}/"), "route-type": kind,
            "timeout-ms": 1500, "target-latency-ms": 150, "priority": 2, "service": "shopfront",
            "max-attempts": if kind == "idempotent" { 3 } else { 1 },
        })
    };
    json!({
        "version": version,
        "routes": [route("check", "idempotent"), route("status", "non_idempotent")],
        "services": [{"name": "shopfront", "health-path": "/health"}],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 2000, "idle-timeout-ms": 15000},
        "tenants": [{"name": "t1", "api-keys": ["key-1"], "priority": 1}],
    })
}

#[derive(Default)]
pub struct Requests {
    /// When each was sent, and whether it was served.
    all: Mutex<Vec<(Duration, bool)>>,
    next: AtomicU64,
    stopped: AtomicBool,
}

/// `recovery-s` of the settings.
pub const RECOVERY: Duration = Duration::from_secs(15);

/// Work for a request.
pub const WORK: Duration = Duration::from_millis(15);

/// How a version answers a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Quality {
    Good,
    Fails,
    /// So many times slower.
    Slow(u32),
}

/// Three workers of a version. `quality` tells how the worker answers its request with this number.
pub fn start_workers(
    version: &str,
    quality: impl Fn(u64) -> Quality + Clone + Send + Sync + 'static,
) -> Vec<Arc<Worker>> {
    let start = |n| {
        let quality = quality.clone();
        let answer = Box::new(move |worker: &Worker, request: &Message| {
            let number = worker.runs.fetch_add(1, Ordering::SeqCst);
            let quality = quality(number);
            thread::sleep(if let Quality::Slow(times) = quality {
                WORK * times
            } else {
                WORK
            });
            let status = if quality == Quality::Fails {
                "500 Internal Server Error"
            } else {
                "200 OK"
            };
            worker.record_answer(request, quality != Quality::Good);
            sealed(request, status, &worker.version)
        });
        Worker::start(&format!("i-{version}-{n}"), "shopfront", version, answer)
    };
    (0..3).map(start).collect()
}

impl Requests {
    /// Ends the clients, and waits for the requests that they have sent.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        thread::sleep(Duration::from_secs(2));
    }

    /// Whether RECOVER is broken: a quarter or more of the requests before `fault_at` were served, and less than a
    /// quarter of those that were sent after `recovered_at`.
    pub fn breaks_recover(
        &self,
        fault_at: Duration,
        recovered_at: Duration,
        record: &Record,
    ) -> bool {
        let all = self.all.lock().unwrap();
        let share = |from: Duration, to: Duration| {
            let sent = all.iter().filter(|(at, _)| *at >= from && *at < to);
            (
                sent.clone().filter(|(_, served)| *served).count(),
                sent.count(),
            )
        };
        let (before, after) = (
            share(Duration::ZERO, fault_at),
            share(recovered_at, Duration::MAX),
        );
        record.say(&format!(
            "before the final fault {} of {} requests were served",
            before.0, before.1
        ));
        record.say(&format!(
            "of the requests sent later than recovery-s after the machines were back, {} of {} were served",
            after.0, after.1
        ));
        let broken = 4 * before.0 >= before.1 && 4 * after.0 < after.1;
        record.say(if broken {
            "RECOVER broken"
        } else {
            "RECOVER held"
        });
        broken
    }
}

/// Starts clients that send a request every 10 ms, whatever becomes of earlier ones.
pub fn start_clients(record: &Arc<Record>, fronts: Vec<SocketAddr>) -> Arc<Requests> {
    let requests = Arc::new(Requests::default());
    let (record, all) = (record.clone(), requests.clone());
    thread::spawn(move || {
        while !all.stopped.load(Ordering::SeqCst) {
            let (all, fronts, record) = (all.clone(), fronts.clone(), record.clone());
            thread::spawn(move || send_request(&all, &fronts, &record));
            thread::sleep(Duration::from_millis(10));
        }
    });
    requests
}

/// Sends a request. It is tried at most twice: again at another router if it was refused.
fn send_request(requests: &Requests, fronts: &[SocketAddr], record: &Record) {
    let number = requests.next.fetch_add(1, Ordering::SeqCst);
    let route = if number.is_multiple_of(2) {
        "check"
    } else {
        "status"
    };
    let deadline = Duration::from_millis(1500);
    let sent = record.elapsed();
    let time_left = || deadline.saturating_sub(record.elapsed() - sent);
    let mut outcome = String::new();
    let mut served = false;
    for attempt in 0..2 {
        let left = time_left();
        if left.is_zero() {
            break;
        }
        let request = format!(
            "POST /{route}/{number} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {}\r\nDeadline-Ms: {}\r\n\
             Credential: key-1\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi",
            attempt_id(number, attempt, sent),
            left.as_millis()
        );
        let front = fronts[(usize::try_from(number).unwrap() + attempt) % fronts.len()];
        let answer = call(front, &request, left);
        outcome += &match &answer {
            Ok(answer) => format!(" {}", answer.status()),
            Err(error) => format!(" {:?}", error.kind()),
        };
        let Ok(answer) = answer else { continue };
        served = answer.status() == 200 && answer.header("response-seal").is_some();
        if answer.status() != 503 {
            break;
        }
        let wait = answer
            .header("retry-after")
            .and_then(|text| text.parse::<f64>().ok());
        thread::sleep(Duration::from_secs_f64(
            wait.unwrap_or(0.0).min(time_left().as_secs_f64() / 3.0),
        ));
    }
    record.line(&format!(
        "client: request {number} on {route}, sent at {:.3}:{outcome}",
        sent.as_secs_f64()
    ));
    requests.all.lock().unwrap().push((sent, served));
}

/// Id of an attempt. It contains when the request was sent, in milliseconds.
fn attempt_id(number: u64, attempt: usize, sent: Duration) -> String {
    format!("r{number}-{attempt}-{}", sent.as_millis())
}
