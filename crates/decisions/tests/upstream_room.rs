//! What a VM knows of the free capacity of upstreams, and placement by expected time.

mod room_support;

use catkin_decisions::{
    CallSize, KnownLoad, KvMemory, LoadSample, ReportFigure, RoomReport, Slowdown, UpstreamRoom,
};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use room_support::{CALL, CAPACITY, Engine, Event, Fleet, STEP_MS, at, entry, mean_of, zone};
use std::time::Duration;

/// An engine of 88,000 tokens and 32 slots that only this VM uses.
const KNOWN: KnownLoad = KnownLoad {
    own_calls: 0,
    peer_calls: 0,
    peer_tokens: 0,
    peer_prefill: Duration::ZERO,
    is_complete: true,
    capacity: Some(CAPACITY),
    slots: 32,
};

fn report(slowdown: u32) -> RoomReport {
    RoomReport {
        slowdown: Slowdown::new(slowdown),
        ..RoomReport::default()
    }
}

/// Mean relative error of the expected first event on an engine whose speed changes every 200 ms, with a report each
/// `interval` ms that is 300 ms late.
fn forecast_error(interval: u64) -> f64 {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(7);
    let mut room = UpstreamRoom::default();
    let mut engine = Engine::new(entry("engine", zone(0)));
    let (mut late, mut forecasts, mut errors) = (Vec::new(), Vec::new(), Vec::new());
    let mut percent = 100;
    for ms in (1000..400_000).step_by(10) {
        if ms % 200 == 0 {
            percent = rng.random_range(50..200_u32);
            engine.speed = f64::from(percent) / 100.0;
        }
        late.push(10_000 / percent);
        if ms % interval == 0 && late.len() > 30 {
            let stated = report(late[late.len() - 30]);
            room.record_report(Some(LoadSample::default()), stated, at(ms));
        }
        if rng.random::<f64>() < 0.7 * 0.01 && ms > 5000 {
            let expected = room.estimate(CALL, 0, &KNOWN, at(ms)).first_event;
            let run = room.run_started(CALL, CALL.prompt, Duration::ZERO, at(ms));
            forecasts.push((run, ms, expected.as_secs_f64()));
            engine.send((0, run), ms);
        }
        for event in engine.step(ms) {
            match event {
                Event::First((_, run)) => {
                    room.first_event(run, at(ms + STEP_MS));
                    let (_, sent, expected) = forecasts.iter().find(|f| f.0 == run).unwrap();
                    let took = at(ms + STEP_MS).since(at(*sent)).as_secs_f64();
                    errors.push((expected - took).abs() / took);
                }
                Event::End((_, run)) => room.run_ended(run),
            }
        }
    }
    mean_of(&errors)
}

/// A VM that takes every engine for one of the usual speed places calls on slow ones as on fast ones.
#[gtest]
fn first_event_is_forecast_within_a_fifth_while_the_speed_changes() {
    for interval in [100, 400, 1000] {
        let error = forecast_error(interval);
        println!("reports each {interval} ms: mean error {error:.3}");
        expect_that!(error, lt(0.2));
    }
}

/// VMs that count only their own calls fill an engine several times over; its runs are then preempted, and their
/// prompts read again.
#[gtest]
fn vms_whose_views_agree_promise_no_more_than_there_is() {
    for (reserve, limit) in [(false, CAPACITY), (true, CAPACITY - CALL.tokens())] {
        let mut fleet = Fleet::new(8, 12, 1);
        fleet.reserve = reserve;
        fleet.run(30_000, 24.0);
        let most = fleet.engines.iter().map(|engine| engine.most_tokens);
        let most = most.max().unwrap();
        println!("reserve {reserve}: {most} tokens at most");
        expect_that!(most, all!(le(limit), ge(limit - 2 * CALL.tokens())));
        let waiting = fleet.vms.iter().map(|vm| vm.waiting.len()).sum::<usize>();
        expect_that!(waiting, gt(10));
    }
}

/// An upstream that has just started may be slow or full; each VM that takes it for idle sends all that waits.
#[gtest]
fn unknown_upstream_gets_one_prompt_until_it_responds() {
    let mut room = UpstreamRoom::default();
    let has_room = |room: &UpstreamRoom, ms| {
        let estimate = room.estimate(CALL, 0, &KNOWN, at(ms));
        estimate.has_room(CALL.tokens(), 0)
    };
    expect_true!(has_room(&room, 1000));
    let first = room.run_started(CALL, CALL.prompt, Duration::ZERO, at(1000));
    expect_false!(has_room(&room, 1500));
    // An overdue prompt counts until its first event.
    expect_false!(has_room(&room, 9000));
    room.first_event(first, at(2025));
    expect_true!(has_room(&room, 2025));
    let _second = room.run_started(CALL, CALL.prompt, Duration::ZERO, at(2025));
    // A second prompt waits at a known one, and the third in the VM.
    expect_true!(has_room(&room, 2525));
    let _third = room.run_started(CALL, CALL.prompt, Duration::ZERO, at(2525));
    expect_false!(has_room(&room, 2525));
}

/// A selected call that is not sent yet must count, or all calls that are dispatched together go to one engine. One
/// that is never sent must not count for ever.
#[gtest]
fn room_is_kept_for_a_selected_call_for_a_short_time() {
    let mut room = UpstreamRoom::default();
    room.record_report(Some(LoadSample::default()), RoomReport::default(), at(900));
    let free = |room: &UpstreamRoom, ms| room.estimate(CALL, 0, &KNOWN, at(ms)).free_tokens;
    room.reserve(CALL, at(1000));
    expect_that!(free(&room, 1001), eq(CAPACITY - CALL.tokens()));
    let run = room.run_started(CALL, CALL.prompt, Duration::ZERO, at(1002));
    expect_that!(free(&room, 1002), eq(CAPACITY - CALL.tokens()));
    room.run_ended(run);
    room.reserve(CALL, at(1003));
    expect_that!(free(&room, 1300), eq(CAPACITY));
}

