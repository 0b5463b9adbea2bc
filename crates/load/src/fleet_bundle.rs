use super::*;
use catkin_decisions::KeyHash;

/// Name of the generation service of a fleet.
pub const GENERATION_SERVICE: &str = "ticket-model";

/// Name of the plain service of a fleet.
pub const PLAIN_SERVICE: &str = "shopfront";

/// Returns the bearer key of a team.
#[must_use]
pub fn team_key(team: usize) -> String {
    format!("key-of-team-{team}")
}

/// Returns the bundle of a fleet: one generation service, one plain service and teams of equal weight.
#[must_use]
pub fn fleet_bundle(
    size: FleetSize,
    recovery: RecoveryPolicy,
    engines: &[SocketAddr],
    plain_upstreams: &[SocketAddr],
) -> bundle::Bundle {
    let upstream = |service: &'static str| {
        move |(i, address): (usize, &SocketAddr)| bundle::UpstreamEntry {
            address: address.to_string(),
            availability_zone: format!("zone-{}", i % size.zones),
            checks_orderer: false,
            enforces_fencing: true,
            id: format!("{service}-{i}"),
            services: vec![service.to_owned()],
        }
    };
    let engines = engines.iter().enumerate().map(upstream(GENERATION_SERVICE));
    let plain_upstreams = plain_upstreams
        .iter()
        .enumerate()
        .map(upstream(PLAIN_SERVICE));
    bundle::Bundle {
        services: vec![generation_service(recovery), plain_service()],
        teams: (0..size.teams).map(team).collect(),
        upstreams: engines.chain(plain_upstreams).collect(),
    }
}

fn generation_service(recovery: RecoveryPolicy) -> bundle::ServiceEntry {
    bundle::ServiceEntry {
        deadline_ms: None,
        kind: bundle::ServiceKind::Generation,
        model: Some(bundle::ModelEntry {
            adapter: None,
            name: "catkin".to_owned(),
            version: "1".to_owned(),
        }),
        name: GENERATION_SERVICE.to_owned(),
        paths: Vec::new(),
        recovery: Some(recovery),
        teams: Vec::new(),
    }
}

fn plain_service() -> bundle::ServiceEntry {
    bundle::ServiceEntry {
        deadline_ms: None,
        kind: bundle::ServiceKind::Plain,
        model: None,
        name: PLAIN_SERVICE.to_owned(),
        paths: vec![bundle::PathRule {
            idempotent: true,
            method: "GET".to_owned(),
            prefix: "/".to_owned(),
        }],
        recovery: None,
        teams: Vec::new(),
    }
}

fn team(i: usize) -> bundle::TeamEntry {
    bundle::TeamEntry {
        key_sha256: KeyHash::of(team_key(i)).to_string(),
        name: format!("team-{i}"),
        requests_per_second: None,
        tokens_per_second: None,
        weight: std::num::NonZeroU32::MIN,
    }
}
