use config::Lists;
use std::collections::BTreeMap;
use utils::sha256_hex;

/// The active lists, with an index of the client accounts by the digest of their API key.
#[derive(Debug, Default)]
pub struct ActiveLists {
    /// 0 before the first lists are activated.
    pub revision: u64,
    /// The digest of the manifest; empty before the first lists are activated.
    pub digest: String,
    pub lists: Lists,
    by_key_digest: BTreeMap<String, String>,
}

impl ActiveLists {
    /// Indexes the lists of a revision; `digest` is that of their manifest.
    pub fn new(revision: u64, digest: String, lists: Lists) -> ActiveLists {
        let accounts = lists.plans.accounts.iter();
        let by_key_digest =
            accounts.map(|(name, a)| (a.key_sha256.clone(), name.clone())).collect();
        ActiveLists { revision, digest, lists, by_key_digest }
    }

    /// Finds the client account with this API key. The lists hold only the digests of the keys.
    pub fn account(&self, key: &str) -> Option<&str> {
        self.by_key_digest.get(&sha256_hex(key)).map(String::as_str)
    }
}
