use super::*;

/// Engines that keep an old version in use: one can die, and its streams still are resumed.
const KEEPERS: usize = 2;

/// An engine as the planner sees it; `report` is `None` if there is none that may be acted on.
pub(crate) struct EngineView<'a> {
    pub(crate) target: &'a EngineGoal,
    pub(crate) report: Option<&'a EngineReport>,
    /// Models that are being loaded there.
    pub(crate) loading: Vec<Model>,
}

/// Models of a wanted state that the engine doesn't hold.
pub(crate) fn missing(models: &[Model], view: &EngineView) -> Vec<Model> {
    let absent = |model: &&Model| !view.report.is_some_and(|report| report.has(model));
    models.iter().filter(absent).cloned().collect()
}

/// Whether an engine shall hold some version of a model.
fn has_name(view: &EngineView, model: &Model) -> bool {
    view.target.models.iter().any(|m| m.name == model.name)
}

/// Whether one more engine may load a model now.
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
    let busy = others()
        .filter(|(_, view)| !view.loading.is_empty())
        .count();
    let replicas = |view: &EngineView| view.report.is_some() && has_name(view, model);
    let serving = others()
        .filter(|(_, view)| replicas(view) && view.loading.is_empty())
        .count();
    let alone = !others().any(|(_, view)| replicas(view));
    busy < max_concurrent_loads.max(1) && (alone || serving > 0)
}

/// The engines that keep an old model: those that have it first, then those with most streams on it,
/// and a second one in another availability zone if there is any.
pub(crate) fn keepers(model: &Model, views: &[EngineView]) -> Vec<UpstreamId> {
    let able = |view: &&EngineView| view.report.is_some() && has_name(view, model);
    let mut able = views.iter().filter(able).collect::<Vec<_>>();
    let rank = |view: &&EngineView| {
        let streams = view.report.and_then(|report| report.streams(model));
        std::cmp::Reverse(streams.map(|n| n + 1).unwrap_or_default())
    };
    able.sort_by_key(rank);
    let Some(first) = able.first().copied() else {
        return Vec::new();
    };
    let second = able[1..]
        .iter()
        .find(|view| view.target.zone != first.target.zone)
        .or(able.get(1));
    let chosen = std::iter::once(first).chain(second.copied());
    chosen
        .take(KEEPERS)
        .map(|view| view.target.upstream.clone())
        .collect()
}
