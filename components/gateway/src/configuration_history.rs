use crate::incoming_update::{CompleteUpdate, IncomingUpdate};
use crate::packing::{digest_of_bytes, pack, unpack};
use bytes::Bytes;
use decision::Millis;
use decision::routing::{
    AccountsChange, Catalog, Configuration, ConfigurationChange, Route, Service,
};
use messages::feed::{ConfigurationUpdate, HeldConfiguration, ReceivedUpdate};
use serde::Serialize;
use std::cell::OnceCell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// Earlier configurations from which differences are made.
const MAX_EARLIER: usize = 4;
/// Time for which an earlier configuration is kept: followers that are in touch report another one
/// within a second.
const EARLIER_TIME: Millis = Millis(10_000);

/// A configuration of this daemon.
#[derive(Clone, Debug)]
struct HeldCatalog {
    catalog: Rc<Catalog>,
    /// The version of the configuration that its accounts belong to; not older than its own.
    accounts_version: u64,
    /// Computed when it is needed.
    identity: OnceCell<HeldConfiguration>,
    /// When it was replaced.
    replaced: Millis,
}

impl HeldCatalog {
    fn configuration(&self) -> &Configuration {
        self.catalog.configuration()
    }

    fn has_same_accounts(&self, held: &HeldConfiguration) -> bool {
        self.identity().accounts_digest == held.accounts_digest
    }

    fn has_same_rest(&self, held: &HeldConfiguration) -> bool {
        let identity = self.identity();
        (identity.version, identity.digest) == (held.version, held.digest)
    }

    fn identity(&self) -> &HeldConfiguration {
        self.identity.get_or_init(|| {
            let Configuration { version, routes, services, accounts, limits } =
                self.configuration();
            let rest: (&[Route], &[Service], _) = (routes, services, limits);
            HeldConfiguration {
                version: *version,
                digest: digest(&rest),
                accounts_version: self.accounts_version,
                accounts_digest: digest(accounts),
            }
        })
    }
}

/// The digest of a value; 0 if it cannot be encoded.
fn digest<T: Serialize>(value: &T) -> u64 {
    match rmp_serde::to_vec_named(value) {
        Ok(encoded) => digest_of_bytes(&encoded),
        Err(e) => {
            tracing::error!(event = "value_not_encoded", error = %e);
            0
        }
    }
}

/// A configuration from another daemon or from the store.
#[derive(Clone, Debug)]
pub(crate) struct NewConfiguration {
    pub(crate) configuration: Configuration,
    /// The version of the configuration that its accounts belong to.
    pub(crate) accounts_version: u64,
}

impl From<Configuration> for NewConfiguration {
    fn from(configuration: Configuration) -> NewConfiguration {
        NewConfiguration { accounts_version: configuration.version, configuration }
    }
}

/// An update for followers that hold the same configuration.
#[derive(Clone, Debug)]
pub(crate) struct PackedUpdate {
    /// The digest of the change.
    pub(crate) id: u64,
    /// Whether the change is the difference from what the followers hold, and not from nothing.
    pub(crate) has_base: bool,
    /// Whether it holds accounts only.
    pub(crate) of_accounts: bool,
    pub(crate) change: Bytes,
}

/// The active configuration and those before it, as differences for followers. Each difference is
/// packed once for all followers that need it. Accounts are updated apart from the rest, so that
/// keys are confirmed while thousands of routes are on their way.
#[derive(Debug, Default)]
pub(crate) struct ConfigurationHistory {
    active: Option<HeldCatalog>,
    /// The last one first.
    earlier: VecDeque<HeldCatalog>,
    /// Updates to the active configuration, by whether they hold accounts only and by the digest of
    /// their base.
    packed: BTreeMap<(bool, Option<u64>), PackedUpdate>,
    /// The update that is being received.
    incoming: IncomingUpdate,
}

impl ConfigurationHistory {
    /// Merges a configuration with the active one: the newer accounts and the newer rest. `None` if
    /// the active ones are as new.
    pub(crate) fn merge(&self, new: NewConfiguration) -> Option<NewConfiguration> {
        let Some(active) = &self.active else { return Some(new) };
        let before = active.configuration();
        let has_new_accounts = new.accounts_version > active.accounts_version;
        match new.configuration.version > before.version {
            true if has_new_accounts => Some(new),
            true => {
                let accounts = before.accounts.clone();
                let configuration = Configuration { accounts, ..new.configuration };
                let accounts_version = active.accounts_version;
                Some(NewConfiguration { configuration, accounts_version })
            }
            false if has_new_accounts => {
                let accounts = new.configuration.accounts;
                let configuration = Configuration { accounts, ..before.clone() };
                Some(NewConfiguration { configuration, ..new })
            }
            false => None,
        }
    }

    /// Records that a configuration became active.
    pub(crate) fn activate(&mut self, catalog: Rc<Catalog>, accounts_version: u64, now: Millis) {
        let held =
            HeldCatalog { catalog, accounts_version, identity: OnceCell::new(), replaced: now };
        if let Some(before) = self.active.replace(held) {
            self.earlier.push_front(HeldCatalog { replaced: now, ..before });
        }
        self.earlier.truncate(MAX_EARLIER);
        self.packed.clear();
        self.incoming = IncomingUpdate::default();
    }

