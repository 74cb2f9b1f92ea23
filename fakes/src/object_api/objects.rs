use serde::Serialize;
use serde_json::Value;
use std::collections::{BTreeMap, VecDeque};

/// An object and the version of its last write.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(super) struct Object {
    pub(super) version: u64,
    pub(super) value: Value,
}

/// A write; `value` is none for a deletion.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Change {
    #[serde(skip)]
    kind: String,
    name: String,
    pub(super) version: u64,
    value: Option<Value>,
}

/// A write was rejected by its version condition; holds the current object.
#[derive(Debug)]
pub(super) struct Conflict(pub(super) Option<Object>);

/// The version is older than the history or newer than the last write.
#[derive(Debug)]
pub(super) struct Gone;

type Content = BTreeMap<String, BTreeMap<String, Object>>;

/// Objects by kind and name, with the history of recent writes.
#[derive(Debug, Default)]
pub(super) struct Objects {
    version: u64,
    content: Content,
    /// The version of `base`: the oldest that a watch or a restore can use.
    base_version: u64,
    /// The objects before the first write of `history`.
    base: Content,
    history: VecDeque<Change>,
    history_limit: usize,
}

impl Objects {
    pub(super) fn new(history_limit: usize) -> Objects {
        Objects { history_limit, ..Objects::default() }
    }

    /// The version of the last write, or 0.
    pub(super) fn version(&self) -> u64 {
        self.version
    }

    pub(super) fn get(&self, kind: &str, name: &str) -> Option<&Object> {
        self.content.get(kind)?.get(name)
    }

    /// All objects of a kind, by name.
    pub(super) fn list(&self, kind: &str) -> BTreeMap<String, Object> {
        self.content.get(kind).cloned().unwrap_or_default()
    }

    /// Writes an object, or deletes it if `value` is none; returns the version of the write. If
    /// `expected` is given, it must be the object's version, 0 for a missing object.
    pub(super) fn write(
        &mut self,
        kind: &str,
        name: &str,
        value: Option<Value>,
        expected: Option<u64>,
    ) -> Result<u64, Conflict> {
        let current = self.get(kind, name);
        let version = current.map_or(0, |object| object.version);
        if expected.is_some_and(|e| e != version) {
            return Err(Conflict(current.cloned()));
        }
        self.version += 1;
        let (kind, name) = (kind.to_string(), name.to_string());
        let change = Change { kind, name, version: self.version, value };
        apply(&mut self.content, &change);
        self.history.push_back(change);
        while self.history.len() > self.history_limit {
            let Some(oldest) = self.history.pop_front() else { break };
            apply(&mut self.base, &oldest);
            self.base_version = oldest.version;
        }
        Ok(self.version)
    }

    /// The writes to a kind after a version.
    pub(super) fn changes(&self, kind: &str, after: u64) -> Result<Vec<Change>, Gone> {
        if after < self.base_version || after > self.version {
            return Err(Gone);
        }
        let newer = self.history.iter().filter(|c| c.version > after && c.kind == kind);
        Ok(newer.cloned().collect())
    }

    /// Restores an older version, as from a backup; later writes reuse the versions after it.
    pub(super) fn restore(&mut self, version: u64) -> Result<(), Gone> {
        if version < self.base_version || version > self.version {
            return Err(Gone);
        }
        self.history.retain(|c| c.version <= version);
        self.content = self.base.clone();
        for change in &self.history {
            apply(&mut self.content, change);
        }
        self.version = version;
        Ok(())
    }
}

fn apply(content: &mut Content, change: &Change) {
    let kind = content.entry(change.kind.clone()).or_default();
    match &change.value {
        Some(value) => {
            let object = Object { version: change.version, value: value.clone() };
            kind.insert(change.name.clone(), object);
        }
        None => {
            kind.remove(&change.name);
        }
    }
}
