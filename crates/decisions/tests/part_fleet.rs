//! A fleet whose engines crash under parts of prompts, counted over all VMs.

mod part_fleet_support;

use part_fleet_support::{Day, Scenario, Trouble, play};
use proptest::prelude::{any, prop_assert, prop_oneof, proptest};

/// Most sends with a crashing part later than the stable window after its fifth crash.
const MAX_LATE_SENDS: usize = 3;

/// Least number of sound first attempts for their share to count.
const MIN_SOUND: usize = 20;

fn holds(day: &Day) -> bool {
    let sound_is_served = day.sound < MIN_SOUND || 2 * day.sound_begun >= day.sound;
    day.late_sends.iter().all(|late| *late <= MAX_LATE_SENDS) && sound_is_served
}

proptest! {
    #![proptest_config(proptest::prelude::ProptestConfig::with_cases(12))]

    /// Guards against sending requests with a part that crashes engines on, since each request is new.
    #[test]
    fn crashing_part_is_sent_three_times_at_most_after_its_fifth_crash(
        seed in any::<u64>(),
        vms in prop_oneof![8_usize..=25, 26_usize..=90],
        gap in 100_u64..2_000,
    ) {
        let scenario = Scenario { vms, crashing_gap_ms: gap, ..Scenario::default() };
        let day = play(scenario, seed);
        prop_assert!(day.crashes[0] >= 3, "{day:?}");
        prop_assert!(holds(&day), "{day:?}");
    }

    /// Guards against VMs that start again and send what the others know to crash engines.
    #[test]
    fn vms_that_restart_send_no_crashing_part(
        seed in any::<u64>(),
        vms in prop_oneof![8_usize..=25, 26_usize..=60],
    ) {
        let scenario = Scenario { vms, troubles: &[Trouble::Restarts], ..Scenario::default() };
        let day = play(scenario, seed);
        prop_assert!(holds(&day), "{day:?}");
    }

    /// Guards against one crashing part hiding another.
    #[test]
    fn two_crashing_parts_are_both_found(seed in any::<u64>(), gap in 100_u64..1_500) {
        let scenario = Scenario { crashing: 2, crashing_gap_ms: gap, ..Scenario::default() };
        let day = play(scenario, seed);
        prop_assert!(holds(&day), "{day:?}");
    }

    /// Guards against trusting a part for ever because it was sound once.
    #[test]
    fn part_that_was_sound_before_is_found(seed in any::<u64>(), gap in 200_u64..1_000) {
        let scenario = Scenario { troubles: &[Trouble::SoundBefore], crashing_gap_ms: gap, ..Scenario::default() };
        let day = play(scenario, seed);
        prop_assert!(holds(&day), "{day:?}");
    }

    /// Guards against refusing sound requests after crashes of zones, and of all engines, that no part caused.
    #[test]
    fn outages_of_engines_do_not_stop_sound_requests(
        seed in any::<u64>(),
        first in 1_usize..8,
        second in 1_usize..400,
        gap in 60_u64..1_000,
    ) {
        let scenario = Scenario {
            crashing: 1,
            crashing_gap_ms: 1_000_000,
            troubles: &[Trouble::Outages],
            shared: (first, second),
            sound_gap_ms: gap,
            ..Scenario::default()
        };
        let day = play(scenario, seed);
        prop_assert!(holds(&day), "{day:?}");
    }

    /// Guards against a VM whose path is broken and that makes all VMs refuse what its calls share with theirs.
    #[test]
    fn broken_path_of_a_vm_does_not_stop_sound_requests(
        seed in any::<u64>(),
        first in 1_usize..40,
        second in 1_usize..400,
        gap in 40_u64..1_000,
    ) {
        let scenario = Scenario {
            crashing_gap_ms: 1_000_000,
            troubles: &[Trouble::BrokenPath],
            shared: (first, second),
            sound_gap_ms: gap,
            ..Scenario::default()
        };
        let day = play(scenario, seed);
        prop_assert!(holds(&day), "{day:?}");
    }

    /// Guards against a caller whose requests crash engines for reasons of their own and name a part of others.
    #[test]
    fn made_up_parts_do_not_stop_sound_requests(
        seed in any::<u64>(),
        first in 1_usize..8,
        gap in 60_u64..500,
    ) {
        let scenario = Scenario {
            crashing_gap_ms: 1_000_000,
            troubles: &[Trouble::InventedParts],
            shared: (first, 200),
            sound_gap_ms: gap,
            ..Scenario::default()
        };
        let day = play(scenario, seed);
        prop_assert!(holds(&day), "{day:?}");
    }

    /// Guards against refusing sound requests beside a crashing part while zones crash.
    #[test]
    fn crashing_part_is_found_beside_outages(seed in any::<u64>(), gap in 200_u64..1_500) {
        let scenario = Scenario { troubles: &[Trouble::Outages], crashing_gap_ms: gap, ..Scenario::default() };
        let day = play(scenario, seed);
        prop_assert!(holds(&day), "{day:?}");
    }
}

proptest! {
    #![proptest_config(proptest::prelude::ProptestConfig::with_cases(3))]

    /// Guards against crashes that do not reach all VMs of a large fleet in time.
    #[test]
    fn crashing_part_is_known_to_four_hundred_vms(seed in any::<u64>(), gap in 60_u64..600) {
        let scenario = Scenario {
            vms: 400,
            crashing_gap_ms: gap,
            sound_gap_ms: 60,
            troubles: &[Trouble::Restarts],
            ..Scenario::default()
        };
        let day = play(scenario, seed);
        prop_assert!(holds(&day), "{day:?}");
    }
}
