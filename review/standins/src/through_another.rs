//! A machine loses its paths to all workers of a service and reaches them through other machines, while a worker breaks
//! off some of its answers.

use crate::{
    caller,
    proxy::Proxy,
    record::Record,
    router::{COBALT_TT, Place, Router, free_addresses},
    store::Store,
    worker::{Handler, Spec, Worker, record_run, write_until_close},
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

/// One machine of four loses its paths: a share of 0.25.
const MACHINES: usize = 4;

/// The paths are cut for this time, and healed for that, so many times.
const CUT: Duration = Duration::from_secs(5);
const HEALED: Duration = Duration::from_secs(1);
const CUTS: u32 = 5;

/// The first of three workers breaks off one in so many of its answers: a share of 0.33, and 0.02 of its answers.
const BREAKS_OFF_ONE_IN: u64 = 50;

/// Time between the halves of an answer.
const PAUSE: Duration = Duration::from_millis(20);

/// Interval of requests at the machine.
const INTERVAL: Duration = Duration::from_millis(15);

const BODY: &[u8] = b"first half of the answer, second half of the answer";

/// Returns how many callers got a part of the worker's body as a complete answer.
pub fn play(root: &Path, folder: &Path, record: &Record, trouble: bool) -> Result<u64, String> {
    let store = Store::new();
    store.put("op", "config", Some(caller::manifest()));
    let (mut workers, mut proxies) = (Vec::new(), Vec::new());
    for n in 0..3 {
        let spec = Spec {
            id: format!("plain-{n}"),
            service: "plain",
            zone: ZONES[n],
            slots: 20,
            engine: false,
        };
        let (id, handler_record, answers) = (spec.id.clone(), record.clone(), AtomicU64::new(0));
        let handler: Handler = Arc::new(move |req, stream| {
            record_run(&handler_record, &id, "plain", req);
            let count = answers.fetch_add(1, Ordering::SeqCst) + 1;
            let breaks_off = trouble && n == 0 && count.is_multiple_of(BREAKS_OFF_ONE_IN);
            if breaks_off {
                let attempt = req.header("attempt-id").unwrap_or("-");
                handler_record.line(format!(
                    "{id} breaks off its answer to {attempt} with a reset"
                ));
            }
            write_until_close(stream, req, BODY, PAUSE, breaks_off)
        });
        let address = "127.0.0.1:0".parse().unwrap();
        let worker = Worker::start(spec, address, &store, record, handler);
        let worker = worker.map_err(|e| e.to_string())?;
        proxies.push(Proxy::start(worker.address).map_err(|e| e.to_string())?);
        workers.push(worker);
    }
    let place = Place {
        root,
        folder,
        bounds: COBALT_TT,
    };
    let ips = free_addresses(MACHINES);
    let mut routers = Vec::new();
    for (n, ip) in ips.iter().enumerate() {
        let paths = workers.iter().zip(&proxies);
        let proxied = paths.map(|(worker, proxy)| (worker.address, proxy.address));
        let rewrite = if n == 0 {
            proxied.collect()
        } else {
            Vec::new()
        };
        let store = store.serve(rewrite);
        routers.push(Router::start(
            &place,
            &format!("vm-{n}"),
            ZONES[n % 3],
            *ip,
            &ips[..3],
            store,
        ));
    }
    for router in &routers {
        if !router.wait_until_ready() {
            return Err(format!("{} is not ready in time", router.name));
        }
    }
    thread::sleep(Duration::from_secs(3));
    let broken = Arc::new(AtomicU64::new(0));
    let (address, sender_record, sender_broken) =
        (routers[0].callers(), record.clone(), broken.clone());
    let sender = thread::spawn(move || send_requests(address, &sender_record, &sender_broken));
    // For comparison, `CUT=0` leaves out the cuts; the worker breaks off its answers as before.
    let cuts = trouble && std::env::var("CUT").as_deref() != Ok("0");
    for _ in 0..CUTS {
        if cuts {
            proxies.iter().for_each(Proxy::cut);
            record.line("the paths from vm-0 to the workers are cut");
        }
        thread::sleep(CUT);
        if cuts {
            for proxy in &proxies {
                proxy.heal().map_err(|e| e.to_string())?;
            }
            record.line("the paths from vm-0 to the workers are healed");
        }
        thread::sleep(HEALED);
    }
    let _ = sender.join();
    Ok(broken.load(Ordering::SeqCst))
}

fn send_requests(router: SocketAddr, record: &Record, broken: &Arc<AtomicU64>) {
    let start = Instant::now();
    let mut calls = Vec::new();
    for n in 0.. {
        if start.elapsed() >= (CUT + HEALED) * CUTS {
            break;
        }
        let (record, broken) = (record.clone(), broken.clone());
        calls.push(thread::spawn(move || {
            let attempt = format!("try-{n}");
            let path = format!("/once/{n}");
            let request = caller::request("POST", &path, &attempt, 1000, "", &attempt);
            record.line(format!("caller of {attempt} sends POST {path}"));
            let result = caller::send(router, &request, Duration::from_secs(2));
            record.line(format!("caller of {attempt} got {}", caller::outcome(&result)));
            let Ok(response) = result else {
                return;
            };
            let body = &response.message.body;
            if response.message.status() == 200 && response.complete && body != BODY {
                let got = String::from_utf8_lossy(body);
                record.line(format!(
                    "BROKEN: {attempt} got as a complete success {got:?}, a part of the worker's body"
                ));
                broken.fetch_add(1, Ordering::SeqCst);
            }
        }));
        thread::sleep(INTERVAL);
    }
    for call in calls {
        let _ = call.join();
    }
}
