//! An engine crashes for good, and its address goes to a worker of a plain service.

use crate::{
    caller,
    record::Record,
    router::{COBALT_TT, Place, Router, free_addresses},
    store::Store,
    worker::{Handler, Spec, Worker, record_run, write_events, write_sealed},
};
use std::{
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

const ZONES: [&str; 3] = ["z1", "z2", "z3"];

/// One of seven engines crashes: a share of 0.143.
const ENGINES: usize = 7;

/// Time after a crash from which on the address may be assigned again; `addr-reuse-s`.
const ADDRESS_REUSE: Duration = Duration::from_millis(2050);

/// Model requests come in waves, as from batch jobs: so many in a wave at each machine, at this interval.
const WAVE: u32 = 30;
const INTERVAL: Duration = Duration::from_millis(30);

/// Time from the start of a wave to the next.
const PERIOD: Duration = Duration::from_secs(9);

/// Number of waves after the first; an engine crashes before each.
const ROUNDS: usize = 4;

/// When the engine crashes before a wave.
const CRASH_BEFORE_WAVE: Duration = Duration::from_millis(2150);

/// Returns how many requests of the engines' routes a plain worker has run.
pub fn play(root: &Path, folder: &Path, record: &Record, trouble: bool) -> Result<u64, String> {
    let store = Store::new();
    store.put("op", "config", Some(caller::manifest()));
    let misrouted = Arc::new(AtomicU64::new(0));
    let mut engines = Vec::new();
    for n in 0..ENGINES {
        let spec = engine_spec(n);
        let handler = engine(&spec, record);
        engines.push(
            Worker::start(spec, local(), &store, record, handler).map_err(|e| e.to_string())?,
        );
    }
    let mut plain = Vec::new();
    for n in 0..3 {
        plain.push(start_plain(
            &format!("plain-{n}"),
            ZONES[n],
            local(),
            &store,
            record,
            &misrouted,
        )?);
    }
    let place = Place {
        root,
        folder,
        bounds: COBALT_TT,
    };
    let ips = free_addresses(2);
    let mut routers = Vec::new();
    for (n, ip) in ips.iter().enumerate() {
        let name = format!("vm-{n}");
        routers.push(Router::start(
            &place,
            &name,
            ZONES[n],
            *ip,
            &ips,
            store.serve(Vec::new()),
        ));
    }
    for router in &routers {
        if !router.wait_until_ready() {
            return Err(format!("{} is not ready in time", router.name));
        }
    }
    let start = Instant::now();
    let senders = routers.iter().map(|router| {
        let (address, name, record) = (router.callers(), router.name.clone(), record.clone());
        thread::spawn(move || send_waves(address, &name, &record, start))
    });
    let senders = senders.collect::<Vec<_>>();
    for round in 0..ROUNDS {
        let wave = start + PERIOD * u32::try_from(round + 1).unwrap();
        sleep_until(wave - CRASH_BEFORE_WAVE);
        if !trouble {
            continue;
        }
        let crashed = &engines[round];
        crashed.crash();
        record.line(format!(
            "engine-{round} has crashed for good; its address was {}",
            crashed.address
        ));
        thread::sleep(ADDRESS_REUSE);
        let id = format!("plain-new-{round}");
        plain.push(start_plain(
            &id,
            ZONES[round % 3],
            crashed.address,
            &store,
            record,
            &misrouted,
        )?);
        // Another engine takes its place, so that one in seven is lost at a time.
        let spec = engine_spec(ENGINES + round);
        let handler = engine(&spec, record);
        engines.push(
            Worker::start(spec, local(), &store, record, handler).map_err(|e| e.to_string())?,
        );
    }
    for sender in senders {
        let _ = sender.join();
    }
    Ok(misrouted.load(Ordering::SeqCst))
}

fn sleep_until(time: Instant) {
    thread::sleep(time.saturating_duration_since(Instant::now()));
}

fn engine_spec(n: usize) -> Spec {
    Spec {
        id: format!("engine-{n}"),
        service: "engines",
        zone: ZONES[n % 3],
        slots: 32,
        engine: true,
    }
}

fn local() -> std::net::SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

fn engine(spec: &Spec, record: &Record) -> Handler {
    let (id, record) = (spec.id.clone(), record.clone());
    Arc::new(move |req, stream| {
        record_run(&record, &id, "engines", req);
        write_events(
            stream,
            req,
            15,
            Duration::from_millis(100),
            Duration::from_millis(20),
        )
    })
}

fn start_plain(
    id: &str,
    zone: &'static str,
    address: std::net::SocketAddr,
    store: &Store,
    record: &Record,
    misrouted: &Arc<AtomicU64>,
) -> Result<Worker, String> {
    let spec = Spec {
        id: id.to_owned(),
        service: "plain",
        zone,
        slots: 6,
        engine: false,
    };
    let (id, handler_record, misrouted) = (id.to_owned(), record.clone(), misrouted.clone());
    let handler: Handler = Arc::new(move |req, stream| {
        record_run(&handler_record, &id, "plain", req);
        if req.target().starts_with("/stream/") {
            misrouted.fetch_add(1, Ordering::SeqCst);
            handler_record.line(format!(
                "BROKEN: {id} of plain has run {}, a request of a route to engines",
                req.target()
            ));
        }
        thread::sleep(Duration::from_millis(15));
        write_sealed(stream, req, b"done")
    });
    Worker::start(spec, address, store, record, handler).map_err(|e| e.to_string())
}

fn send_waves(router: std::net::SocketAddr, name: &str, record: &Record, start: Instant) {
    let mut calls = Vec::new();
    for wave in 0..=ROUNDS {
        sleep_until(start + PERIOD * u32::try_from(wave).unwrap());
        for n in 0..WAVE {
            for (kind, deadline) in [("stream", 25_000), ("once", 1000)] {
                let (record, attempt) = (record.clone(), format!("{name}-{kind}-{wave}-{n}"));
                calls.push(thread::spawn(move || {
                    let more = if kind == "stream" {
                        format!("Model: m\r\nToken-Usage: 300,15\r\nPrompt-Prefix: 5c1e07a2:200,{wave:04x}{n:04x}:100\r\n")
                    } else {
                        String::new()
                    };
                    let path = format!("/{kind}/{wave}-{n}");
                    let request = caller::request("POST", &path, &attempt, deadline, &more, &attempt);
                    record.line(format!("caller of {attempt} sends POST {path}"));
                    let result = caller::send(router, &request, Duration::from_millis(deadline));
                    record.line(format!("caller of {attempt} got {}", caller::outcome(&result)));
                }));
            }
            thread::sleep(INTERVAL);
        }
    }
    for call in calls {
        let _ = call.join();
    }
}
