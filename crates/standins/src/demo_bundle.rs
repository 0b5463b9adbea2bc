use super::*;
use catkin_border::bundle;
use catkin_decisions::KeyHash;

/// Bearer key of the only team in [`demo_bundle()`].
pub const DEMO_KEY: &str = "demo-key";

/// Returns a bundle with one team, and one generation service on the given engines.
#[must_use]
pub fn demo_bundle(engines: &[SocketAddr], recovery: bundle::RecoveryPolicy) -> bundle::Bundle {
    bundle::Bundle {
        services: vec![bundle::ServiceEntry {
            deadline_ms: None,
            kind: bundle::ServiceKind::Generation,
            model: Some(bundle::ModelEntry {
                adapter: None,
                name: "catkin".to_owned(),
                version: "1".to_owned(),
            }),
            name: "ticket-model".to_owned(),
            paths: Vec::new(),
            recovery: Some(recovery),
            teams: Vec::new(),
        }],
        teams: vec![bundle::TeamEntry {
            key_sha256: KeyHash::of(DEMO_KEY).to_string(),
            name: "counter".to_owned(),
            requests_per_second: None,
            tokens_per_second: None,
            weight: std::num::NonZeroU32::MIN,
        }],
        upstreams: engines
            .iter()
            .enumerate()
            .map(|(i, address)| bundle::UpstreamEntry {
                address: address.to_string(),
                availability_zone: "zone-1".to_owned(),
                checks_orderer: false,
                enforces_fencing: true,
                id: format!("engine-{i}"),
                services: vec!["ticket-model".to_owned()],
            })
            .collect(),
    }
}
