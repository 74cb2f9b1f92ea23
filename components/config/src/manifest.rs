use crate::{Grants, Lists};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use utils::sha256_hex;

/// The kind of the object that holds the active lists.
pub const LISTS_KIND: &str = "lists";
/// The name of the object that holds the active lists.
pub const LISTS_NAME: &str = "current";
/// The kind of the objects that hold parts of the lists; each is named by its digest.
pub const PART_KIND: &str = "lists-part";

/// The largest canonical text of lists that is stored in the manifest itself.
pub const INLINE_LIMIT_BYTES: usize = 512 * 1024;
/// The average size to aim for when lists are split into parts.
const PART_TARGET_BYTES: usize = 64 * 1024;

/// The stored form of one revision of the lists: either the lists themselves or the names of
/// their parts.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// The revision; each accepted edit increments it.
    pub revision: u64,
    /// The digest of the complete lists.
    pub digest: String,
    /// The lists, when their canonical text is within the inline limit of the edit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lists: Option<Lists>,
    /// The names of the parts otherwise.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub parts: Vec<String>,
}

/// A manifest together with the parts that it names.
#[derive(Clone, Debug, PartialEq)]
pub struct Bundle {
    /// The manifest, written after the parts.
    pub manifest: Manifest,
    /// The parts by name; empty when the manifest holds the lists.
    pub parts: BTreeMap<String, Lists>,
}

impl Bundle {
    /// Prepares a revision of the lists. Splits them into parts when their canonical text exceeds
    /// `inline_limit_bytes`.
    pub fn new(revision: u64, lists: &Lists, inline_limit_bytes: usize) -> Bundle {
        let text = lists.canonical();
        let digest = sha256_hex(&text);
        if text.len() <= inline_limit_bytes {
            let manifest =
                Manifest { revision, digest, lists: Some(lists.clone()), ..Manifest::default() };
            return Bundle { manifest, parts: BTreeMap::new() };
        }
        let parts: BTreeMap<String, Lists> = split_into_parts(lists, text.len())
            .into_iter()
            .map(|part| (part.digest(), part))
            .collect();
        let names = parts.keys().cloned().collect();
        let manifest = Manifest { revision, digest, parts: names, ..Manifest::default() };
        Bundle { manifest, parts }
    }
}

/// Splits the lists by the hash of the client account name, so that a change of one account
/// changes one part only.
fn split_into_parts(lists: &Lists, bytes: usize) -> Vec<Lists> {
    let count = bytes.div_ceil(PART_TARGET_BYTES).next_power_of_two();
    let mut parts = vec![Lists::default(); count];
    for (name, account) in &lists.plans.accounts {
        let accounts = &mut parts[part_index(name, count)].plans.accounts;
        accounts.insert(name.clone(), account.clone());
    }
    parts.retain(|part| !part.plans.accounts.is_empty());
    parts.push(Lists { grants: lists.grants.clone(), ..Lists::default() });
    parts
}

fn part_index(name: &str, count: usize) -> usize {
    let digest = sha256_hex(name);
    let prefix = usize::from_str_radix(&digest[..8], 16).unwrap_or_default();
    prefix % count
}

/// Merges the parts back into complete lists.
pub fn join_parts<'a>(parts: impl Iterator<Item = &'a Lists>) -> Lists {
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
