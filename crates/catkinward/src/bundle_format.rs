use super::*;
use crate::error::BundleError;

/// Deadline of a call if neither the call nor the bundle sets one.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(10);

/// Deadline of a generation if neither the call nor the bundle sets one.
const DEFAULT_GENERATION_DEADLINE: Duration = Duration::from_secs(3600);

/// Validates a bundle and sorts its lists.
///
/// # Errors
///
/// Names the invalid field and the reason.
pub(crate) fn check_bundle(
    version: BundleVersion,
    digest: BundleDigest,
    bundle: &bundle_api::Bundle,
) -> Result<Bundle> {
    let teams = check_each("teams", &bundle.teams, check_team)?;
    let teams = sort_distinct("teams", teams, |team: &Team| team.id.to_string())?;
    let services = check_each("services", &bundle.services, check_service)?;
    let services = sort_distinct("services", services, |service: &Service| {
        service.id.to_string()
    })?;
    let upstreams = check_each("upstreams", &bundle.upstreams, check_upstream)?;
    let upstreams = sort_distinct("upstreams", upstreams, |upstream: &Upstream| {
        upstream.id.to_string()
    })?;
    let bundle = Bundle {
        version,
        digest,
        teams,
        services,
        upstreams,
    };
    check_keys(&bundle)?;
    check_references(&bundle)?;
    Ok(bundle)
}

fn check_team(path: &str, entry: &bundle_api::TeamEntry) -> Result<Team> {
    Ok(Team {
        id: field(path, "name", entry.name.parse())?,
        key: field(path, "key_sha256", entry.key_sha256.parse())?,
        weight: entry.weight.get(),
        requests_per_second: entry.requests_per_second.map(std::num::NonZeroU32::get),
        tokens_per_second: entry.tokens_per_second.map(std::num::NonZeroU32::get),
    })
}

fn check_service(path: &str, entry: &bundle_api::ServiceEntry) -> Result<Service> {
    check_kind(path, entry)?;
    let kind = match entry.kind {
        bundle_api::ServiceKind::Generation => ServiceKind::Generation {
            model: check_model(path, entry.model.as_ref())?,
            recovery: match entry.recovery {
                Some(bundle_api::RecoveryPolicy::LeastWork) => RecoveryPolicy::LeastWork,
                Some(bundle_api::RecoveryPolicy::LeastWait) | None => RecoveryPolicy::LeastWait,
            },
        },
        bundle_api::ServiceKind::Plain => ServiceKind::Plain {
            paths: check_paths(path, &entry.paths)?,
        },
    };
    let default_deadline = match kind {
        ServiceKind::Generation { .. } => DEFAULT_GENERATION_DEADLINE,
        ServiceKind::Plain { .. } => DEFAULT_DEADLINE,
    };
    let mut teams = entry
        .teams
        .iter()
        .map(|team| field(path, "teams", team.parse()))
        .collect::<Result<Vec<_>>>()?;
    teams.sort();
    check_distinct(path, "teams", &teams)?;
    Ok(Service {
        id: field(path, "name", entry.name.parse())?,
        kind,
        teams,
        deadline: entry
            .deadline_ms
            .map_or(default_deadline, |ms| Duration::from_millis(ms.get())),
    })
}

fn check_model(path: &str, entry: Option<&bundle_api::ModelEntry>) -> Result<Model> {
    let model = entry.ok_or_else(|| field_error(path, "model", BundleError::MissingModel))?;
    let text = |name: &str, value: &str| match value {
        "" => Err(field_error(
            path,
            &format!("model.{name}"),
            BundleError::Empty,
        )),
        value => Ok(value.into()),
    };
    Ok(Model {
        name: text("name", &model.name)?,
        version: text("version", &model.version)?,
        adapter: match &model.adapter {
            Some(adapter) => Some(text("adapter", adapter)?),
            None => None,
        },
    })
}

/// Rejects fields that only the other kind of service has: they would be ignored, and the author of
/// the bundle would assume that they are in force.
fn check_kind(path: &str, entry: &bundle_api::ServiceEntry) -> Result<()> {
    let other_kind_fields = match entry.kind {
        bundle_api::ServiceKind::Generation => [("paths", !entry.paths.is_empty())].to_vec(),
        bundle_api::ServiceKind::Plain => [
            ("model", entry.model.is_some()),
            ("recovery", entry.recovery.is_some()),
        ]
        .to_vec(),
    };
    match other_kind_fields.iter().find(|(_, present)| *present) {
        Some((name, _)) => Err(field_error(
            path,
            name,
            BundleError::WrongServiceKind(entry.kind),
        )),
        None => Ok(()),
    }
}

