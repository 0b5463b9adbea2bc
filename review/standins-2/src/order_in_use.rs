//! A bad version v2 is rolled back. Before its workers have left, the operator orders the version that is in use.
//!
//! The routers are killed once before that, right after the acknowledgement of a manifest, so that RECOVER applies.

use review_standins_2::{
    record::{Record, trouble},
    router::{Deployment, Router},
    shop::{CONTRACTS, Quality, RECOVERY, manifest, start_clients, start_workers},
    store::{Fate, Store, written},
    worker::keep_entries,
};
use serde_json::{Value, json};
use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

fn main() {
    let record = Arc::new(Record::create());
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
    thread::sleep(Duration::from_secs(4));
    store.put("op", "config", Some(&manifest(2)));
    record.say("operator: manifest 2 acknowledged; all routers are killed");
    let fault_at = record.elapsed();
    for router in &mut routers {
        router.kill();
    }
    thread::sleep(Duration::from_millis(1400));
    for router in &mut routers {
        router.start();
    }
    let back_at = record.elapsed();
    record.say("all routers are started again");
    thread::sleep(Duration::from_secs(4));

    let order = |version: &str, seconds: f64| {
        let order = json!({"service": "shopfront", "to": version, "duration-s": seconds});
        store.put("op", "rollout/shopfront", Some(&order));
        record.say(&format!("operator: order to roll out {version}"));
    };
    order("v2", 60.0);
    let v2 = start_workers("v2", |number| {
        if number.is_multiple_of(2) {
            Quality::Fails
        } else {
            Quality::Good
        }
    });
    keep_entries(&store, &v2);
    let until = Instant::now() + Duration::from_secs(30);
    let state = || {
        store
            .value("status", "rollout/shopfront")
            .map(|status| status["state"].clone())
    };
    while state() != Some(json!("rolled_back")) {
        if Instant::now() > until {
            record.say("v2 was not rolled back in time");
            std::process::exit(2);
        }
        thread::sleep(Duration::from_millis(20));
    }
    thread::sleep(Duration::from_secs(1));
    if trouble() {
        order("v1", 30.0);
    }
    // At the status `rolled_back` of v2 its workers drain some seconds later.
    thread::sleep(Duration::from_secs(4));
    for worker in &v2 {
        worker.drain();
    }
    record.say("platform: the workers of v2 drain");
    thread::sleep(Duration::from_secs(8));
    for worker in &v2 {
        worker.stop();
    }
    record.say("platform: the workers of v2 have left");
    thread::sleep(Duration::from_secs(40));
    requests.stop();
    let runs = |workers: &[Arc<review_standins_2::worker::Worker>]| {
        workers.iter().map(|w| w.run_count()).sum::<u64>()
    };
    record.say(&format!("runs on v1: {}, on v2: {}", runs(&v1), runs(&v2)));
    record.say(&format!(
        "status: {}",
        store
            .value("status", "rollout/shopfront")
            .unwrap_or_default()
    ));
    let broken = requests.breaks_recover(fault_at, back_at + RECOVERY, &record);
    drop(routers);
    std::process::exit(i32::from(broken));
}
