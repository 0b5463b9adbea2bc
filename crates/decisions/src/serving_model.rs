use super::*;

/// The model that a new request of a service gets while a version is rolled out: the one that the
/// bundle wants, in proportion to the engines that hold it already, and otherwise the other version
/// that most of the rest hold.
///
/// Load pattern: a bundle with a new model version is in force within seconds, but loading takes
/// minutes. If every new request asked for the new version at once, none could be served at first,
/// and then all would go to the one engine that holds it. `random` spreads them; the same number
/// gives the same model.
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
    let most = counted.filter(|(count, _)| *count > 0).max();
    let Some((count, other)) = most else {
        return wanted.clone();
    };
    let of_all = u64::try_from(ready.len() + count).unwrap_or(u64::MAX);
    if random % of_all < u64::try_from(ready.len()).unwrap_or(u64::MAX) {
        wanted.clone()
    } else {
        other.clone()
    }
}
