use super::*;
use crate::{bundle_canonical::canonical_bundle, error::BundleFault};

/// Deadline of a call where neither the call nor the bundle names one.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(10);

/// Deadline of a generation where neither the call nor the bundle names one.
const DEFAULT_GENERATION_DEADLINE: Duration = Duration::from_secs(3600);

/// Reads and checks a bundle.
///
/// # Errors
///
/// Names the field that is wrong, and how.
pub fn read_bundle(version: BundleVersion, json: &str) -> Result<Bundle> {
    let bundle = serde_json::from_str(json).map_err(|source| Error::BundleSyntax { source })?;
    check_bundle(version, &bundle)
}

fn check_bundle(version: BundleVersion, bundle: &border_bundle::Bundle) -> Result<Bundle> {
    let teams = each("teams", &bundle.teams, check_team)?;
    let teams = sorted("teams", teams, |team: &Team| team.id.to_string())?;
    let services = each("services", &bundle.services, check_service)?;
    let services = sorted("services", services, |service: &Service| {
        service.id.to_string()
    })?;
    let upstreams = each("upstreams", &bundle.upstreams, check_upstream)?;
    let upstreams = sorted("upstreams", upstreams, |upstream: &Upstream| {
        upstream.id.to_string()
    })?;
    let bundle = Bundle {
        version,
        digest: canonical_bundle(bundle).1,
        teams,
        services,
        upstreams,
    };
    check_references(&bundle)?;
    Ok(bundle)
}

fn check_team(place: &str, entry: &border_bundle::TeamEntry) -> Result<Team> {
    Ok(Team {
        id: field(place, "name", entry.name.parse())?,
        key: field(place, "key_sha256", entry.key_sha256.parse())?,
        weight: entry.weight.get(),
        requests_per_second: entry.requests_per_second.map(std::num::NonZeroU32::get),
        tokens_per_second: entry.tokens_per_second.map(std::num::NonZeroU32::get),
    })
}

fn check_service(place: &str, entry: &border_bundle::ServiceEntry) -> Result<Service> {
    let kind = match entry.kind {
        border_bundle::ServiceKind::Generation => ServiceKind::Generation {
            model: check_model(place, entry.model.as_ref())?,
            recovery: match entry.recovery {
                Some(border_bundle::RecoveryPolicy::LeastWork) => RecoveryPolicy::LeastWork,
                Some(border_bundle::RecoveryPolicy::LeastWait) | None => RecoveryPolicy::LeastWait,
            },
        },
        border_bundle::ServiceKind::Plain => ServiceKind::Plain {
            paths: entry.paths.iter().map(path_rule).collect(),
        },
    };
    let default_deadline = match kind {
        ServiceKind::Generation { .. } => DEFAULT_GENERATION_DEADLINE,
        ServiceKind::Plain { .. } => DEFAULT_DEADLINE,
    };
    let mut teams = entry
        .teams
        .iter()
        .map(|team| field(place, "teams", team.parse()))
        .collect::<Result<Vec<_>>>()?;
    teams.sort();
    Ok(Service {
        id: field(place, "name", entry.name.parse())?,
        kind,
        teams,
        deadline: entry
            .deadline_ms
            .map_or(default_deadline, |ms| Duration::from_millis(ms.get())),
    })
}

fn check_model(place: &str, entry: Option<&border_bundle::ModelEntry>) -> Result<Model> {
    let model = entry.ok_or_else(|| fault(place, "model", BundleFault::ModelAbsent))?;
    Ok(Model {
        name: model.name.as_str().into(),
        version: model.version.as_str().into(),
        adapter: model.adapter.as_deref().map(Into::into),
    })
}

fn path_rule(entry: &border_bundle::PathRule) -> PathRule {
    PathRule {
        method: entry.method.as_str().into(),
        prefix: entry.prefix.as_str().into(),
        idempotent: entry.idempotent,
    }
}

fn check_upstream(place: &str, entry: &border_bundle::UpstreamEntry) -> Result<Upstream> {
    let mut services = entry
        .services
        .iter()
        .map(|service| field(place, "services", service.parse()))
        .collect::<Result<Vec<_>>>()?;
    services.sort();
    let address = entry.address.parse().map_err(|_| {
        fault(
            place,
            "address",
            BundleFault::Address(entry.address.clone()),
        )
    })?;
    Ok(Upstream {
        id: field(place, "id", entry.id.parse())?,
        address,
        zone: field(place, "availability_zone", entry.availability_zone.parse())?,
        services,
        enforces_fencing: entry.enforces_fencing,
        checks_orderer: entry.checks_orderer,
    })
}

fn check_references(bundle: &Bundle) -> Result<()> {
    for upstream in &bundle.upstreams {
        for service in &upstream.services {
            if bundle.service(service.as_str()).is_none() {
                let place = format!("upstream `{}`", upstream.id);
                return Err(fault(
                    &place,
                    "services",
                    BundleFault::Unknown(service.to_string()),
                ));
            }
        }
    }
    for service in &bundle.services {
        for team in &service.teams {
            if bundle.team(team).is_none() {
                let place = format!("service `{}`", service.id);
                return Err(fault(
                    &place,
                    "teams",
                    BundleFault::Unknown(team.to_string()),
                ));
            }
        }
    }
    Ok(())
}

fn each<A, B>(list: &str, entries: &[A], check: impl Fn(&str, &A) -> Result<B>) -> Result<Vec<B>> {
    entries
        .iter()
        .enumerate()
        .map(|(i, entry)| check(&format!("{list}[{i}]"), entry))
        .collect()
}

fn sorted<T>(list: &str, mut items: Vec<T>, name: impl Fn(&T) -> String) -> Result<Vec<T>> {
    items.sort_by_key(&name);
    match items
        .windows(2)
        .find(|pair| name(&pair[0]) == name(&pair[1]))
    {
        Some(pair) => Err(Error::BundleField {
            field: list.to_owned(),
            source: BundleFault::Duplicate(name(&pair[0])),
        }),
        None => Ok(items),
    }
}

fn field<T>(place: &str, name: &str, value: Result<T, catkin_decisions::Error>) -> Result<T> {
    value.map_err(|source| fault(place, name, source.into()))
}

fn fault(place: &str, name: &str, source: BundleFault) -> Error {
    Error::BundleField {
        field: format!("{place}.{name}"),
        source,
    }
}
