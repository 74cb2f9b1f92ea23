use crate::Lists;
use serde::Serialize;
use serde_json::Value;
use std::collections::BTreeMap;

/// A key whose value differs between two versions of the lists.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Difference {
    /// The full key, starting with `plans` or `grants`, with the parts joined by dots.
    pub key: String,
    /// The old value; `None` when the key was added.
    pub before: Option<Value>,
    /// The new value; `None` when the key was removed.
    pub after: Option<Value>,
}

/// Compares two versions of the lists. The differences are sorted by key.
pub fn differences(before: &Lists, after: &Lists) -> Vec<Difference> {
    let (before, after) = (flatten(before), flatten(after));
    let mut keys: Vec<&String> = before.keys().chain(after.keys()).collect();
    keys.sort();
    keys.dedup();
    let changed = keys.into_iter().filter(|key| before.get(*key) != after.get(*key));
    changed
        .map(|key| Difference {
            key: key.clone(),
            before: before.get(key).cloned(),
            after: after.get(key).cloned(),
        })
        .collect()
}

fn flatten(lists: &Lists) -> BTreeMap<String, Value> {
    let mut leaves = BTreeMap::new();
    if let Ok(value) = serde_json::to_value(lists) {
        collect_leaves(value, String::new(), &mut leaves);
    }
    leaves
}

fn collect_leaves(value: Value, key: String, leaves: &mut BTreeMap<String, Value>) {
    let Value::Object(map) = value else {
        leaves.insert(key, value);
        return;
    };
    for (name, inner) in map {
        let inner_key = if key.is_empty() { name } else { format!("{key}.{name}") };
        collect_leaves(inner, inner_key, leaves);
    }
}
