use config::Lists;
use std::collections::BTreeMap;
use utils::sha256_hex;

/// The active lists, with an index of the client accounts by API key.
#[derive(Debug, Default)]
pub struct ActiveLists {
    /// 0 before the first lists are activated.
    pub revision: u64,
    /// Empty before the first lists are activated.
    pub digest: String,
    pub lists: Lists,
    by_key: BTreeMap<String, String>,
}

impl ActiveLists {
    /// Builds the index of a revision.
    pub fn new(revision: u64, digest: String, lists: Lists) -> ActiveLists {
        let accounts = lists.plans.accounts.iter();
        let by_key = accounts.map(|(name, a)| (a.key_sha256.clone(), name.clone())).collect();
        ActiveLists { revision, digest, lists, by_key }
    }

    /// The client account with this API key, of which the lists hold only the digest.
    pub fn account(&self, key: &str) -> Option<&str> {
        self.by_key.get(&sha256_hex(key)).map(String::as_str)
    }
}
