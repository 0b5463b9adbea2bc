//! The settings of six routers name seeds that have left. Three seconds later the settings name routers that run, and
//! half of the routers get SIGHUP. Then a request comes again and again that crashes the workers that run it.

use review_standins_2::{
    http::{Message, call},
    record::{Record, trouble},
    router::{Deployment, Router},
    store::{Fate, Store},
    worker::{Worker, keep_entries, sealed},
};
use serde_json::{Value, json};
use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex, mpsc},
    thread,
    time::{Duration, Instant},
};

/// `stable-window-ms` and `seed-lag-s` of the settings.
const STABLE_WINDOW: Duration = Duration::from_secs(4);
const SEED_LAG: Duration = Duration::from_secs(3);

/// Time between the changes of two settings files: two seconds over all.
const SETTINGS_GAP: Duration = Duration::from_millis(400);

/// Time after which a worker that has crashed is back.
const RESTART: Duration = Duration::from_secs(3);

/// Retries that may reach workers later than the stable window after the third crash.
const ALLOWED: usize = 3;

fn manifest() -> Value {
    let route = |name: &str, kind: &str| {
        json!({
            "name": name, "host": "shop.example", "prefix": format!("/{name}/"), "route-type": kind,
            "timeout-ms": 2500, "target-latency-ms": 300, "priority": 2, "service": "shopfront",
            "max-attempts": if kind == "idempotent" { 3 } else { 1 },
        })
    };
    json!({
        "version": 1,
        "routes": [route("check", "idempotent"), route("order", "non_idempotent")],
        "services": [{"name": "shopfront", "health-path": "/health"}],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 2000, "idle-timeout-ms": 15000},
        "tenants": [{"name": "t1", "api-keys": ["key-1"], "priority": 1}],
    })
}

/// A run of the request that crashes workers.
struct Crash {
    at: Instant,
    worker: String,
}

fn start_worker(
    id: &str,
    crashes: &Arc<Mutex<Vec<Crash>>>,
    crashed: &mpsc::Sender<()>,
) -> Arc<Worker> {
    let (crashes, crashed) = (crashes.clone(), crashed.clone());
    let answer = Box::new(move |worker: &Worker, request: &Message| {
        if request.target().starts_with("/check/deadly") {
            let crash = Crash {
                at: Instant::now(),
                worker: worker.id.clone(),
            };
            crashes.lock().unwrap().push(crash);
            worker.stop();
            let _ = crashed.send(());
            return Vec::new();
        }
        thread::sleep(Duration::from_millis(60));
        sealed(request, "200 OK", "ok")
    });
    Worker::start(id, "shopfront", "v1", answer)
}

