use super::*;

/// An engine and the models that the bundle in force assigns to it.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineTarget {
    /// Upstream id of the engine.
    pub upstream: UpstreamId,
    /// Availability zone of the engine.
    pub zone: AvailabilityZone,
    /// Assigned models, sorted.
    pub models: Vec<Model>,
}

/// Engines that receive orders under one lease: those of a generation service and of all services
/// that share engines with it. With one lease per service, two holders would send orders to a
/// shared engine under terms that cannot be compared.
#[derive(Clone, Debug, PartialEq)]
pub struct OrderScope {
    /// Name of the lease.
    pub name: Arc<str>,
    /// Engines with their assigned models, sorted by engine.
    pub targets: Vec<EngineTarget>,
}

/// Returns the order scopes of a bundle, sorted by name.
#[must_use]
pub fn order_scopes(bundle: &Bundle) -> Vec<OrderScope> {
    let mut groups: Vec<(Vec<&ServiceId>, Vec<EngineTarget>)> = Vec::new();
    for upstream in &bundle.upstreams {
        let (mut services, models) = generation_services(bundle, upstream);
        if services.is_empty() {
            continue;
        }
        let mut targets = vec![EngineTarget {
            upstream: upstream.id.clone(),
            zone: upstream.zone.clone(),
            models,
        }];
        for (other, members) in std::mem::take(&mut groups) {
            if other.iter().any(|service| services.contains(service)) {
                services.extend(other);
                targets.extend(members);
            } else {
                groups.push((other, members));
            }
        }
        services.sort_unstable();
        services.dedup();
        groups.push((services, targets));
    }
    let mut scopes = groups.into_iter().map(scope).collect::<Vec<_>>();
    scopes.sort_by(|a, b| a.name.cmp(&b.name));
    scopes
}

fn scope((services, mut targets): (Vec<&ServiceId>, Vec<EngineTarget>)) -> OrderScope {
    targets.sort_by(|a, b| a.upstream.cmp(&b.upstream));
    OrderScope {
        name: format!("orders/{}", services[0]).into(),
        targets,
    }
}

fn generation_services<'b>(
    bundle: &'b Bundle,
    upstream: &'b Upstream,
) -> (Vec<&'b ServiceId>, Vec<Model>) {
    let (services, mut models): (Vec<_>, Vec<_>) = upstream
        .services
        .iter()
        .filter_map(|id| match &bundle.service(id.as_str())?.kind {
            ServiceKind::Generation { model, .. } => Some((id, model.clone())),
            ServiceKind::Plain { .. } => None,
        })
        .unzip();
    models.sort();
    models.dedup();
    (services, models)
}