    /// Drops configurations that followers no longer hold.
    pub(crate) fn expire(&mut self, now: Millis) {
        self.earlier.retain(|held| now.since(held.replaced) < EARLIER_TIME);
    }

    /// The active configuration; version 0 stands for none.
    pub(crate) fn held(&self) -> HeldConfiguration {
        let none =
            HeldConfiguration { version: 0, digest: 0, accounts_version: 0, accounts_digest: 0 };
        self.active.as_ref().map_or(none, |active| active.identity().clone())
    }

    /// Whether accounts of a newer configuration than the active one are in force.
    pub(crate) fn is_behind(&self) -> bool {
        let active = self.active.as_ref();
        active.is_some_and(|active| active.accounts_version > active.configuration().version)
    }

    /// Whether the accounts of `held` are those in force here, or newer.
    pub(crate) fn has_accounts_of(&self, held: &HeldConfiguration) -> bool {
        self.active.as_ref().is_none_or(|active| {
            active.accounts_version <= held.accounts_version || active.has_same_accounts(held)
        })
    }

    /// The version of the active accounts, if `held` has the same ones.
    pub(crate) fn accounts_version(&self, held: &HeldConfiguration) -> Option<u64> {
        let active = self.active.as_ref()?;
        active.has_same_accounts(held).then_some(active.accounts_version)
    }

    /// Whether a daemon that holds `held` lacks anything of the active configuration.
    pub(crate) fn is_newer_than(&self, held: &HeldConfiguration) -> bool {
        let active = self.active.as_ref();
        let has_newer = active.is_some_and(|active| active.configuration().version > held.version);
        has_newer || !self.has_accounts_of(held)
    }

    /// The next update for a daemon that holds `held`: accounts come first. `None` if it lacks
    /// nothing.
    pub(crate) fn update(
        &mut self,
        held: &HeldConfiguration,
    ) -> Result<Option<PackedUpdate>, String> {
        let Some(active) = self.active.as_ref().filter(|_| self.is_newer_than(held)) else {
            return Ok(None);
        };
        let of_accounts = held.version > 0 && !self.has_accounts_of(held);
        let base = self.earlier.iter().find(|earlier| match of_accounts {
            true => earlier.has_same_accounts(held),
            false => earlier.has_same_rest(held),
        });
        let base_digest = if of_accounts { held.accounts_digest } else { held.digest };
        let key = (of_accounts, base.map(|_| base_digest));
        if let Some(update) = self.packed.get(&key) {
            return Ok(Some(update.clone()));
        }
        let before = base.map(HeldCatalog::configuration);
        let (after, accounts_version) = (active.configuration(), active.accounts_version);
        let change = match (of_accounts, before) {
            (true, _) => pack(&AccountsChange::between(before, after, accounts_version))?,
            (false, _) => pack(&ConfigurationChange::between(before, after, accounts_version))?,
        };
        let (id, has_base) = (digest_of_bytes(&change), base.is_some());
        let update = PackedUpdate { id, has_base, of_accounts, change: Bytes::from(change) };
        self.packed.insert(key, update.clone());
        Ok(Some(update))
    }

    /// What has been received of an update that is not complete.
    pub(crate) fn received(&self) -> Option<ReceivedUpdate> {
        self.incoming.received()
    }

    /// Adds a piece of an update. Returns the resulting configuration once it is complete.
    pub(crate) fn receive(
        &mut self,
        piece: &ConfigurationUpdate,
    ) -> Result<Option<NewConfiguration>, String> {
        let Some(complete) = self.incoming.add(piece)? else { return Ok(None) };
        let base = self.base(&complete)?;
        if complete.of_accounts {
            let change: AccountsChange = unpack(&complete.change)?;
            let accounts_version = change.version();
            let accounts = change.apply(base).ok_or(MISFIT)?;
            let active = self.active.as_ref().ok_or(MISFIT)?.configuration().clone();
            let configuration = Configuration { accounts, ..active };
            return Ok(Some(NewConfiguration { configuration, accounts_version }));
        }
        let change: ConfigurationChange = unpack(&complete.change)?;
        let of_active = self.active.as_ref().map_or(0, |active| active.accounts_version);
        let accounts_version = change.accounts_version().unwrap_or(of_active);
        let configuration = change.apply(base).ok_or(MISFIT)?;
        Ok(Some(NewConfiguration { configuration, accounts_version }))
    }

    /// Records that the active accounts are also those of the configuration `version`.
    pub(crate) fn confirm_accounts(&mut self, version: u64) {
        let active = self.active.as_mut().filter(|active| active.accounts_version < version);
        if let Some(active) = active {
            active.accounts_version = version;
            active.identity.take();
        }
    }

    /// The configuration that an update was made from, which has to be the active one; `None` if it
    /// was made from none.
    fn base(&self, update: &CompleteUpdate) -> Result<Option<&Configuration>, String> {
        let Some(base) = &update.base else { return Ok(None) };
        let active = self.active.as_ref().filter(|active| active.identity() == base);
        active.map(|active| Some(active.configuration())).ok_or_else(|| String::from(MISFIT))
    }
}

const MISFIT: &str = "the change of the configuration was made from another one";
