//! Tests of the weighted fair queue.

use catkin_decisions::{FairQueue, Instant, PopOptions, QueueTeam};
use googletest::prelude::*;
use proptest::prelude::*;
use std::time::Duration;

fn team(name: &str, weight: u32) -> QueueTeam {
    QueueTeam {
        id: name.parse().expect("a valid name"),
        weight,
    }
}

fn at(ms: u64) -> Instant {
    Instant(Duration::from_millis(ms))
}

fn pop_all(queue: &mut FairQueue<&'static str>) -> Vec<&'static str> {
    std::iter::from_fn(|| queue.pop(at(0))).collect()
}

#[gtest]
fn serves_backlogged_teams_by_weight() {
    let mut queue = FairQueue::default();
    for _ in 0..40 {
        queue.push(&team("large", 3), 1, "large");
        queue.push(&team("small", 1), 1, "small");
    }

    let first = (0..20).filter_map(|_| queue.pop(at(0))).collect::<Vec<_>>();

    let large = first.iter().filter(|name| **name == "large").count();
    expect_that!(large, eq(15));
}

#[gtest]
fn counts_the_cost_of_long_requests() {
    let mut queue = FairQueue::default();
    for _ in 0..10 {
        queue.push(&team("long", 1), 4, "long");
        queue.push(&team("short", 1), 1, "short");
    }

    let first = (0..10).filter_map(|_| queue.pop(at(0))).collect::<Vec<_>>();

    expect_that!(first.iter().filter(|name| **name == "long").count(), eq(2));
}

/// Guards against a single FIFO, in which the first request of a team would wait for a hundred
/// requests that another team queued before.
#[gtest]
fn backlog_of_one_team_does_not_delay_another() {
    let mut queue = FairQueue::default();
    for _ in 0..100 {
        queue.push(&team("hot", 1), 1, "hot");
    }
    for _ in 0..50 {
        queue.pop(at(0));
    }

    queue.push(&team("quiet", 1), 1, "quiet");

    let next = [queue.pop(at(0)), queue.pop(at(0))];
    expect_that!(next, contains(eq(Some("quiet"))));
}

/// Guards against a team that accumulates service while it is idle: the others would receive none
/// until the end of its next burst.
#[gtest]
fn idle_team_accumulates_no_service() {
    let mut queue = FairQueue::default();
    queue.push(&team("idle", 1), 1, "idle");
    queue.pop(at(0));
    for _ in 0..100 {
        queue.push(&team("busy", 1), 1, "busy");
    }
    for _ in 0..50 {
        queue.pop(at(0));
    }

    for _ in 0..50 {
        queue.push(&team("idle", 1), 1, "idle");
    }

    let first = (0..20).filter_map(|_| queue.pop(at(0))).collect::<Vec<_>>();
    let idle = first.iter().filter(|name| **name == "idle").count();
    expect_that!(idle, all![ge(9), le(11)]);
}

#[gtest]
fn removed_request_does_not_change_the_order_of_the_others() {
    let mut queue = FairQueue::default();
    queue.push(&team("a", 1), 1, "first");
    let second = queue.push(&team("a", 1), 1, "second");
    queue.push(&team("a", 1), 1, "third");

    let removed = (queue.remove(second), queue.remove(second));

    expect_that!(removed, eq((Some("second"), None)));
    expect_that!(
        pop_all(&mut queue),
        elements_are![eq(&"first"), eq(&"third")]
    );
}

/// Guards against a request that waits for a model that no upstream has loaded and blocks the requests
/// of other teams.
#[gtest]
fn undispatchable_request_blocks_only_its_own_team() {
    let mut queue = FairQueue::default();
    queue.push(&team("a", 1), 1, "nowhere");
    queue.push(&team("a", 1), 1, "behind it");
    queue.push(&team("b", 1), 1, "other team");

    let options = PopOptions {
        teams: 4,
        ..PopOptions::default()
    };

    let dispatched = queue.pop_where(at(0), options, |item| (*item != "nowhere").then_some(7));
    let next = queue.pop_where(at(0), options, |item| (*item != "nowhere").then_some(7));

    expect_that!(dispatched, some(eq(("other team", 7))));
    expect_that!(next, none());
    expect_that!(queue.len(), eq(2));
}

/// Guards against a caller that loses its place because it has returned, and against a removal or a forecast
/// that assumes the order of arrival.
#[gtest]
fn requests_of_a_team_are_sorted_by_their_time() {
    let mut queue = FairQueue::default();
    queue.push_by_time(&team("a", 1), 1, at(30), "third");
    queue.push_by_time(&team("a", 1), 1, at(10), "first");
    let removed = queue.push_by_time(&team("a", 1), 1, at(15), "removed");
    queue.push_by_time(&team("a", 1), 1, at(20), "second");

    expect_that!(queue.remove(removed), some(eq("removed")));
    expect_that!(queue.requests_ahead_of(&team("a", 1), at(20)), eq(3));
    expect_that!(queue.requests_ahead_of(&team("a", 1), at(5)), eq(1));
    let order = ["first", "second", "third"];
    expect_that!(pop_all(&mut queue), container_eq(order));
}

#[gtest]
fn ticket_of_an_evicted_team_removes_nothing() {
    let mut queue = FairQueue::default();
    let old = queue.push(&team("a", 1), 1, "old");
    queue.pop(at(0));
    queue.evict_teams_if_empty();
    queue.push(&team("b", 1), 1, "new");

    let removed = queue.remove(old);

    expect_that!(removed, none());
    expect_that!(queue.len(), eq(1));
}

#[gtest]
fn wait_estimate_follows_the_drain_rate() {
    let mut queue = FairQueue::default();
    for _ in 0..30 {
        queue.push(&team("a", 1), 1, "a");
    }
    for i in 0..20 {
        queue.pop(at(i * 100));
    }

    let wait = queue.observed_wait(&team("a", 1).id);

    let wait = wait.expect("enough was served");
    expect_that!(wait, ge(Duration::from_millis(1099)));
    expect_that!(wait, le(Duration::from_millis(1101)));
}

#[derive(Clone, Debug)]
enum Step {
    Push(usize, u32),
    Pop,
    Remove(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..5_usize, 1..4_u32).prop_map(|(team, cost)| Step::Push(team, cost)),
        2 => Just(Step::Pop),
        1 => (0..60_usize).prop_map(Step::Remove),
    ]
}

