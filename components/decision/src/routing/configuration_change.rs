use super::catalog::{Account, ClientLimits, Configuration, Route, Service};
use super::sequence_change::SequenceChange;
use serde::{Deserialize, Serialize};

/// The difference between two configurations. Its size follows the number of routes and accounts
/// that changed; the difference from no configuration holds all of them.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ConfigurationChange {
    version: u64,
    routes: SequenceChange<Route>,
    services: Vec<Service>,
    /// `None` if requests need no key.
    accounts: Option<SequenceChange<Account>>,
    limits: ClientLimits,
}

impl ConfigurationChange {
    /// Returns the difference of `after` from `before`.
    pub fn between(before: Option<&Configuration>, after: &Configuration) -> ConfigurationChange {
        let routes = before.map_or(&[][..], |before| &before.routes);
        let accounts = known_accounts(before);
        ConfigurationChange {
            version: after.version,
            routes: SequenceChange::between(routes, &after.routes, |route| {
                (&*route.host, &*route.path_prefix)
            }),
            services: after.services.clone(),
            accounts: after.accounts.as_ref().map(|after| {
                SequenceChange::between(accounts, after, |account| account.name.as_str())
            }),
            limits: after.limits,
        }
    }

    /// Returns the later configuration; `None` if `before` is not the one that the difference was
    /// made from.
    pub fn apply(self, before: Option<&Configuration>) -> Option<Configuration> {
        let accounts = match self.accounts {
            Some(accounts) => Some(accounts.apply(known_accounts(before))?),
            None => None,
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

fn known_accounts(configuration: Option<&Configuration>) -> &[Account] {
    configuration.and_then(|configuration| configuration.accounts.as_deref()).unwrap_or_default()
}
