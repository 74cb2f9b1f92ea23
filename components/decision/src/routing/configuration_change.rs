use super::catalog::{Account, ClientLimits, Configuration, Route, Service};
use super::sequence_change::SequenceChange;
use serde::{Deserialize, Serialize};

/// The difference between two configurations without their client accounts. Its size follows the
/// number of routes that changed; the difference from no configuration holds everything, accounts
/// included.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ConfigurationChange {
    version: u64,
    routes: SequenceChange<Route>,
    services: Vec<Service>,
    limits: ClientLimits,
    /// All accounts; `None` in the difference from another configuration.
    accounts: Option<AccountsChange>,
}

/// The difference between the client accounts of two configurations.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AccountsChange {
    /// The version of the later configuration.
    version: u64,
    /// `None` if requests need no key.
    accounts: Option<SequenceChange<Account>>,
}

impl ConfigurationChange {
    /// Returns the difference of `after`, whose accounts belong to `accounts_version`, from `before`.
    pub fn between(
        before: Option<&Configuration>,
        after: &Configuration,
        accounts_version: u64,
    ) -> ConfigurationChange {
        let routes = before.map_or(&[][..], |before| &before.routes);
        ConfigurationChange {
            version: after.version,
            routes: SequenceChange::between(routes, &after.routes, |route| {
                (&*route.host, &*route.path_prefix)
            }),
            services: after.services.clone(),
            limits: after.limits,
            accounts: match before {
                Some(_) => None,
                None => Some(AccountsChange::between(None, after, accounts_version)),
            },
        }
    }

    /// The version of the configuration that its accounts belong to; `None` without accounts.
    pub fn accounts_version(&self) -> Option<u64> {
        self.accounts.as_ref().map(|accounts| accounts.version)
    }

    /// Returns the later configuration, with the accounts of the earlier one if there is one; `None`
    /// if `before` is not the one that the difference was made from.
    pub fn apply(self, before: Option<&Configuration>) -> Option<Configuration> {
        let accounts = match self.accounts {
            Some(accounts) => accounts.apply(None)?,
            None => before?.accounts.clone(),
        };
        Some(Configuration {
            version: self.version,
            routes: self.routes.apply(before.map_or(&[][..], |before| &before.routes))?,
            services: self.services,
            accounts,
            limits: self.limits,
        })
    }
}

impl AccountsChange {
    /// Returns the difference of the accounts of `after`, which belong to the configuration
    /// `version`, from those of `before`.
    pub fn between(
        before: Option<&Configuration>,
        after: &Configuration,
        version: u64,
    ) -> AccountsChange {
        let accounts = after.accounts.as_ref();
        let accounts = accounts.map(|after| {
            SequenceChange::between(known_accounts(before), after, |account| account.name.as_str())
        });
        AccountsChange { version, accounts }
    }

    /// The version of the configuration that the later accounts belong to.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the later accounts, which are `None` if requests need no key. Returns `None` if
    /// `before` is not the configuration that the difference was made from.
    pub fn apply(self, before: Option<&Configuration>) -> Option<Option<Vec<Account>>> {
        match self.accounts {
            Some(accounts) => accounts.apply(known_accounts(before)).map(Some),
            None => Some(None),
        }
    }
}

fn known_accounts(configuration: Option<&Configuration>) -> &[Account] {
    configuration.and_then(|configuration| configuration.accounts.as_deref()).unwrap_or_default()
}
