//! Stand-in of a plain worker. It answers each request after its work, and stops at once when it is told to.

use crate::{
    http::{Message, Reader, listen},
    store::Store,
};
use serde_json::{Value, json};
use std::{
    io::Write,
    net::{Shutdown, SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

pub struct Worker {
    pub id: String,
    pub service: String,
    pub version: String,
    pub address: SocketAddr,
    pub slots: u32,
    pub runs: AtomicU64,
    stopped: AtomicBool,
    draining: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
    sequence: AtomicU64,
    /// Time and request of each answer, and whether it was bad.
    pub answers: Mutex<Vec<(Instant, String, bool)>>,
}

/// Answers a request; returns the bytes to write, and whether it counts as run.
pub type Answer = Box<dyn Fn(&Worker, &Message) -> Vec<u8> + Send + Sync>;

impl Worker {
    pub fn start(id: &str, service: &str, version: &str, answer: Answer) -> Arc<Self> {
        let (listener, address) = listen();
        let worker = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            version: version.to_owned(),
            address,
            slots: 6,
            runs: AtomicU64::new(0),
            stopped: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            streams: Mutex::default(),
            sequence: AtomicU64::new(0),
            answers: Mutex::default(),
        });
        let (server, answer) = (worker.clone(), Arc::new(answer));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if server.is_stopped() {
                    return;
                }
                if let Ok(copy) = stream.try_clone() {
                    server.streams.lock().unwrap().push(copy);
                }
                let (worker, answer) = (server.clone(), answer.clone());
                thread::spawn(move || worker.serve(stream, &answer));
            }
        });
        worker
    }

    pub fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::SeqCst)
    }

    /// Stops at once, without draining.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        // Wakes the listener, so that it closes.
        let _ = TcpStream::connect(self.address);
    }

    /// Records an answer.
    pub fn record_answer(&self, request: &Message, is_bad: bool) {
        let id = request.header("attempt-id").unwrap_or_default().to_owned();
        self.answers
            .lock()
            .unwrap()
            .push((Instant::now(), id, is_bad));
    }

    /// Number of requests that it has run.
    pub fn run_count(&self) -> u64 {
        self.runs.load(Ordering::SeqCst)
    }

    /// Reports from now on that it is draining.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
    }

    /// Its entry in the store.
    pub fn entry(&self) -> Value {
        let state = if self.draining.load(Ordering::SeqCst) {
            "draining"
        } else {
            "ready"
        };
        json!({
            "service": self.service, "address": self.address.to_string(), "zone": "hall-a", "version": self.version,
            "slots": self.slots, "state": state, "cold-remaining-ms": 0,
            "sequence": self.sequence.fetch_add(1, Ordering::SeqCst),
        })
    }

    fn serve(&self, stream: TcpStream, answer: &Answer) {
        let mut reader = Reader::new(stream);
        while let Ok(request) = reader.message(false) {
            let expected = request.header("expect-instance");
            let response = if expected.is_some_and(|id| id != self.id) {
                let id = &self.id;
                format!("HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {id}\r\nContent-Length: 0\r\n\r\n")
                    .into_bytes()
            } else if request.target() == "/health" {
                let id = &self.id;
                format!("HTTP/1.1 200 OK\r\nInstance-Id: {id}\r\nContent-Length: 0\r\n\r\n")
                    .into_bytes()
            } else {
                answer(self, &request)
            };
            if self.is_stopped() || reader.stream.write_all(&response).is_err() {
                return;
            }
        }
    }
}

/// A response with proof.
pub fn sealed(request: &Message, status: &str, body: &str) -> Vec<u8> {
    let id = request.header("attempt-id").unwrap_or_default();
    format!(
        "HTTP/1.1 {status}\r\nAttempt-Id: {id}\r\nResponse-Seal: seal.{id}\r\nServer-Load: 1,0,6\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// Writes the entries of workers to the store every heartbeat. The entry of one that has stopped is removed after three
/// heartbeats of silence.
pub fn keep_entries(store: &Arc<Store>, workers: &[Arc<Worker>]) {
    for worker in workers {
        store.put("servers", &worker.id, Some(&worker.entry()));
        let (store, worker) = (store.clone(), worker.clone());
        thread::spawn(move || {
            let heartbeat = Duration::from_millis(1200);
            let mut silent = 0;
            while silent < 3 {
                thread::sleep(heartbeat);
                if worker.is_stopped() {
                    silent += 1;
                } else {
                    store.put("servers", &worker.id, Some(&worker.entry()));
                }
            }
            store.put("servers", &worker.id, None);
        });
    }
}
