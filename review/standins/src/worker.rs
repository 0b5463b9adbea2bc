//! Stand-ins of workers: model engines and plain services, as the pages describe them.

use crate::{
    http::{Connection, Message},
    record::Record,
    socket::reset,
    store::Store,
};
use std::{
    io::{self, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Interval at which a worker writes its entry; `heartbeat-ms` of the settings.
const HEARTBEAT: Duration = Duration::from_millis(1200);

/// Silence after which the store drops an entry.
const EXPIRY: Duration = Duration::from_millis(3 * 1200);

/// How a worker answers a request that it runs. Returns whether the connection is kept.
pub type Handler = Arc<dyn Fn(&Message, &mut TcpStream) -> io::Result<bool> + Send + Sync>;

/// What a worker says of itself.
#[derive(Clone)]
pub struct Spec {
    pub id: String,
    pub service: &'static str,
    pub zone: &'static str,
    pub slots: u32,
    pub engine: bool,
}

/// A running worker.
pub struct Worker {
    pub address: SocketAddr,
    spec: Spec,
    state: Arc<State>,
}

struct State {
    ended: AtomicBool,
    leaving: AtomicBool,
    in_flight: AtomicU64,
    connections: Mutex<Vec<TcpStream>>,
    beat: Mutex<()>,
}

impl Worker {
    /// Starts a worker that registers itself in the store.
    pub fn start(
        spec: Spec,
        address: SocketAddr,
        store: &Store,
        record: &Record,
        handler: Handler,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let state = Arc::new(State {
            ended: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            in_flight: AtomicU64::new(0),
            connections: Mutex::default(),
            beat: Mutex::default(),
        });
        record.line(format!(
            "worker {} of {} starts at {address}",
            spec.id, spec.service
        ));
        let (accepting, accepting_spec, accepting_record) =
            (state.clone(), spec.clone(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.ended.load(Ordering::SeqCst) {
                    return;
                }
                if let Ok(clone) = stream.try_clone() {
                    accepting.connections.lock().unwrap().push(clone);
                }
                let (state, spec, record, handler) = (
                    accepting.clone(),
                    accepting_spec.clone(),
                    accepting_record.clone(),
                    handler.clone(),
                );
                thread::spawn(move || serve(stream, &state, &spec, &record, &handler));
            }
        });
        let worker = Self {
            address,
            spec,
            state,
        };
        worker.beat(store);
        Ok(worker)
    }

    /// Writes the entry, and then again at each interval, until the worker ends; the store drops it later.
    fn beat(&self, store: &Store) {
        let (spec, address, state, store) = (
            self.spec.clone(),
            self.address,
            self.state.clone(),
            store.clone(),
        );
        let write = move |sequence: u64, state: &State, store: &Store| {
            let _guard = state.beat.lock().unwrap();
            if state.ended.load(Ordering::SeqCst) {
                return false;
            }
            let phase = if state.leaving.load(Ordering::SeqCst) {
                "draining"
            } else {
                "ready"
            };
            store.put(
                "servers",
                &spec.id,
                Some(entry(&spec, address, phase, sequence)),
            );
            true
        };
        write(1, &state, &store);
        let id = self.spec.id.clone();
        thread::spawn(move || {
            let mut last = Instant::now();
            for sequence in 2.. {
                thread::sleep(HEARTBEAT);
                if !write(sequence, &state, &store) {
                    break;
                }
                last = Instant::now();
            }
            thread::sleep(EXPIRY.saturating_sub(last.elapsed()));
            store.put("servers", &id, None);
        });
    }

    /// Crashes for good: the listener and all connections close.
    pub fn crash(&self) {
        {
            let _guard = self.state.beat.lock().unwrap();
            self.state.ended.store(true, Ordering::SeqCst);
        }
        for connection in self.state.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        // Wakes the listener, which then closes.
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_secs(1));
    }
}

fn entry(spec: &Spec, address: SocketAddr, phase: &str, sequence: u64) -> String {
    let Spec {
        service,
        zone,
        slots,
        engine,
        ..
    } = spec;
    let more = if *engine {
        ",\"stage\":\"combined\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}]"
    } else {
        ""
    };
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":{slots},\
         \"state\":\"{phase}\",\"cold-remaining-ms\":0{more},\"sequence\":{sequence}}}"
    )
}

fn serve(stream: TcpStream, state: &State, spec: &Spec, record: &Record, handler: &Handler) {
    let mut connection = Connection::new(stream);
    while let Ok(Some(req)) = connection.request() {
        if state.ended.load(Ordering::SeqCst) {
            return;
        }
        let keep = respond(&req, &mut connection.stream, state, spec, record, handler);
        if !keep.unwrap_or(false) {
            return;
        }
    }
}

