//! Measures the cost of the decisions of the queue of waiting streams: 1,000 waiting calls of 300 teams,
//! 180 upstreams.
//!
//! `cargo run --release -p catkin-decisions --example dispatch_cost`

use catkin_decisions::{DispatchQueue, Instant, QueueLimits, QueueTeam, StreamArrival};
use std::{hint::black_box, time::Duration, time::Instant as Clock};

const WAITING: usize = 1000;
const TEAMS: usize = 300;
const UPSTREAMS: usize = 180;
const ROUNDS: usize = 20_000;

fn main() {
    let now = Instant(Duration::from_secs(100));
    // Free tokens of each upstream; a call needs 9,040.
    let free = (0..UPSTREAMS).map(|i| (i * 97) % 9_000).collect::<Vec<_>>();
    let mut with_room = free.clone();
    with_room[UPSTREAMS - 1] = 20_000;
    let select = |free: &[usize]| free.iter().position(|free| *free >= 9_040);
    let mut queue = DispatchQueue::new(QueueLimits {
        calls: 2 * WAITING,
        bytes: usize::MAX / 4,
    });
    // Starts from which a rate is known that refuses no call.
    for _ in 0..100_000 {
        let least_urgent = StreamArrival {
            priority: 9,
            ..arrival(0, now)
        };
        queue.record_start(&least_urgent, now);
    }
    for i in 0..WAITING {
        black_box(queue.offer(arrival(i, now), i, now).is_ok());
    }
    println!(
        "{} waiting calls of {TEAMS} teams, {UPSTREAMS} upstreams, {ROUNDS} rounds",
        queue.len()
    );

    print_cost("offer and withdraw", |i| {
        let admission = queue.offer(arrival(i * 7, now), i, now);
        admission.map(|admission| queue.withdraw(admission.ticket))
    });
    print_cost("offer and next", |i| {
        let admission = queue.offer(arrival(i * 7, now), i, now);
        (admission.is_ok(), queue.next(now, |_| select(&with_room)))
    });
    print_cost("next without room", |_| queue.next(now, |_| select(&free)));
    print_cost("look for expired", |_| queue.expire(now).len());
    println!("{} calls wait at the end", queue.len());
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

fn arrival(i: usize, now: Instant) -> StreamArrival {
    StreamArrival {
        priority: if i.is_multiple_of(10) { 0 } else { 2 },
        team: QueueTeam {
            id: format!("team-{:03}", i % TEAMS)
                .parse()
                .expect("a valid name"),
            weight: 1,
        },
        target: now.after(Duration::from_millis(10_000 + i as u64 % 5000)),
        deadline: now.after(Duration::from_secs(25)),
        prefill: Duration::from_millis(1025),
        duration: Duration::from_secs(6),
        tokens: 9040,
        bytes: 32_000,
    }
}
