use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use utils::sha256_hex;

/// The plans list: the plan that each client account holds.
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
    /// The name of the plan that the account holds.
    pub plan: String,
    /// The SHA-256 of the account's key, as 64 lower-case hexadecimal digits.
    pub key_sha256: String,
}

/// The grants list: request classes, and what each plan may use of them.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Grants {
    /// Request classes by name.
    pub classes: BTreeMap<String, Class>,
    /// Plans by name.
    pub plans: BTreeMap<String, Plan>,
    /// The capacity of models and plain services, by name. Required for those with a class that
    /// has a floor.
    #[serde(default)]
    pub pools: BTreeMap<String, Pool>,
    /// The share of each account limit that a data centre grants, above 0 and at most 1. If empty,
    /// each data centre grants the full limit.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub shares: BTreeMap<String, f64>,
}

impl Grants {
    /// Returns the share of each account limit that a data centre grants: 1 if `shares` is empty, 0
    /// if it leaves out the data centre.
    pub fn share_of(&self, data_centre: &str) -> f64 {
        if self.shares.is_empty() {
            return 1.0;
        }
        self.shares.get(data_centre).copied().unwrap_or(0.0)
    }
}

/// The joint capacity of all endpoints of one model or plain service.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Pool {
    /// For a model: tokens per minute, prompt and generated.
    pub tokens_per_minute: u64,
    /// For a plain service: requests per minute.
    pub requests_per_minute: u64,
}

/// A request class: the model or plain service behind it, and its targets.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// The model that generates the responses; empty when `service` is set.
    #[serde(default)]
    pub model: String,
    /// The plain service that the class calls; empty when `model` is set.
    #[serde(default)]
    pub service: String,
    /// Whether a call may be executed more than once.
    pub repeatable: bool,
    /// The share of the pool that is guaranteed to the class in each window of `target.finish_ms`,
    /// 0 to 1.
    #[serde(default)]
    pub floor: f64,
    /// The latency targets of the class.
    #[serde(default)]
    pub target: Target,
}

impl Class {
    /// Returns the key in [`Grants::pools`]: the model, or the plain service when one is set.
    pub fn pool_name(&self) -> &str {
        if self.service.is_empty() { &self.model } else { &self.service }
    }
}

/// The latency targets of a class, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Target {
    /// From the arrival of the request to the first token.
    pub first_token_ms: u64,
    /// Between two successive tokens.
    pub between_tokens_ms: u64,
    /// From the arrival of the request to the end of the response.
    pub finish_ms: u64,
}

/// The classes that one plan may use.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Grants by class name.
    pub classes: BTreeMap<String, Grant>,
}

/// The limits within which a plan grants one class to each of its client accounts.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Grant {
    /// The service tier; 1 is the highest.
    pub tier: u8,
    /// Requests per minute.
    pub requests_per_minute: u32,
    /// Tokens per minute, prompt and generated; unused for a plain service.
    #[serde(default)]
    pub tokens_per_minute: u32,
    /// Concurrent streams.
    pub streams: u32,
}

/// Both lists, which become active together.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Lists {
    /// The plans of the client accounts.
    pub plans: Plans,
    /// The grants of the plans.
    pub grants: Grants,
}

impl Lists {
    /// Encodes the lists as canonical JSON: equal lists have the same text.
    ///
    /// # Panics
    ///
    /// Never: the lists hold only values that have a JSON form.
    pub fn canonical(&self) -> String {
        serde_json::to_string(self).expect("lists have a JSON form")
    }

    /// Returns the SHA-256 of the canonical text, as hexadecimal digits.
    pub fn digest(&self) -> String {
        sha256_hex(&self.canonical())
    }
}
