//! Measures the time per decision with 10,000 queued requests of 2,100 teams and 40 upstreams:
//! `cargo run --release -p catkin-decisions --example decision_cost`.

use catkin_decisions::{
    AdmissionConfig, AdmissionQueue, Arrival, CallKey, HotKeys, Instant, Lane, QueueTeam, Queued,
    ReadCoalescer, UpstreamId,
};
use std::{
    hint::black_box,
    time::{Duration, Instant as Clock},
};

const QUEUED: usize = 10_000;
const TEAMS: usize = 2_100;
const UPSTREAMS: usize = 40;
const ROUNDS: usize = 20_000;

fn main() {
    let upstreams = (0..UPSTREAMS)
        .map(|i| format!("upstream-{i:03}").parse().expect("a valid id"))
        .collect::<Vec<UpstreamId>>();
    let arrivals = (0..TEAMS).map(arrival).collect::<Vec<_>>();
    let mut queue = AdmissionQueue::new(AdmissionConfig {
        max_queue_len: QUEUED + ROUNDS,
        ..AdmissionConfig::default()
    });
    queue.set_upstreams(upstreams.iter().cloned());
    let now = Instant(Duration::from_secs(1));
    let fill = |queue: &mut AdmissionQueue<usize>| {
        for i in queue.queue_len(Lane::Quick)..QUEUED {
            let offered = queue.offer(now, &arrivals[i * 7 % TEAMS], Queued::new(i));
            black_box(offered.is_ok());
        }
    };
    println!("{QUEUED} queued requests of {TEAMS} teams, {UPSTREAMS} upstreams, {ROUNDS} rounds");

    fill(&mut queue);
    print_cost("offer and withdraw", |i| {
        let offered = queue.offer(now, &arrivals[i * 11 % TEAMS], Queued::new(i));
        offered.map(|position| queue.withdraw(position).is_some())
    });
    print_cost("offer and dispatch", |i| {
        let offered = queue.offer(now, &arrivals[i * 11 % TEAMS], Queued::new(i));
        let full_count = queue.full_upstreams(now, Lane::Quick).len();
        let upstream = &upstreams[i % UPSTREAMS];
        let dispatched = queue.dispatch(now, Lane::Quick, upstream).is_some();
        queue.release_slot(Lane::Quick, upstream, None);
        (offered.is_ok(), full_count, dispatched)
    });
    print_cost("look for expired", |_| queue.expire(now).len());

    let keys = (0..QUEUED).map(call_key).collect::<Vec<_>>();
    let (mut hot_keys, mut coalescer) = (HotKeys::default(), ReadCoalescer::default());
    for key in &keys {
        black_box(hot_keys.try_acquire(key));
        coalescer.join(key, 0);
    }
    print_cost("call key", call_key);
    print_cost("hot key in and out", |i| {
        let entered = hot_keys.try_acquire(&keys[i % QUEUED]);
        hot_keys.release(&keys[i % QUEUED]);
        entered
    });
    let others = (QUEUED..2 * QUEUED).map(call_key).collect::<Vec<_>>();
    print_cost("merge and end a read", |i| {
        coalescer.join(&others[i % QUEUED], i);
        coalescer.complete(&others[i % QUEUED]).len()
    });
}

/// Prints the mean and p99 duration of `decide`.
fn print_cost<T>(name: &str, mut decide: impl FnMut(usize) -> T) {
    let mut costs = (0..ROUNDS)
        .map(|i| {
            let start = Clock::now();
            black_box(decide(i));
            start.elapsed()
        })
        .collect::<Vec<_>>();
    let rounds = u32::try_from(ROUNDS).expect("a small number");
    let mean = costs.iter().sum::<Duration>() / rounds;
    costs.sort_unstable();
    let p99 = costs[ROUNDS * 99 / 100];
    println!("{name:24} mean {mean:>8.2?}  p99 {p99:>8.2?}");
}

fn arrival(team: usize) -> Arrival {
    Arrival {
        team: QueueTeam {
            id: format!("team-{team:04}").parse().expect("a valid name"),
            weight: 1,
        },
        lane: Lane::Quick,
        cost: 1,
        deadline: Instant(Duration::from_secs(3600)),
    }
}

fn call_key(i: usize) -> CallKey {
    let team = format!("team-{:04}", i % TEAMS)
        .parse()
        .expect("a valid name");
    let path = format!("/tiles/{i}");
    CallKey::new(team, [b"GET".as_slice(), path.as_bytes()])
}
