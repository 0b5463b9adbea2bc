//! A machine loses its path to a worker and reaches it through another machine, while channels are reset.

use crate::{
    caller,
    proxy::Proxy,
    record::Record,
    router::{COBALT_TT, Place, Router, free_addresses},
    store::Store,
    worker::{Handler, Spec, Worker, record_run, write_sealed, write_until_close},
};
use std::{
    net::SocketAddr,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

const ZONES: [&str; 3] = ["z1", "z2", "z3"];

/// Four machines, of which one loses its path to one of five workers: shares of 0.25 and 0.2.
const MACHINES: usize = 4;
const WORKERS: usize = 5;

/// The worker whose path is cut answers without a length, and takes this time between the halves of its answer.
const PAUSE: Duration = Duration::from_millis(1200);

/// The other workers run one request at a time, which takes this time, and turn others away as full.
const WORK: Duration = Duration::from_millis(1500);

/// Channels of that worker are reset at this interval: this share of them.
const RESET_INTERVAL: Duration = Duration::from_secs(4);
const RESET_SHARE: f64 = 0.55;

/// How long callers send, and at which interval.
const LENGTH: Duration = Duration::from_secs(24);
const INTERVAL: Duration = Duration::from_millis(100);

const BODY: &[u8] = b"first half of the answer, second half of the answer";

/// Returns how many callers got a part of the worker's body as a complete answer.
pub fn play(root: &Path, folder: &Path, record: &Record, trouble: bool) -> Result<u64, String> {
    let store = Store::new();
    store.put("op", "config", Some(caller::manifest()));
    let mut workers = Vec::new();
    for n in 0..WORKERS {
        let slots = if n == 0 { 12 } else { 1 };
        let spec = Spec {
            id: format!("plain-{n}"),
            service: "plain",
            zone: ZONES[n % 3],
            slots,
            engine: false,
        };
        let (id, handler_record) = (spec.id.clone(), record.clone());
        let handler: Handler = Arc::new(move |req, stream| {
            record_run(&handler_record, &id, "plain", req);
            if n == 0 {
                return write_until_close(stream, req, BODY, PAUSE);
            }
            thread::sleep(WORK);
            write_sealed(stream, req, BODY)
        });
        let address = "127.0.0.1:0".parse().unwrap();
        workers.push(
            Worker::start(spec, address, &store, record, handler).map_err(|e| e.to_string())?,
        );
    }
    let proxy = Proxy::start(workers[0].address).map_err(|e| e.to_string())?;
    let place = Place {
        root,
        folder,
        bounds: COBALT_TT,
    };
    let ips = free_addresses(MACHINES);
    let mut routers = Vec::new();
    for (n, ip) in ips.iter().enumerate() {
        let rewrite = if n == 0 {
            vec![(workers[0].address, proxy.address)]
        } else {
            Vec::new()
        };
        let name = format!("vm-{n}");
        routers.push(Router::start(
            &place,
            &name,
            ZONES[n % 3],
            *ip,
            &ips[..3],
            store.serve(rewrite),
        ));
    }
    for router in &routers {
        if !router.wait_until_ready() {
            return Err(format!("{} is not ready in time", router.name));
        }
    }
    thread::sleep(Duration::from_secs(3));
    // For comparison, `CUT=0` leaves out the cut and keeps the resets.
    if trouble && std::env::var("CUT").as_deref() != Ok("0") {
        proxy.cut();
        record.line("the path from vm-0 to plain-0 is cut");
    }
    let start = Instant::now();
    let broken = Arc::new(AtomicU64::new(0));
    let (address, sender_record, sender_broken) =
        (routers[0].callers(), record.clone(), broken.clone());
    let sender =
        thread::spawn(move || send_requests(address, &sender_record, &sender_broken, start));
    while start.elapsed() < LENGTH {
        thread::sleep(RESET_INTERVAL);
        if trouble {
            let count = workers[0].reset_connections(RESET_SHARE);
            record.line(format!("{count} channels of plain-0 are reset"));
        }
    }
    let _ = sender.join();
    Ok(broken.load(Ordering::SeqCst))
}

fn send_requests(router: SocketAddr, record: &Record, broken: &Arc<AtomicU64>, start: Instant) {
    let mut calls = Vec::new();
    for n in 0.. {
        if start.elapsed() >= LENGTH {
            break;
        }
        let (record, broken) = (record.clone(), broken.clone());
        calls.push(thread::spawn(move || {
            let attempt = format!("try-{n}");
            let request = caller::request("POST", &format!("/once/{n}"), &attempt, 5000, "", &attempt);
            let result = caller::send(router, &request, Duration::from_secs(6));
            record.line(format!("caller of {attempt} got {}", caller::outcome(&result)));
            let Ok(response) = result else {
                return;
            };
            let body = &response.message.body;
            if response.message.status() == 200 && response.complete && body != BODY {
                let got = String::from_utf8_lossy(body);
                record.line(format!("BROKEN: {attempt} got as a complete success {got:?}, a part of the worker's body"));
                broken.fetch_add(1, Ordering::SeqCst);
            }
        }));
        thread::sleep(INTERVAL);
    }
    for call in calls {
        let _ = call.join();
    }
}
