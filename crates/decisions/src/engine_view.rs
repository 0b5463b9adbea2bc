use super::*;

/// Number of engines that retain an old model version in use. With two, the streams of one that crashes can
/// resume on the other.
const RETAINING_ENGINES: usize = 2;

/// An engine as the order planner sees it; `report` is `None` if there is no usable report.
pub(crate) struct EngineView<'a> {
    pub(crate) target: &'a EngineTarget,
    pub(crate) report: Option<&'a EngineReport>,
    /// Models that the engine is loading.
    pub(crate) loading: Vec<Model>,
}

/// The desired models that the engine has not loaded.
pub(crate) fn missing_models(models: &[Model], view: &EngineView) -> Vec<Model> {
    let absent = |model: &&Model| !view.report.is_some_and(|report| report.is_loaded(model));
    models.iter().filter(absent).cloned().collect()
}

/// Whether some version of a model is desired on an engine.
fn wants_some_version(view: &EngineView, model: &Model) -> bool {
    view.target.models.iter().any(|m| m.name == model.name)
}

/// Whether engine `i` may load a model now: it is loading it already, or fewer than `max_concurrent_loads`
/// other engines are loading and another replica serves the model meanwhile, unless there is no other replica.
pub(crate) fn may_load(
    i: usize,
    model: &Model,
    views: &[EngineView],
    max_concurrent_loads: usize,
) -> bool {
    if views[i].loading.contains(model) {
        return true;
    }
    let others = || views.iter().enumerate().filter(|(j, _)| *j != i);
    let loading_engines = others()
        .filter(|(_, view)| !view.loading.is_empty())
        .count();
    let is_replica = |view: &EngineView| view.report.is_some() && wants_some_version(view, model);
    let serving = others()
        .filter(|(_, view)| is_replica(view) && view.loading.is_empty())
        .count();
    let is_only_replica = !others().any(|(_, view)| is_replica(view));
    loading_engines < max_concurrent_loads.max(1) && (is_only_replica || serving > 0)
}

/// The engines that retain an old model. Engines that have it loaded are preferred, and among them those
/// with the most streams on it. The second one is in another availability zone if possible.
pub(crate) fn retaining_engines(model: &Model, views: &[EngineView]) -> Vec<UpstreamId> {
    let is_replica = |view: &&EngineView| view.report.is_some() && wants_some_version(view, model);
    let mut replicas = views.iter().filter(is_replica).collect::<Vec<_>>();
    let rank = |view: &&EngineView| {
        let streams = view.report.and_then(|report| report.streams(model));
        std::cmp::Reverse(streams.map(|n| n + 1).unwrap_or_default())
    };
    replicas.sort_by_key(rank);
    let Some(first) = replicas.first().copied() else {
        return Vec::new();
    };
    let second = replicas[1..]
        .iter()
        .find(|view| view.target.zone != first.target.zone)
        .or(replicas.get(1));
    let chosen = std::iter::once(first).chain(second.copied());
    chosen
        .take(RETAINING_ENGINES)
        .map(|view| view.target.upstream.clone())
        .collect()
}