/// Reports come late and may stop: own dispatches since a report count beside it, and an old one counts no longer.
#[gtest]
fn memory_report_counts_with_the_dispatches_since_and_expires() {
    let mut room = UpstreamRoom::default();
    let memory = KvMemory::new(70_000, CAPACITY);
    let stated = RoomReport {
        memory,
        ..RoomReport::default()
    };
    room.record_report(None, stated, at(1000));
    let free = |room: &UpstreamRoom, ms| room.estimate(CALL, 0, &KNOWN, at(ms)).free_tokens;
    expect_that!(free(&room, 1000), eq(18_000));
    room.run_started(CALL, CALL.prompt, Duration::ZERO, at(1100));
    expect_that!(free(&room, 1200), eq(18_000 - CALL.tokens()));
    expect_that!(free(&room, 2500), eq(CAPACITY - CALL.tokens()));
}

/// An unreadable figure must neither erase what is known nor fill the log.
#[gtest]
fn unreadable_figure_changes_nothing_and_is_returned_once() {
    let mut room = UpstreamRoom::default();
    room.record_report(None, report(200), at(1000));
    let bad = RoomReport {
        unreadable: Some(ReportFigure::Slowdown),
        ..RoomReport::default()
    };
    expect_that!(
        room.record_report(None, bad, at(1100)),
        some(eq(ReportFigure::Slowdown))
    );
    expect_that!(room.record_report(None, bad, at(1200)), none());
    let call = CallSize {
        prompt: 8000,
        max_generated: 0,
    };
    let expected = room.estimate(call, 0, &KNOWN, at(1200)).first_event;
    expect_that!(expected, eq(Duration::from_secs(2)));
}

/// Runs a fleet of 58 VMs and 180 engines and returns the load of the busiest engine over the mean.
fn imbalance(calls_per_s: f64, demands: [f64; 3], seconds: u64) -> f64 {
    let mut fleet = Fleet::new(58, 180, 1);
    for (index, vm) in fleet.vms.iter_mut().enumerate() {
        // The first zone has 20 VMs, the others 19.
        let in_zone = if index % 3 == 0 { 20.0 } else { 19.0 };
        vm.demand = demands[index / 3 % 3] / in_zone;
    }
    fleet.run(10_000, calls_per_s);
    fleet.imbalance();
    fleet.run(1000 * seconds, calls_per_s);
    let imbalance = fleet.imbalance();
    println!("{calls_per_s} calls a second, demands {demands:?}: {imbalance:.2}");
    imbalance
}

/// Placement by the number of calls gave the busiest engine 2.45 times the mean.
#[gtest]
fn load_is_even_near_the_capacity() {
    expect_that!(imbalance(110.0, [1.0, 1.0, 1.0], 30), le(1.2));
    expect_that!(imbalance(110.0, [1.0, 3.0, 2.0], 30), le(1.4));
}

/// At the usual load, a VM must not keep to the few engines of its partition. An engine gets one call in 3 s, so only a
/// long mean shows more than chance.
#[gtest]
fn load_is_even_at_the_usual_load() {
    expect_that!(imbalance(56.0, [1.0, 1.0, 1.0], 200), le(1.2));
    expect_that!(imbalance(56.0, [1.0, 3.0, 2.0], 100), le(1.4));
}

/// VMs that lost engines of their zone must neither queue their calls at the rest of them nor all choose the same
/// engines elsewhere.
#[gtest]
fn no_prompt_waits_long_at_an_engine_after_the_loss_of_a_third_of_a_zone() {
    let mut fleet = Fleet::new(58, 180, 2);
    fleet.run(10_000, 90.0);
    for engine in (0..60).step_by(3) {
        fleet.fail(engine);
    }
    for engine in &mut fleet.engines {
        engine.longest_wait = 0;
    }
    fleet.run(15_000, 90.0);
    let longest = fleet.engines.iter().map(|engine| engine.longest_wait).max();
    let waiting = fleet.vms.iter().map(|vm| vm.waiting.len()).sum::<usize>();
    println!("longest wait at an engine {longest:?} ms, {waiting} calls wait in VMs");
    expect_that!(longest, some(le(1000)));
    expect_that!(waiting, le(20));
}

/// Guards against a large call that waits until its deadline, because an idle engine cannot hold it and another one, and
/// against sizes that callers invent.
#[gtest]
fn call_of_any_size_fits_into_an_idle_engine_only() {
    let size = |prompt| CallSize {
        prompt,
        max_generated: 1000,
    };
    let (now, mut room) = (at(1000), UpstreamRoom::default());
    let has_room = |room: &UpstreamRoom, prompt| {
        let call = size(prompt);
        let estimate = room.estimate(call, 0, &KNOWN, now);
        estimate.has_room(call.tokens(), call.tokens())
    };

    let idle = [60_000, u32::MAX].map(|prompt| has_room(&room, prompt));
    let runs = [100, u32::MAX].map(|prompt| room.run_started(size(prompt), 0, Duration::ZERO, now));
    let busy = has_room(&room, 60_000);
    for run in runs {
        room.run_ended(run);
    }

    expect_that!((idle, busy), eq(([true, true], false)));
    expect_that!(room.promised_tokens(), eq(0));
}
