//! A bad version v2, one in twenty of whose responses is a failure, is rolled out. The version in use never fails.

use review_standins_2::{
    record::{Record, trouble},
    router::{Deployment, Router},
    shop::{CONTRACTS, Quality, manifest, start_clients, start_workers},
    store::{Fate, Store, written},
    worker::{Worker, keep_entries},
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

/// `rollback-ms`, `exposure-share` and `exposure-slack` of the settings.
const ROLLBACK: Duration = Duration::from_secs(5);
const SHARE: f64 = 0.1;
const SLACK: f64 = 50.0;

/// `duration-s` of the order.
const ORDER: Duration = Duration::from_secs(60);

/// One in this many responses of v2 is a failure.
const RESPONSES_PER_FAILURE: u64 = 20;

fn main() {
    let record = Arc::new(Record::create());
    let began = Instant::now();
    let completed = Arc::new(AtomicBool::new(false));
    let watch = {
        let (record, completed) = (record.clone(), completed.clone());
        move |change: &Value, applied: bool, _: bool| {
            if let Some(status) = written(change, "status") {
                record.say(&format!(
                    "platform: write of status {status}: {}",
                    if applied { "done" } else { "refused" }
                ));
                if applied && status["state"] == "completed" {
                    completed.store(true, Ordering::SeqCst);
                }
            }
        }
    };
    let store = Store::start(|_| Fate::Answer, watch);
    store.put("op", "config", Some(&manifest(1)));
    let v1 = start_workers("v1", |_| Quality::Good);
    keep_entries(&store, &v1);
    let deployment = Deployment::new(store.address, 3, CONTRACTS);
    let routers = (0..3).map(|n| deployment.start(n)).collect::<Vec<Router>>();
    if !routers.iter().all(Router::wait_until_ready) {
        record.say("the routers are not ready");
        std::process::exit(2);
    }
    record.say("the routers are ready");
    let requests = start_clients(&record, routers.iter().map(|router| router.front).collect());
    {
        let (v1, record) = (v1.clone(), record.clone());
        thread::spawn(move || {
            while !completed.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(10));
            }
            for worker in &v1 {
                worker.stop();
            }
            record.say("platform: the old workers have stopped, as the status is \"completed\"");
        });
    }
    thread::sleep(Duration::from_secs(12));
    let order = json!({"service": "shopfront", "to": "v2", "duration-s": ORDER.as_secs_f64()});
    store.put("op", "rollout/shopfront", Some(&order));
    let ordered_at = began.elapsed();
    record.say("operator: order to roll out v2");
    let v2 = start_workers("v2", |number| {
        if trouble() && number % RESPONSES_PER_FAILURE == 7 {
            Quality::Fails
        } else {
            Quality::Good
        }
    });
    keep_entries(&store, &v2);
    thread::sleep(ORDER + Duration::from_secs(25));
    requests.stop();

    let answers = |workers: &[Arc<Worker>]| {
        let mut all = Vec::new();
        for worker in workers {
            for (at, id, is_bad) in worker.answers.lock().unwrap().iter() {
                all.push((at.duration_since(began), id.clone(), *is_bad));
            }
        }
        all.sort();
        all
    };
    let (old, new) = (answers(&v1), answers(&v2));
    let during = |all: &[(Duration, String, bool)]| {
        all.iter()
            .filter(|(at, ..)| *at >= ordered_at && *at < ordered_at + ORDER)
            .count()
    };
    let (old_count, new_count) = (during(&old), during(&new));
    #[expect(clippy::cast_precision_loss)]
    let allowed = SHARE * (old_count + new_count) as f64 + SLACK;
    record.say(&format!("between the order and its deadline: {old_count} requests ran on v1 and {new_count} on v2; allowed on v2: {allowed}"));
    let fiftieth = new
        .iter()
        .filter(|(_, _, is_bad)| *is_bad)
        .nth(49)
        .map(|(at, ..)| *at);
    let late = fiftieth.map_or(0, |fiftieth| {
        // Each answer comes milliseconds after its request was sent.
        new.iter()
            .filter(|(at, ..)| *at > fiftieth + ROLLBACK + Duration::from_secs(1))
            .count()
    });
    record.say(&format!("50th bad answer of v2: {fiftieth:?}; requests to v2 sent later than rollback-ms after it: {late}"));
    #[expect(clippy::cast_precision_loss)]
    let broken = trouble() && (late > 0 || new_count as f64 > allowed);
    record.say(if broken {
        "EXPOSURE broken"
    } else {
        "EXPOSURE held"
    });
    drop(routers);
    std::process::exit(i32::from(broken));
}