fn respond(
    req: &Message,
    stream: &mut TcpStream,
    state: &State,
    spec: &Spec,
    record: &Record,
    handler: &Handler,
) -> io::Result<bool> {
    let running = state.in_flight.load(Ordering::SeqCst);
    if req.method() == "GET" && req.target() == "/v1/report" && spec.engine {
        let body = format!(
            "{{\"stage\":\"combined\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"busy\":false,\
             \"sequence\":0,\"queue-depth\":0,\"in-flight\":{running},\"kv-used\":{},\"kv-total\":90000,\"handles\":0}}",
            running * 1000
        );
        return write_json(stream, "200 OK", "", &body);
    }
    if req.method() == "GET" && req.target() == "/health" {
        let headers = format!(
            "Instance-Id: {}\r\nServer-Load: {running},0,{}\r\n",
            spec.id, spec.slots
        );
        return write_json(stream, "200 OK", &headers, "{}");
    }
    let Some(attempt) = req.header("attempt-id") else {
        record.line(format!(
            "{} answers 400 to {} (no Attempt-Id)",
            spec.id, req.start
        ));
        return write_json(
            stream,
            "400 Bad Request",
            "Not-Executed: 1\r\n",
            "{\"error\":\"no Attempt-Id\"}",
        );
    };
    if req
        .header("expect-instance")
        .is_some_and(|expected| expected != spec.id)
    {
        record.line(format!(
            "{} answers 421 to {attempt} for another instance",
            spec.id
        ));
        let headers = format!("Attempt-Id: {attempt}\r\nInstance-Id: {}\r\n", spec.id);
        return write_json(stream, "421 Misdirected Request", &headers, "{}");
    }
    if state.in_flight.fetch_add(1, Ordering::SeqCst) >= u64::from(spec.slots) {
        state.in_flight.fetch_sub(1, Ordering::SeqCst);
        let headers = format!("Attempt-Id: {attempt}\r\nNot-Executed: 1\r\n");
        return write_json(stream, "503 Service Unavailable", &headers, "{}");
    }
    let kept = handler(req, stream);
    state.in_flight.fetch_sub(1, Ordering::SeqCst);
    kept
}

/// Records that a worker begins to run a request.
pub fn record_run(record: &Record, id: &str, service: &str, req: &Message) {
    let attempt = req.header("attempt-id").unwrap_or("-");
    record.line(format!(
        "{id} of {service} RUNS {} {} {attempt}",
        req.method(),
        req.target()
    ));
}

pub fn write_json(
    stream: &mut TcpStream,
    status: &str,
    headers: &str,
    body: &str,
) -> io::Result<bool> {
    let head = format!(
        "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n{headers}\r\n",
        body.len()
    );
    stream.write_all((head + body).as_bytes())?;
    Ok(true)
}

/// Writes a complete, sealed answer.
pub fn write_sealed(stream: &mut TcpStream, req: &Message, body: &[u8]) -> io::Result<bool> {
    let attempt = req.header("attempt-id").unwrap_or_default();
    let head = format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Seal: seal.{attempt}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes())?;
    stream.write_all(body)?;
    Ok(true)
}

/// Writes a sealed answer without a length, in two halves, and ends the connection; or resets it after the first half.
pub fn write_until_close(
    stream: &mut TcpStream,
    req: &Message,
    body: &[u8],
    pause: Duration,
    breaks_off: bool,
) -> io::Result<bool> {
    let attempt = req.header("attempt-id").unwrap_or_default();
    let head = format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Seal: seal.{attempt}\r\nConnection: close\r\n\r\n"
    );
    let (first, second) = body.split_at(body.len() / 2);
    stream.write_all(head.as_bytes())?;
    stream.write_all(first)?;
    thread::sleep(pause);
    if breaks_off {
        reset(stream)?;
        return Ok(false);
    }
    stream.write_all(second)?;
    stream.shutdown(Shutdown::Write)?;
    Ok(false)
}

/// Streams events with a length for each part, from the one after `Last-Event-Id`.
pub fn write_events(
    stream: &mut TcpStream,
    req: &Message,
    last: u64,
    first_after: Duration,
    gap: Duration,
) -> io::Result<bool> {
    let attempt = req.header("attempt-id").unwrap_or_default();
    let had = req
        .header("last-event-id")
        .and_then(|id| id.parse().ok())
        .unwrap_or(0);
    thread::sleep(first_after);
    let head = format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Seal: seal.{attempt}\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    for id in had + 1..=last {
        let event = format!("id: {id}\ndata: piece {id} of {attempt}\n\n");
        stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        thread::sleep(gap);
    }
    stream.write_all(b"0\r\n\r\n")?;
    Ok(true)
}
