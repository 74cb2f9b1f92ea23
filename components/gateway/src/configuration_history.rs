use crate::packing::{pack, unpack};
use bytes::Bytes;
use decision::Millis;
use decision::routing::{Catalog, Configuration, ConfigurationChange};
use messages::Packed;
use messages::feed::{ConfigurationUpdate, HeldConfiguration};
use sha2::{Digest, Sha256};
use std::cell::OnceCell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// Earlier configurations from which differences are made.
const MAX_EARLIER: usize = 4;
/// Time for which an earlier configuration is kept: followers that are in touch report another one
/// within a second.
const EARLIER_TIME: Millis = Millis(10_000);

/// A configuration of this daemon and its digest, which is computed when it is needed.
#[derive(Clone, Debug)]
struct HeldCatalog {
    catalog: Rc<Catalog>,
    digest: OnceCell<u64>,
    /// When it was replaced.
    replaced: Millis,
}

impl HeldCatalog {
    fn identity(&self) -> HeldConfiguration {
        let configuration = self.catalog.configuration();
        let digest = *self.digest.get_or_init(|| digest(configuration));
        HeldConfiguration { version: configuration.version, digest }
    }
}

/// The first 64 bits of the SHA-256 digest of a configuration; 0 if it cannot be encoded. Two
/// configurations can have the same version if the store was restored from a copy.
fn digest(configuration: &Configuration) -> u64 {
    match rmp_serde::to_vec_named(configuration) {
        Ok(encoded) => {
            let digest = Sha256::digest(&encoded);
            digest.iter().take(8).fold(0, |digest, byte| digest << 8 | u64::from(*byte))
        }
        Err(e) => {
            tracing::error!(event = "value_not_encoded", error = %e);
            0
        }
    }
}

/// The active configuration and those before it, as differences for followers. Each difference is
/// packed once for all followers that need it.
#[derive(Debug, Default)]
pub(crate) struct ConfigurationHistory {
    active: Option<HeldCatalog>,
    /// The last one first.
    earlier: VecDeque<HeldCatalog>,
    /// Packed differences of the active configuration, by the version of their base.
    packed: BTreeMap<Option<u64>, Bytes>,
}

impl ConfigurationHistory {
    /// Records that a configuration became active.
    pub(crate) fn activate(&mut self, catalog: Rc<Catalog>, now: Millis) {
        let held = HeldCatalog { catalog, digest: OnceCell::new(), replaced: now };
        if let Some(before) = self.active.replace(held) {
            self.earlier.push_front(HeldCatalog { replaced: now, ..before });
        }
        self.earlier.truncate(MAX_EARLIER);
        self.packed.clear();
    }

    /// Drops configurations that followers no longer hold.
    pub(crate) fn expire(&mut self, now: Millis) {
        self.earlier.retain(|held| now.since(held.replaced) < EARLIER_TIME);
    }

    /// The active configuration; version 0 stands for none.
    pub(crate) fn held(&self) -> HeldConfiguration {
        let none = HeldConfiguration { version: 0, digest: 0 };
        self.active.as_ref().map_or(none, HeldCatalog::identity)
    }

    /// Whether a daemon that holds `held` lacks the active configuration.
    pub(crate) fn is_newer_than(&self, held: &HeldConfiguration) -> bool {
        let active = self.active.as_ref();
        active.is_some_and(|active| active.catalog.configuration().version > held.version)
    }

    /// The difference of the active configuration from the one that a follower holds, or from none
    /// if that one is not known here. `None` without a newer configuration.
    pub(crate) fn update(
        &mut self,
        held: &HeldConfiguration,
    ) -> Result<Option<ConfigurationUpdate>, String> {
        let Some(active) = self.active.as_ref().filter(|_| self.is_newer_than(held)) else {
            return Ok(None);
        };
        let base = self.earlier.iter().find(|earlier| earlier.identity() == *held);
        let base_version = base.map(|_| held.version);
        let change = match self.packed.get(&base_version) {
            Some(change) => change.clone(),
            None => {
                let base = base.map(|base| base.catalog.configuration());
                let after = active.catalog.configuration();
                let change = Bytes::from(pack(&ConfigurationChange::between(base, after))?);
                self.packed.insert(base_version, change.clone());
                change
            }
        };
        let base = base_version.map(|_| held.clone());
        Ok(Some(ConfigurationUpdate { base, change: Packed(change) }))
    }

    /// The configuration that an update results in.
    pub(crate) fn apply(&self, update: &ConfigurationUpdate) -> Result<Configuration, String> {
        let active = self.active.as_ref().filter(|_| update.base.is_some());
        if update.base != active.map(HeldCatalog::identity) {
            return Err(String::from("the configuration is a difference from another one"));
        }
        let change: ConfigurationChange = unpack(&update.change.0)?;
        let active = active.map(|active| active.catalog.configuration());
        change.apply(active).ok_or_else(|| String::from("the difference does not fit its base"))
    }
}
