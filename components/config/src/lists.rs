use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

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
    pub target: Target,
}

/// The target of a class, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
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
    /// Tokens a minute, asked and generated.
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
