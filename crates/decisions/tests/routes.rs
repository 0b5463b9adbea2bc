//! Route lookup, and selection of the configuration in force.

use catkin_decisions::{
    CallKind, CallerKey, CallerLimits, ConfigVersion, NewestConfig, Route, RouteTable, RouteTarget,
    RoutingConfig,
};
use googletest::prelude::*;
use proptest::prelude::*;
use std::{sync::Arc, time::Duration};

fn route(host: &str, prefix: &str) -> Route {
    Route {
        name: format!("{host}{prefix}").into(),
        host: host.into(),
        prefix: prefix.into(),
        kind: CallKind::Idempotent,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(100),
        target_event_gap: None,
        priority: 1,
        targets: vec![
            RouteTarget {
                service: "old".parse().unwrap(),
                weight: 90,
            },
            RouteTarget {
                service: "new".parse().unwrap(),
                weight: 10,
            },
        ],
        max_upstreams: 1,
        public: false,
    }
}

fn config(version: u64) -> Arc<RoutingConfig> {
    let key = |key: &str, team: &str| CallerKey {
        key: key.into(),
        team: team.parse().unwrap(),
        priority: None,
    };
    Arc::new(RoutingConfig {
        bytes: 0,
        version: ConfigVersion(version),
        routes: RouteTable::default(),
        services: Vec::new(),
        limits: CallerLimits {
            head_bytes: 1,
            body_bytes: 1,
            head_timeout: Duration::ZERO,
            idle_timeout: Duration::ZERO,
        },
        keys: Some(RoutingConfig::sorted_keys(vec![
            key("k2", "t2"),
            key("k1", "t1"),
        ])),
    })
}

proptest! {
    /// The table finds the same route among nested prefixes as a linear search does.
    #[test]
    fn longest_prefix_of_the_host_wins(
        prefixes in prop::collection::vec("(/[ab]{0,2}){0,3}/", 1..30),
        path in "(/[ab]{0,2}){0,4}/?[ab]{0,2}",
    ) {
        let routes = prefixes.iter().map(|prefix| route("h", prefix)).collect::<Vec<_>>();
        let table = RouteTable::new(routes);

        let found = table.find("h", &path).map(|route| route.prefix.to_string());

        let expected = prefixes
            .iter()
            .filter(|prefix| path.starts_with(prefix.as_str()))
            .max_by_key(|prefix| prefix.len())
            .cloned();
        prop_assert_eq!(found, expected);
        prop_assert!(table.find("other", &path).is_none());
    }
}

/// One of two services has a tenth of the weight. The same draw always selects the same service.
#[gtest]
fn calls_are_split_by_target_weight() {
    let route = route("h", "/");

    let calls_to_new = (0..1000)
        .filter(|draw| route.service_for(*draw).unwrap().as_str() == "new")
        .count();

    expect_that!(calls_to_new, eq(100));
    expect_that!(route.service_for(7), eq(route.service_for(7)));
}

/// A stale read of the store returns an older configuration after a newer one. If it were applied, a
/// revoked key would be accepted again.
#[gtest]
fn older_configuration_is_ignored() {
    let mut newest = NewestConfig::default();

    let applied = [5, 3, 5, 9].map(|version| newest.advance(config(version)));

    expect_that!(applied, eq([true, false, false, true]));
    expect_that!(newest.get().unwrap().version, eq(ConfigVersion(9)));
}

/// Each key maps to its team, and prefixes of keys or empty texts are not accepted.
#[gtest]
fn key_maps_to_its_team() {
    let config = config(1);

    let team = |key: &str| config.find_key(key).map(|found| found.team.to_string());

    expect_that!(team("k1"), some(eq("t1")));
    expect_that!(team("k2"), some(eq("t2")));
    expect_that!(team("k"), none());
    expect_that!(team(""), none());
}
