use config::Lists;
use std::collections::BTreeMap;
use utils::sha256_hex;

/// The lists in force, with an index of the client accounts by key.
#[derive(Debug, Default)]
pub struct ActiveLists {
    /// The revision of the lists; 0 before the first.
    pub revision: u64,
    /// The digest of the lists; empty before the first.
    pub digest: String,
    /// Both lists.
    pub lists: Lists,
    by_key: BTreeMap<String, String>,
}

impl ActiveLists {
    /// Indexes the lists of a revision.
    pub fn new(revision: u64, digest: String, lists: Lists) -> ActiveLists {
        let accounts = lists.plans.accounts.iter();
        let by_key = accounts.map(|(name, a)| (a.key_sha256.clone(), name.clone())).collect();
        ActiveLists { revision, digest, lists, by_key }
    }

    /// Returns the client account that holds a key.
    pub fn account(&self, key: &str) -> Option<&str> {
        self.by_key.get(&sha256_hex(key)).map(String::as_str)
    }
}
