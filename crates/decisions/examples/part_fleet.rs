//! Prints how often parts that crash engines are sent on, and how often sound requests are refused, over seeds.

#[path = "../tests/part_fleet_support/mod.rs"]
mod part_fleet_support;

use part_fleet_support::{Scenario, Trouble, play};

const SEEDS: u64 = 20;

fn main() {
    let base = Scenario::default();
    println!(
        "scenario\tengines lost, mean and most\tlate sends, most\tdays over three\tsound begun, least\tsound refused, mean\tbytes/s"
    );
    for vms in [8, 60, 400, 1000] {
        show(&format!("{vms} VMs"), Scenario { vms, ..base });
    }
    for gap in [100, 1_000, 4_000] {
        let scenario = Scenario {
            crashing_gap_ms: gap,
            ..base
        };
        show(&format!("a crashing request each {gap} ms"), scenario);
    }
    for sound_gap_ms in [40, 1_000] {
        let scenario = Scenario {
            sound_gap_ms,
            ..base
        };
        show(&format!("a sound request each {sound_gap_ms} ms"), scenario);
    }
    for shared in [(1, 1), (1, 5_000), (5_000, 5_000)] {
        let name = format!("{} first parts, {} second ones", shared.0, shared.1);
        show(&name, Scenario { shared, ..base });
    }
    let trouble = Scenario {
        troubles: &[Trouble::Restarts, Trouble::Outages],
        loss: 0.2,
        ..base
    };
    show("restarts, outages, a fifth of reports lost", trouble);
    show(
        "the same, two parts",
        Scenario {
            crashing: 2,
            ..trouble
        },
    );
    show(
        "sound before",
        Scenario {
            troubles: &[Trouble::SoundBefore],
            ..base
        },
    );
    let none = Scenario {
        crashing_gap_ms: 1_000_000,
        troubles: &[Trouble::Outages],
        ..base
    };
    show("outages only", none);
}

/// Plays the scenario with each seed, and prints a row.
fn show(name: &str, scenario: Scenario) {
    let seeds = if scenario.vms > 100 { SEEDS / 4 } else { SEEDS };
    let days = (0..seeds)
        .map(|seed| play(scenario, seed))
        .collect::<Vec<_>>();
    let late = |day: &part_fleet_support::Day| day.late_sends.iter().copied().max().unwrap_or(0);
    let lost = days.iter().map(|day| day.crashes.iter().sum::<usize>());
    let mean = lost.clone().sum::<usize>() / days.len();
    let most = lost.max().unwrap_or(0);
    let most_late = days.iter().map(late).max().unwrap_or(0);
    let over = days.iter().filter(|day| late(day) > 3).count();
    let shares = days.iter().filter(|day| day.sound >= 20);
    let least = shares.map(|day| 100 * day.sound_begun / day.sound).min();
    let bytes = days.iter().map(|day| day.report_bytes / 60).sum::<usize>() / days.len();
    let least = least.map_or_else(|| "-".to_owned(), |share| format!("{share} %"));
    let sound = days.iter().map(|day| day.all_sound).sum::<usize>();
    let refused = days.iter().map(|day| day.sound_refused).sum::<usize>();
    let tenths = 1000 * refused / sound;
    let refused = format!("{}.{} %", tenths / 10, tenths % 10);
    println!("{name}\t{mean}, {most}\t{most_late}\t{over} of {seeds}\t{least}\t{refused}\t{bytes}");
}
