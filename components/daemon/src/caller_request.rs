use crate::active_lists::ActiveLists;
use crate::tables::Tables;
use config::{Class, Grant};
use decision::Millis;
use decision::load::{AccountLimits, Arrival};
use errors::{Reason, Refusal};
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use tiny_http::Request;
use utils::body_text;

/// Assumed average size of a prompt token.
const BYTES_PER_TOKEN: usize = 4;

/// Length of the prompt prefix whose hash is used to find endpoints that have it cached.
const PREFIX_BYTES: usize = 512;

/// A request that the active lists allow.
#[derive(Debug)]
pub struct AuthorizedRequest<'a> {
    pub account: &'a str,
    pub class_name: &'a str,
    pub class: &'a Class,
    /// What the account's plan grants for the class.
    pub grant: &'a Grant,
}

impl AuthorizedRequest<'_> {
    /// Builds the scheduler's view of the request.
    pub fn arrival(&self, request: u64, prompt: &str) -> Arrival {
        let class = self.class;
        let serves = if class.service.is_empty() { &class.model } else { &class.service };
        Arrival {
            request,
            account: self.account.to_string(),
            class: self.class_name.to_string(),
            tier: self.grant.tier,
            serves: serves.clone(),
            repeatable: class.repeatable,
            prompt_tokens: (prompt.len() / BYTES_PER_TOKEN) as u32,
            prefix: prefix_hash(prompt),
            first_token: Millis(class.target.first_token_ms),
            between_tokens: Millis(class.target.between_tokens_ms),
            finish: Millis(class.target.finish_ms),
            floor: class.floor,
            limits: AccountLimits {
                requests_per_minute: self.grant.requests_per_minute,
                tokens_per_minute: self.grant.tokens_per_minute,
                streams: self.grant.streams,
            },
            forwarded: false,
        }
    }
}

pub fn header<'a>(req: &'a Request, name: &'static str) -> Option<&'a str> {
    let found = req.headers().iter().find(|h| h.field.equiv(name));
    found.map(|h| h.value.as_str())
}

/// Finds the client account whose key the request carries.
pub fn authenticate<'a>(active: &'a ActiveLists, req: &Request) -> Result<&'a str, Refusal> {
    let key = header(req, "authorization").and_then(|v| v.strip_prefix("Bearer "));
    let account = key.and_then(|key| active.account(key));
    account
        .ok_or_else(|| Refusal::not_run(Reason::UnknownAccount, "no client account has this key"))
}

/// Authenticates a caller's request and finds the grant for its class.
pub fn authorize<'a>(
    tables: &Tables,
    active: &'a ActiveLists,
    req: &Request,
) -> Result<AuthorizedRequest<'a>, Refusal> {
    if !tables.is_ready() {
        let refusal = Refusal::not_run(Reason::NotReady, "the daemon takes no new work");
        return Err(refusal.retry_after(1_000));
    }
    let account = authenticate(active, req)?;
    find_grant(active, account, header(req, "x-request-class").unwrap_or_default())
}

/// Finds the grant for a class in the plan of a client account.
pub fn find_grant<'a>(
    active: &'a ActiveLists,
    account: &str,
    class: &str,
) -> Result<AuthorizedRequest<'a>, Refusal> {
    let grants = &active.lists.grants;
    let accounts = &active.lists.plans.accounts;
    let Some((account, entry)) = accounts.get_key_value(account) else {
        let text = format!("unknown client account {account:?}");
        return Err(Refusal::not_run(Reason::UnknownAccount, text));
    };
    let Some((class_name, class)) = grants.classes.get_key_value(class) else {
        return Err(Refusal::not_run(Reason::UnknownClass, format!("unknown class {class:?}")));
    };
    let plan = grants.plans.get(&entry.plan);
    let Some(grant) = plan.and_then(|p| p.classes.get(class_name)) else {
        let text = format!("plan {:?} does not grant class {class_name:?}", entry.plan);
        return Err(Refusal::not_run(Reason::ClassNotInPlan, text));
    };
    Ok(AuthorizedRequest { account, class_name, class, grant })
}

/// Reads the request body up to `body_limit_bytes`.
pub fn read_body(tables: &Tables, req: &mut Request) -> Result<String, Refusal> {
    let limit = tables.cfg.body_limit_bytes;
    match body_text(req, limit) {
        Ok(Some(text)) => Ok(text),
        Ok(None) => {
            let text = format!("the body is larger than {limit} bytes");
            Err(Refusal::not_run(Reason::BodyTooLarge, text))
        }
        Err(e) => Err(Refusal::not_run(Reason::MalformedRequest, e.to_string())),
    }
}

fn prefix_hash(prompt: &str) -> u64 {
    let bytes = prompt.as_bytes();
    let mut hasher = DefaultHasher::new();
    bytes[..bytes.len().min(PREFIX_BYTES)].hash(&mut hasher);
    hasher.finish()
}
