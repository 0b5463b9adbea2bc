//! An order to roll out v2 is replaced by one to roll out v3, and v2 turns bad afterwards. One router is killed and starts
//! again.

use review_standins_2::{
    record::{Record, trouble},
    router::{Deployment, Router},
    shop::{CONTRACTS, Quality, manifest, start_clients, start_workers},
    store::{Fate, Store, written},
    worker::keep_entries,
};
use serde_json::{Value, json};
use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// `rollback-ms` of the settings.
const ROLLBACK: Duration = Duration::from_secs(5);

/// How many times slower the bad answers are.
const TIMES_SLOWER: u32 = 6;

/// `stable-window-ms` of the settings.
const STABLE_WINDOW: Duration = Duration::from_secs(4);

fn main() {
    let record = Arc::new(Record::create());
    let began = Instant::now();
    let watch = {
        let record = record.clone();
        move |change: &Value, applied: bool, _: bool| {
            if let Some(status) = written(change, "status") {
                record.say(&format!(
                    "platform: write of status {status}: {}",
                    if applied { "done" } else { "refused" }
                ));
            }
        }
    };
    let store = Store::start(|_| Fate::Answer, watch);
    store.put("op", "config", Some(&manifest(1)));
    let v1 = start_workers("v1", |_| Quality::Good);
    keep_entries(&store, &v1);
    let deployment = Deployment::new(store.address, 3, CONTRACTS);
    let mut routers = (0..3).map(|n| deployment.start(n)).collect::<Vec<Router>>();
    if !routers.iter().all(Router::wait_until_ready) {
        record.say("the routers are not ready");
        std::process::exit(2);
    }
    record.say("the routers are ready");
    let requests = start_clients(&record, routers.iter().map(|router| router.front).collect());

    let order = |version: &str| {
        let order = json!({"service": "shopfront", "to": version, "duration-s": 60.0});
        store.put("op", "rollout/shopfront", Some(&order));
        record.say(&format!("operator: order to roll out {version}"));
    };
    let is_bad = Arc::new(AtomicBool::new(false));
    thread::sleep(Duration::from_secs(4));
    order("v2");
    let bad = is_bad.clone();
    let v2 = start_workers("v2", move |number| {
        if bad.load(Ordering::SeqCst) && number.is_multiple_of(2) {
            Quality::Slow(TIMES_SLOWER)
        } else {
            Quality::Good
        }
    });
    keep_entries(&store, &v2);
    thread::sleep(Duration::from_secs(5));
    order("v3");
    let v3 = start_workers("v3", |_| Quality::Good);
    keep_entries(&store, &v3);
    thread::sleep(Duration::from_secs(6));
    is_bad.store(true, Ordering::SeqCst);
    record.say("from now on, v2 answers half of its requests several times slower");
    thread::sleep(Duration::from_secs(2));
    let mut in_touch_from = began.elapsed();
    if trouble() {
        routers[1].kill();
        thread::sleep(Duration::from_secs(1));
        routers[1].start();
        in_touch_from = began.elapsed() + STABLE_WINDOW;
        record.say("router 1 was killed and starts again");
    }
    thread::sleep(Duration::from_secs(30));
    requests.stop();

    let mut answers = Vec::new();
    for worker in &v2 {
        for (at, id, is_bad) in worker.answers.lock().unwrap().iter() {
            answers.push((at.duration_since(began), id.clone(), *is_bad));
        }
    }
    answers.sort();
    for (at, id, is_bad) in &answers {
        record.line(&format!(
            "worker of v2: request {id} answered at {:.3}, bad: {is_bad}",
            at.as_secs_f64()
        ));
    }
    let runs = |workers: &[Arc<review_standins_2::worker::Worker>]| {
        workers.iter().map(|w| w.run_count()).sum::<u64>()
    };
    record.say(&format!(
        "runs on v1: {}, on v2: {}, on v3: {}",
        runs(&v1),
        runs(&v2),
        runs(&v3)
    ));
    let fiftieth = answers
        .iter()
        .filter(|(_, _, is_bad)| *is_bad)
        .nth(49)
        .map(|(at, ..)| *at);
    let late = fiftieth.map_or(0, |fiftieth| {
        let sent = |id: &str| {
            let ms = id.rsplit('-').next().and_then(|ms| ms.parse().ok());
            Duration::from_millis(ms.unwrap_or(0))
        };
        let is_late = |id: &str| sent(id) > fiftieth + ROLLBACK && sent(id) > in_touch_from;
        answers.iter().filter(|(_, id, _)| is_late(id)).count()
    });
    record.say(&format!("50th bad answer of v2: {fiftieth:?}; requests to v2 that were sent later than rollback-ms after it: {late}"));
    record.say(if late > 0 {
        "EXPOSURE broken"
    } else {
        "EXPOSURE held"
    });
    drop(routers);
    std::process::exit(i32::from(late > 0));
}
