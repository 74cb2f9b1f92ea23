use crate::Lists;
use serde::Serialize;
use serde_json::Value;
use std::collections::BTreeMap;

/// A key that differs between two versions of the lists.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Difference {
    /// The key with its list and tables, joined by dots.
    pub key: String,
    /// The value before; absent when the key was added.
    pub before: Option<Value>,
    /// The value after; absent when the key was removed.
    pub after: Option<Value>,
}

/// Returns the keys that differ, in their order.
pub fn differences(before: &Lists, after: &Lists) -> Vec<Difference> {
    let (before, after) = (leaves(before), leaves(after));
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

fn leaves(lists: &Lists) -> BTreeMap<String, Value> {
    let mut found = BTreeMap::new();
    if let Ok(value) = serde_json::to_value(lists) {
        collect(value, String::new(), &mut found);
    }
    found
}

fn collect(value: Value, key: String, found: &mut BTreeMap<String, Value>) {
    let Value::Object(map) = value else {
        found.insert(key, value);
        return;
    };
    for (name, inner) in map {
        let inner_key = if key.is_empty() { name } else { format!("{key}.{name}") };
        collect(inner, inner_key, found);
    }
}
