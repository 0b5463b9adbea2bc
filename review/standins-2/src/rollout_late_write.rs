//! A good version is rolled out, and the answer to the write that ends the roll-out is lost; the store does the write
//! some seconds later.
//!
//! The routers are killed once before that, right after the acknowledgement of a manifest, so that RECOVER applies.

use review_standins_2::{
    record::{Record, trouble},
    router::{Deployment, Router},
    shop::{CONTRACTS, Quality, RECOVERY, manifest, start_clients, start_workers},
    store::{Fate, Store, written},
    worker::{Worker, keep_entries},
};
use serde_json::{Value, json};
use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

/// Delay of the write whose answer is lost: 1 to 6 s are allowed.
const LATE: Duration = Duration::from_secs(4);

/// `duration-s` of the order.
const ORDER_SECONDS: f64 = 22.0;

fn main() {
    let record = Arc::new(Record::create());
    let ends = Arc::new(AtomicU64::new(0));
    let judge = {
        let (record, ends) = (record.clone(), ends.clone());
        move |change: &Value| {
            let state = written(change, "status").map(|status| status["state"].to_string());
            let is_end = state.as_deref() == Some("\"completed\"");
            if trouble() && is_end && ends.fetch_add(1, Ordering::SeqCst) == 0 {
                record.say("platform: the answer to the write of \"completed\" is lost; it will be done later");
                return Fate::Late(LATE);
            }
            Fate::Answer
        }
    };
    let completed = Arc::new(AtomicBool::new(false));
    let watch = {
        let (record, completed) = (record.clone(), completed.clone());
        move |change: &Value, applied: bool, late: bool| {
            let Some(status) = written(change, "status") else {
                return;
            };
            let order = change["precondition"].as_array().and_then(|rows| {
                let order = rows.iter().find(|row| row["table"] == "op")?;
                Some(order["record-version"].clone())
            });
            record.say(&format!(
                "platform: write of status {status} {} (late: {late}, requires order {})",
                if applied { "done" } else { "refused with 412" },
                order.unwrap_or_default()
            ));
            if applied && status["state"] == "completed" {
                completed.store(true, Ordering::SeqCst);
            }
        }
    };
    let store = Store::start(judge, watch);
    store.put("op", "config", Some(&manifest(1)));
    let old = start_workers("v1", |_| Quality::Good);
    keep_entries(&store, &old);
    let deployment = Deployment::new(store.address, 3, CONTRACTS);
    let mut routers = (0..3).map(|n| deployment.start(n)).collect::<Vec<Router>>();
    if !routers.iter().all(Router::wait_until_ready) {
        record.say("the routers are not ready");
        std::process::exit(2);
    }
    record.say("the routers are ready");
    let requests = start_clients(&record, routers.iter().map(|router| router.front).collect());
    // At the status `completed` the old workers stop at once.
    {
        let (completed, old, record) = (completed.clone(), old.clone(), record.clone());
        thread::spawn(move || {
            while !completed.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(10));
            }
            for worker in &old {
                worker.stop();
            }
            record.say("platform: the old workers have stopped, as the status is \"completed\"");
        });
    }

    thread::sleep(Duration::from_secs(4));
    let new = start_workers("v2", |_| Quality::Good);
    store.put(
        "op",
        "rollout/shopfront",
        Some(&json!({"service": "shopfront", "to": "v2", "duration-s": ORDER_SECONDS})),
    );
    keep_entries(&store, &new);
    record.say("operator: order to roll out v2");
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
    thread::sleep(Duration::from_secs(70));
    requests.stop();

    let runs = |workers: &[Arc<Worker>]| workers.iter().map(|w| w.run_count()).sum::<u64>();
    record.say(&format!(
        "runs on v1: {}, on v2: {}",
        runs(&old),
        runs(&new)
    ));
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