fn check_paths(path: &str, entries: &[bundle_api::PathRule]) -> Result<Vec<PathRule>> {
    let rules = entries.iter().enumerate().map(|(i, entry)| {
        let path = format!("{path}.paths[{i}]");
        if entry.method.is_empty() || !entry.method.bytes().all(|b| b.is_ascii_uppercase()) {
            return Err(field_error(&path, "method", BundleError::Method));
        }
        if !entry.prefix.starts_with('/') {
            return Err(field_error(&path, "prefix", BundleError::Prefix));
        }
        Ok(PathRule {
            method: entry.method.as_str().into(),
            prefix: entry.prefix.as_str().into(),
            idempotent: entry.idempotent,
        })
    });
    let rules = rules.collect::<Result<Vec<_>>>()?;
    let mut names = rules
        .iter()
        .map(|rule| format!("{} {}", rule.method, rule.prefix))
        .collect::<Vec<_>>();
    names.sort();
    check_distinct(path, "paths", &names)?;
    Ok(rules)
}

/// Rejects a sorted list with duplicate entries.
fn check_distinct<T: PartialEq + std::fmt::Display>(
    path: &str,
    name: &str,
    sorted: &[T],
) -> Result<()> {
    match sorted.windows(2).find(|pair| pair[0] == pair[1]) {
        Some(pair) => Err(field_error(
            path,
            name,
            BundleError::Duplicate(pair[0].to_string()),
        )),
        None => Ok(()),
    }
}

fn check_upstream(path: &str, entry: &bundle_api::UpstreamEntry) -> Result<Upstream> {
    let mut services = entry
        .services
        .iter()
        .map(|service| field(path, "services", service.parse()))
        .collect::<Result<Vec<_>>>()?;
    services.sort();
    check_distinct(path, "services", &services)?;
    let address = entry
        .address
        .parse()
        .map_err(|_| field_error(path, "address", BundleError::Address(entry.address.clone())))?;
    Ok(Upstream {
        id: field(path, "id", entry.id.parse())?,
        address,
        zone: field(path, "availability_zone", entry.availability_zone.parse())?,
        services,
        enforces_fencing: entry.enforces_fencing,
        checks_orderer: entry.checks_orderer,
    })
}

/// Rejects a key that two teams share: calls of one team would be counted as calls of the other.
fn check_keys(bundle: &Bundle) -> Result<()> {
    let mut teams = bundle.teams.iter().collect::<Vec<_>>();
    teams.sort_by_key(|team| team.key);
    match teams.windows(2).find(|pair| pair[0].key == pair[1].key) {
        Some(pair) => Err(field_error(
            &format!("team `{}`", pair[1].id),
            "key_sha256",
            BundleError::DuplicateKey(pair[0].id.clone()),
        )),
        None => Ok(()),
    }
}

fn check_references(bundle: &Bundle) -> Result<()> {
    for upstream in &bundle.upstreams {
        for service in &upstream.services {
            if bundle.service(service.as_str()).is_none() {
                let path = format!("upstream `{}`", upstream.id);
                return Err(field_error(
                    &path,
                    "services",
                    BundleError::Unknown(service.to_string()),
                ));
            }
        }
    }
    for service in &bundle.services {
        for team in &service.teams {
            if bundle.team(team).is_none() {
                let path = format!("service `{}`", service.id);
                return Err(field_error(
                    &path,
                    "teams",
                    BundleError::Unknown(team.to_string()),
                ));
            }
        }
    }
    Ok(())
}

fn check_each<A, B>(
    list: &str,
    entries: &[A],
    check: impl Fn(&str, &A) -> Result<B>,
) -> Result<Vec<B>> {
    entries
        .iter()
        .enumerate()
        .map(|(i, entry)| check(&format!("{list}[{i}]"), entry))
        .collect()
}

fn sort_distinct<T>(list: &str, mut items: Vec<T>, name: impl Fn(&T) -> String) -> Result<Vec<T>> {
    items.sort_by_key(&name);
    match items
        .windows(2)
        .find(|pair| name(&pair[0]) == name(&pair[1]))
    {
        Some(pair) => Err(Error::BundleField {
            field: list.to_owned(),
            source: BundleError::Duplicate(name(&pair[0])),
        }),
        None => Ok(items),
    }
}

fn field<T>(path: &str, name: &str, value: Result<T, catkin_decisions::Error>) -> Result<T> {
    value.map_err(|source| field_error(path, name, source.into()))
}

fn field_error(path: &str, name: &str, source: BundleError) -> Error {
    Error::BundleField {
        field: format!("{path}.{name}"),
        source,
    }
}
