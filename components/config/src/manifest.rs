use crate::{Grants, Lists};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use utils::sha256_hex;

/// The kind of the object that holds the lists in force.
pub const LISTS_KIND: &str = "lists";
/// The name of the object that holds the lists in force.
pub const LISTS_NAME: &str = "current";
/// The kind of the objects that hold parts of the lists, named by their digest.
pub const PART_KIND: &str = "lists-part";

/// The most bytes of lists that stand in the manifest itself.
pub const INLINE_LIMIT_BYTES: usize = 512 * 1024;
/// The size of a part that is aimed at, in bytes.
const PART_SIZE: usize = 64 * 1024;

/// One version of both lists, as the object API holds it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// The revision; each accepted change adds one.
    pub revision: u64,
    /// The digest of the lists.
    pub digest: String,
    /// The lists, when they fit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lists: Option<Lists>,
    /// The names of the parts that make up the lists otherwise.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub parts: Vec<String>,
}

/// A manifest with the parts that it names.
#[derive(Clone, Debug, PartialEq)]
pub struct Bundle {
    /// The manifest.
    pub manifest: Manifest,
    /// The parts by name; none when the lists stand in the manifest.
    pub parts: BTreeMap<String, Lists>,
}

impl Bundle {
    /// Prepares a revision of the lists, in parts when they exceed `inline_limit_bytes` bytes.
    pub fn new(revision: u64, lists: &Lists, inline_limit_bytes: usize) -> Bundle {
        let text = lists.canonical();
        let digest = sha256_hex(&text);
        if text.len() <= inline_limit_bytes {
            let manifest =
                Manifest { revision, digest, lists: Some(lists.clone()), ..Manifest::default() };
            return Bundle { manifest, parts: BTreeMap::new() };
        }
        let parts: BTreeMap<String, Lists> =
            split(lists, text.len()).into_iter().map(|part| (part.digest(), part)).collect();
        let names = parts.keys().cloned().collect();
        let manifest = Manifest { revision, digest, parts: names, ..Manifest::default() };
        Bundle { manifest, parts }
    }
}

/// Splits the lists so that a change of one client account changes one part.
fn split(lists: &Lists, bytes: usize) -> Vec<Lists> {
    let count = bytes.div_ceil(PART_SIZE).next_power_of_two();
    let mut parts = vec![Lists::default(); count];
    for (name, account) in &lists.plans.accounts {
        let accounts = &mut parts[bucket(name, count)].plans.accounts;
        accounts.insert(name.clone(), account.clone());
    }
    parts.retain(|part| !part.plans.accounts.is_empty());
    parts.push(Lists { grants: lists.grants.clone(), ..Lists::default() });
    parts
}

fn bucket(name: &str, count: usize) -> usize {
    let digest = sha256_hex(name);
    let prefix = usize::from_str_radix(&digest[..8], 16).unwrap_or_default();
    prefix % count
}

/// Puts the parts together again.
pub fn join<'a>(parts: impl Iterator<Item = &'a Lists>) -> Lists {
    let mut lists = Lists::default();
    for part in parts {
        let accounts = part.plans.accounts.iter().map(|(name, a)| (name.clone(), a.clone()));
        lists.plans.accounts.extend(accounts);
        if part.grants != Grants::default() {
            lists.grants = part.grants.clone();
        }
    }
    lists
}