fn main() {
    let record = Arc::new(Record::create());
    let began = Instant::now();
    let store = Store::start(|_| Fate::Answer, |_, _, _| {});
    store.put("op", "config", Some(&manifest()));
    let crashes = Arc::new(Mutex::new(Vec::new()));
    let (crashed, crash_signals) = mpsc::channel();
    let workers = (0..8).map(|n| start_worker(&format!("i-{n}"), &crashes, &crashed));
    keep_entries(&store, &workers.collect::<Vec<_>>());
    {
        // A worker that has crashed is back after some seconds, as another incarnation.
        let (store, crashes) = (store.clone(), crashes.clone());
        thread::spawn(move || {
            for (n, ()) in crash_signals.iter().enumerate() {
                let (store, crashes, crashed) = (store.clone(), crashes.clone(), crashed.clone());
                thread::spawn(move || {
                    thread::sleep(RESTART);
                    keep_entries(
                        &store,
                        &[start_worker(&format!("i-again-{n}"), &crashes, &crashed)],
                    );
                });
            }
        });
    }
    let contracts = &[
        "base", "drain", "config", "retry", "recover", "tenants", "platform",
    ];
    let mut deployment = Deployment::new(store.address, 6, contracts);
    deployment.bootstrap = false;
    let sound_seeds = deployment.seeds.clone();
    if trouble() {
        // Machines that have left.
        let stale = |ip: &Ipv4Addr| {
            let [a, b, c, d] = ip.octets();
            Ipv4Addr::new(a, b, c, d + 100)
        };
        deployment.seeds = sound_seeds.iter().map(stale).collect();
    }
    let routers = (0..6).map(|n| deployment.start(n)).collect::<Vec<Router>>();
    if !routers.iter().all(Router::wait_until_ready) {
        record.say("the routers are not ready");
        std::process::exit(2);
    }
    record.say(&format!(
        "the routers are ready; their seeds: {:?}",
        deployment.seeds
    ));
    thread::sleep(SEED_LAG.saturating_sub(began.elapsed()));
    deployment.seeds = sound_seeds;
    // Half of the routers get SIGHUP, over two seconds; the files of the others change without a signal.
    for (n, router) in routers.iter().enumerate() {
        deployment.write_settings(n, router);
        if n.is_multiple_of(2) {
            router.signal("HUP");
        }
        thread::sleep(SETTINGS_GAP);
    }
    record.say(&format!(
        "the settings of all routers have changed, three of them got SIGHUP; the seeds now: {:?}",
        deployment.seeds
    ));
    let fronts = routers
        .iter()
        .map(|router| router.front)
        .collect::<Vec<_>>();
    // Ordinary requests, some 14 a second at each router, each kind in turn.
    let orders = Arc::new(Mutex::new(Vec::new()));
    {
        let (fronts, orders, record) = (fronts.clone(), orders.clone(), record.clone());
        thread::spawn(move || {
            for number in 0_usize.. {
                let (front, orders, record) = (
                    fronts[number % fronts.len()],
                    orders.clone(),
                    record.clone(),
                );
                thread::spawn(move || {
                    let is_order = (number / 6) % 2 == 1;
                    let route = if is_order { "order" } else { "check" };
                    let sent = Instant::now();
                    let status = send(front, &format!("/{route}/{number}"), &format!("r{number}"));
                    record.line(&format!("client: request {number} on {route}: {status}"));
                    if is_order {
                        orders.lock().unwrap().push((sent, status));
                    }
                });
                thread::sleep(Duration::from_millis(12));
            }
        });
    }
    thread::sleep(Duration::from_secs(10));
    record.say("the request that crashes workers begins to come");
    for attempt in 0..18 {
        let router = attempt % fronts.len();
        let status = send(
            fronts[router],
            "/check/deadly",
            &format!("deadly-{attempt}"),
        );
        record.say(&format!(
            "client: attempt {attempt} at router {router}: {status}"
        ));
        thread::sleep(Duration::from_millis(2500));
    }

    let crashes = crashes.lock().unwrap();
    for crash in crashes.iter() {
        let at = crash.at.duration_since(began).as_secs_f64();
        record.line(&format!(
            "worker {}: crashed by the request at {at:.3}",
            crash.worker
        ));
    }
    let late = match crashes.get(2) {
        Some(third) => crashes
            .iter()
            .filter(|crash| crash.at > third.at + STABLE_WINDOW)
            .count(),
        None => 0,
    };
    record.say(&format!("the request crashed {} workers, {late} of them later than stable-window-ms after the third", crashes.len()));
    let orders = orders.lock().unwrap();
    let lost = orders.iter().filter(|(_, status)| status != "200");
    let lost_late = lost.clone().filter(|(sent, _)| {
        crashes
            .get(2)
            .is_some_and(|third| *sent > third.at + STABLE_WINDOW)
    });
    record.say(&format!(
        "of {} orders, which may run once, {} had no success, {} of them sent after that time",
        orders.len(),
        lost.count(),
        lost_late.count()
    ));
    let broken = late > ALLOWED;
    record.say(if broken {
        "BUDGET broken"
    } else {
        "BUDGET held"
    });
    drop(routers);
    std::process::exit(i32::from(broken));
}

/// Sends a request; returns the status, or how the channel ended.
fn send(front: SocketAddr, target: &str, id: &str) -> String {
    let request = format!(
        "POST {target} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: 2500\r\n\
         Credential: key-1\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi"
    );
    match call(front, &request, Duration::from_millis(2500)) {
        Ok(answer) => answer.status().to_string(),
        Err(error) => format!("{:?}", error.kind()),
    }
}
