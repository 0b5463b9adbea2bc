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
pub fn serving_model(wanted: &Model, engines: &[&[Model]], random: u64) -> Model {
    let (ready, rest): (Vec<&[Model]>, Vec<&[Model]>) = engines
        .iter()
        .copied()
        .partition(|models| models.contains(wanted));
    let mut others = rest
        .iter()
        .flat_map(|models| models.iter())
        .filter(|model| model.name == wanted.name && model.adapter == wanted.adapter)
        .collect::<Vec<_>>();
    others.sort();
    let Some(other) = others.chunk_by(|a, b| a == b).max_by_key(|same| same.len()) else {
        return wanted.clone();
    };
    let (ready, other, count) = (ready.len(), other[0], other.len());
    let share = random % u64::try_from(ready + count).unwrap_or(u64::MAX);
    if share < u64::try_from(ready).unwrap_or(u64::MAX) {
        wanted.clone()
    } else {
        other.clone()
    }
}
