use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use utils::sha256_hex;

/// The first list: the plan that each client account holds.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Plans {
    /// Client accounts by name.
    pub accounts: BTreeMap<String, Account>,
}

/// One client account.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// The name of the plan it holds.
    pub plan: String,
    /// The SHA-256 of its key, in hexadecimal digits.
    pub key_sha256: String,
}

/// The second list: what each plan may use.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Grants {
    /// Request classes by name.
    pub classes: BTreeMap<String, Class>,
    /// Plans by name.
    pub plans: BTreeMap<String, Plan>,
    /// What models and plain services can do, by name; a class with a floor needs it.
    #[serde(default)]
    pub pools: BTreeMap<String, Pool>,
    /// The part of each account limit that a data centre grants, above 0 and at most 1. Without
    /// any, each data centre grants the whole limit.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub shares: BTreeMap<String, f64>,
}

impl Grants {
    /// Returns the part of each account limit that a data centre grants.
    pub fn share_of(&self, data_centre: &str) -> f64 {
        if self.shares.is_empty() {
            return 1.0;
        }
        self.shares.get(data_centre).copied().unwrap_or(0.0)
    }
}

/// What all endpoints of one model or plain service can do together.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Pool {
    /// Tokens a minute, asked and generated, of a model.
    pub tokens_per_minute: u64,
    /// Requests a minute of a plain service.
    pub requests_per_minute: u64,
}

/// A request class.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// The model that answers it, or the plain service when `service` is set.
    #[serde(default)]
    pub model: String,
    /// The plain service that it calls.
    #[serde(default)]
    pub service: String,
    /// Whether a call may run more than once.
    pub repeatable: bool,
    /// The share of the pool that the class is sure of in each finish window, 0 to 1.
    #[serde(default)]
    pub floor: f64,
    /// The times within which it is answered.
    #[serde(default)]
    pub target: Target,
}

impl Class {
    /// Returns the model or the plain service that answers it.
    pub fn pool_name(&self) -> &str {
        if self.service.is_empty() { &self.model } else { &self.service }
    }
}

/// The target of a class, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Target {
    /// From arrival to the first token.
    pub first_token_ms: u64,
    /// Between two tokens.
    pub between_tokens_ms: u64,
    /// From arrival to the end of the answer.
    pub finish_ms: u64,
}

/// What one plan may use.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Grants by class name.
    pub classes: BTreeMap<String, Grant>,
}

/// The use of one class that a plan grants to each of its client accounts.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Grant {
    /// The service tier; 1 is the highest.
    pub tier: u8,
    /// Requests a minute.
    pub requests_per_minute: u32,
    /// Tokens a minute, asked and generated; unused for a plain service.
    #[serde(default)]
    pub tokens_per_minute: u32,
    /// Streams at once.
    pub streams: u32,
}

/// Both lists as they are in force together.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Lists {
    /// The first list.
    pub plans: Plans,
    /// The second list.
    pub grants: Grants,
}

impl Lists {
    /// Returns the one text that equal lists have, as JSON.
    ///
    /// # Panics
    ///
    /// Never: the lists hold only text keys, numbers and text.
    pub fn canonical(&self) -> String {
        serde_json::to_string(self).expect("lists have a JSON form")
    }

    /// Returns the SHA-256 of the canonical text, in hexadecimal digits.
    pub fn digest(&self) -> String {
        sha256_hex(&self.canonical())
    }
}
