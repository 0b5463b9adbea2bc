//! Choice of the model version for a new request during a rollout.
//!
//! Load pattern: a bundle with a new model version takes effect within seconds, but loading takes minutes.
//! If every new request used the new version at once, none could be served at first, and then all would go
//! to the first engine that has loaded it.

use super::*;

/// The model version that serves a new request. A share of the requests gets the version that the bundle
/// names, in proportion to the engines that have loaded it; the others get the version that most of the
/// remaining engines have loaded. `random` distributes the requests; equal values give the same model.
#[must_use]
pub fn serving_model(wanted: &Model, engines: &[Vec<Model>], random: u64) -> Model {
    let holds = |models: &[Model], model: &Model| models.iter().any(|m| m.satisfies(model));
    let (ready, rest): (Vec<_>, Vec<_>) = engines.iter().partition(|models| holds(models, wanted));
    let mut versions = rest
        .iter()
        .flat_map(|models| models.iter())
        .map(|loaded| Model {
            version: loaded.version.clone(),
            ..wanted.clone()
        })
        .collect::<Vec<_>>();
    versions.sort();
    versions.dedup();
    let holders = |model: &Model| rest.iter().filter(|models| holds(models, model)).count();
    let counted = versions.iter().map(|model| (holders(model), model));
    let most_common = counted.filter(|(count, _)| *count > 0).max();
    let Some((count, other)) = most_common else {
        return wanted.clone();
    };
    let total = u64::try_from(ready.len() + count).unwrap_or(u64::MAX);
    if random % total < u64::try_from(ready.len()).unwrap_or(u64::MAX) {
        wanted.clone()
    } else {
        other.clone()
    }
}