proptest! {
    /// For any sequence of pushes, pops and removals, each request leaves the queue exactly once, and
    /// the requests of a team are served in order.
    #[test]
    fn nothing_is_lost_repeated_or_reordered(steps in prop::collection::vec(step(), 0..200)) {
        let mut queue = FairQueue::default();
        let mut tickets = Vec::new();
        let mut out = Vec::new();

        for step in steps {
            match step {
                Step::Push(i, cost) => {
                    let number = tickets.len();
                    tickets.push(queue.push(&team(&i.to_string(), 1), cost, (i, number)));
                }
                Step::Pop => out.extend(queue.pop(at(0)).map(|item| (item, true))),
                Step::Remove(i) => {
                    let removed = tickets.get(i).and_then(|ticket| queue.remove(*ticket));
                    out.extend(removed.map(|item| (item, false)));
                }
            }
            prop_assert_eq!(queue.len(), tickets.len() - out.len());
        }
        out.extend(std::iter::from_fn(|| queue.pop(at(0))).map(|item| (item, true)));

        let mut numbers = out.iter().map(|((_, number), _)| *number).collect::<Vec<_>>();
        numbers.sort_unstable();
        prop_assert_eq!(numbers, (0..tickets.len()).collect::<Vec<_>>());
        for i in 0..5 {
            let served = out.iter().filter(|((team, _), served)| *served && *team == i);
            let numbers = served.map(|((_, number), _)| *number).collect::<Vec<_>>();
            prop_assert!(numbers.is_sorted());
        }
    }
}
