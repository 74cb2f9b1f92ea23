use crate::tables::{InForce, Tables};
use config::{Class, Grant};
use decision::Millis;
use decision::load::Arrival;
use errors::{Reason, Refusal};
use tiny_http::Request;

/// The body size that the daemon takes, in bytes.
pub const BODY_LIMIT: u64 = 1 << 20;

/// A caller's request, checked against the lists in force.
#[derive(Debug)]
pub struct Permit<'a> {
    /// The client account.
    pub account: &'a str,
    /// The name of the request class.
    pub class_name: &'a str,
    /// The request class.
    pub class: &'a Class,
    /// What the plan grants.
    pub grant: &'a Grant,
}

impl Permit<'_> {
    /// Describes the request to the scheduler.
    pub fn arrival(&self, request: u64) -> Arrival {
        let class = self.class;
        let serves = if class.service.is_empty() { &class.model } else { &class.service };
        Arrival {
            request,
            account: self.account.to_string(),
            class: self.class_name.to_string(),
            tier: self.grant.tier,
            serves: serves.clone(),
            repeatable: class.repeatable,
            first_token: Millis(class.target.first_token_ms),
            finish: Millis(class.target.finish_ms),
            ..Arrival::default()
        }
    }
}

/// Returns the value of a header.
pub fn header<'a>(req: &'a Request, name: &'static str) -> Option<&'a str> {
    let found = req.headers().iter().find(|h| h.field.equiv(name));
    found.map(|h| h.value.as_str())
}

/// Finds the account, the class and the grant of a caller's request.
pub fn permit<'a>(
    tables: &Tables,
    in_force: &'a InForce,
    req: &Request,
) -> Result<Permit<'a>, Refusal> {
    if !tables.is_ready() {
        let refusal = Refusal::not_run(Reason::NotReady, "the daemon takes no new work");
        return Err(refusal.retry_after(1_000));
    }
    let key = header(req, "authorization").and_then(|v| v.strip_prefix("Bearer "));
    let Some(account) = key.and_then(|key| in_force.account(key)) else {
        return Err(Refusal::not_run(Reason::UnknownAccount, "no client account has this key"));
    };
    let class = header(req, "x-request-class").unwrap_or_default();
    let Some((class_name, class)) = in_force.lists.grants.classes.get_key_value(class) else {
        return Err(Refusal::not_run(Reason::UnknownClass, format!("unknown class {class:?}")));
    };
    let plan = in_force.lists.plans.accounts.get(account).map(|a| a.plan.as_str());
    let plan = plan.unwrap_or_default();
    let grants = in_force.lists.grants.plans.get(plan);
    let Some(grant) = grants.and_then(|p| p.classes.get(class_name)) else {
        let text = format!("plan {plan:?} does not grant class {class_name:?}");
        return Err(Refusal::not_run(Reason::ClassNotInPlan, text));
    };
    Ok(Permit { account, class_name, class, grant })
}
