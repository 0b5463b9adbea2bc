use serde_json::{Map, Value};

/// Returns the difference between two bundles in canonical form, one line per change: `+` and `-`
/// for entries, `~` for fields.
pub(crate) fn bundle_diff(before: &str, after: &str) -> String {
    let (before, after) = (parse(before), parse(after));
    let lists = [
        ("teams", "team", "name"),
        ("services", "service", "name"),
        ("upstreams", "upstream", "id"),
    ];
    let lines = lists.iter().flat_map(|(list, kind, name)| {
        let before = by_name(&before[*list], name);
        let after = by_name(&after[*list], name);
        diff_entries(kind, &before, &after)
    });
    lines.map(|line| line + "\n").collect()
}

fn parse(canonical: &str) -> Value {
    serde_json::from_str(canonical).unwrap_or_default()
}

type Entry<'a> = (&'a str, &'a Map<String, Value>);

/// Returns the entries with their names. They are sorted by name, as lists in canonical form are.
fn by_name<'a>(list: &'a Value, name: &str) -> Vec<Entry<'a>> {
    let entries = list.as_array().into_iter().flatten();
    entries
        .filter_map(|entry| Some((entry[name].as_str()?, entry.as_object()?)))
        .collect()
}

fn diff_entries(kind: &str, before: &[Entry], after: &[Entry]) -> Vec<String> {
    let names = before.iter().chain(after).map(|(name, _)| *name);
    let mut names = names.collect::<Vec<_>>();
    names.sort_unstable();
    names.dedup();
    names
        .iter()
        .flat_map(|name| match (find(before, name), find(after, name)) {
            (None, _) => vec![format!("+ {kind} `{name}`")],
            (_, None) => vec![format!("- {kind} `{name}`")],
            (Some(before), Some(after)) => diff_fields(before, after)
                .into_iter()
                .map(|change| format!("~ {kind} `{name}`: {change}"))
                .collect(),
        })
        .collect()
}

fn find<'a>(entries: &[Entry<'a>], name: &str) -> Option<&'a Map<String, Value>> {
    let i = entries.binary_search_by(|(found, _)| (*found).cmp(name));
    Some(entries[i.ok()?].1)
}

fn diff_fields(before: &Map<String, Value>, after: &Map<String, Value>) -> Vec<String> {
    let mut fields = before.keys().chain(after.keys()).collect::<Vec<_>>();
    fields.sort();
    fields.dedup();
    let changed = fields
        .into_iter()
        .filter(|field| before.get(*field) != after.get(*field));
    changed
        .map(|field| {
            let text = |value: Option<&Value>| value.map_or("none".to_owned(), Value::to_string);
            let (before, after) = (text(before.get(field)), text(after.get(field)));
            format!("{field} {before} -> {after}")
        })
        .collect()
}
