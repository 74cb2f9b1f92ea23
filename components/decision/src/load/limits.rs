use super::{AccountLimits, bucket::TokenBucket};
use crate::Millis;
use std::collections::BTreeMap;

/// The period of the limits, in milliseconds.
const MINUTE_MS: f64 = 60_000.0;

/// The part of a minute's tokens and requests that may arrive in one burst.
const BURST_FRACTION: f64 = 0.25;

/// The upper bound of the retry-after time, in milliseconds.
const MAX_RETRY_AFTER_MS: u64 = 60_000;

/// The usage of one class by one account.
#[derive(Clone, Debug, Default)]
struct Usage {
    requests: TokenBucket,
    tokens: TokenBucket,
    streams: u32,
}

/// The account limits as this daemon grants them.
///
/// Each daemon grants its part of a limit, and at least one request and one stream. With `n`
/// daemons that know of each other the sum exceeds a limit by less than `n` streams and `n`
/// requests of burst. A daemon that another does not yet know of adds at most the part that the
/// other still grants on its behalf, until the peer timeout.
#[derive(Clone, Debug, Default)]
pub(super) struct Limits {
    accounts: BTreeMap<String, BTreeMap<String, Usage>>,
    last_swept: Option<String>,
}

impl Limits {
    /// Charges a request to an account and class (`key`); the error is the retry-after time, in
    /// milliseconds.
    pub(super) fn charge(
        &mut self,
        key: (&str, &str),
        limits: AccountLimits,
        share: f64,
        tokens: u32,
        now: Millis,
    ) -> Result<(), u64> {
        let (account, class) = key;
        let request_rate = RateLimit::new(limits.requests_per_minute, share, 1.0);
        let token_rate = RateLimit::new(limits.tokens_per_minute, share, f64::from(tokens));
        let usage = self.usage(account, class, &request_rate, &token_rate, now);
        let streams = (f64::from(limits.streams) * share).ceil().max(1.0) as u32;
        if limits.streams > 0 && usage.streams >= streams {
            return Err(1_000);
        }
        usage.requests.refill(request_rate.per_ms, request_rate.burst, now);
        usage.tokens.refill(token_rate.per_ms, token_rate.burst, now);
        let wait_ms = request_rate.wait_ms(&usage.requests, 1.0);
        let wait_ms = wait_ms.max(token_rate.wait_ms(&usage.tokens, f64::from(tokens)));
        if wait_ms > 0 {
            return Err(wait_ms.min(MAX_RETRY_AFTER_MS));
        }
        usage.requests.debit(1.0);
        usage.tokens.debit(f64::from(tokens));
        usage.streams += 1;
        Ok(())
    }

    /// Releases the stream of a request and corrects the charge to the tokens used.
    pub(super) fn release(
        &mut self,
        account: &str,
        class: &str,
        charged_tokens: u32,
        used_tokens: u32,
    ) {
        let usage = self.accounts.get_mut(account).and_then(|classes| classes.get_mut(class));
        if let Some(usage) = usage {
            usage.streams = usage.streams.saturating_sub(1);
            usage.tokens.debit(f64::from(used_tokens) - f64::from(charged_tokens));
        }
    }

    /// Returns the charged streams of all accounts.
    pub(super) fn streams(&self) -> u64 {
        let all = self.accounts.values().flat_map(BTreeMap::values);
        all.map(|usage| u64::from(usage.streams)).sum()
    }

    /// Drops the usage of one account's classes that were idle for a minute; each call checks the
    /// account after the previous one.
    pub(super) fn sweep(&mut self, now: Millis) {
        let next = match self.last_swept.take() {
            Some(last) => {
                use std::ops::Bound::{Excluded, Unbounded};
                let mut after = self.accounts.range::<str, _>((Excluded(last.as_str()), Unbounded));
                after.next().map(|(name, _)| name.clone())
            }
            None => self.accounts.keys().next().cloned(),
        };
        let Some(name) = next else { return };
        if let Some(classes) = self.accounts.get_mut(&name) {
            classes.retain(|_, usage| usage.streams > 0 || !usage.requests.is_idle(now));
            if classes.is_empty() {
                self.accounts.remove(&name);
            }
        }
        self.last_swept = Some(name);
    }

    fn usage(
        &mut self,
        account: &str,
        class: &str,
        request_rate: &RateLimit,
        token_rate: &RateLimit,
        now: Millis,
    ) -> &mut Usage {
        if !self.accounts.contains_key(account) {
            self.accounts.insert(account.to_string(), BTreeMap::new());
        }
        let classes = self.accounts.get_mut(account).expect("inserted above");
        if !classes.contains_key(class) {
            let usage = Usage {
                requests: TokenBucket::full(request_rate.burst, now),
                tokens: TokenBucket::full(token_rate.burst, now),
                streams: 0,
            };
            classes.insert(class.to_string(), usage);
        }
        classes.get_mut(class).expect("inserted above")
    }
}

/// This daemon's part of a per-minute limit.
struct RateLimit {
    per_ms: f64,
    burst: f64,
    limited: bool,
}

impl RateLimit {
    fn new(per_minute: u32, share: f64, min_burst: f64) -> RateLimit {
        let granted = f64::from(per_minute) * share;
        let burst = (granted * BURST_FRACTION).max(min_burst);
        RateLimit { per_ms: granted / MINUTE_MS, burst, limited: per_minute > 0 }
    }

    fn wait_ms(&self, bucket: &TokenBucket, amount: f64) -> u64 {
        if self.limited { bucket.wait_ms(amount, self.per_ms) } else { 0 }
    }
}
