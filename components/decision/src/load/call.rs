use super::{Arrival, Scheduler};
use crate::Millis;
use errors::{Reason, Refusal};

/// Calls of plain services, which use no engine slot but count against account limits.
impl Scheduler {
    /// Charges a call to its account, or refuses it when a limit is reached.
    pub fn start_call(&mut self, arrival: &Arrival, now: Millis) -> Result<(), Refusal> {
        if !self.cfg.mechanisms.limits {
            return Ok(());
        }
        self.charge_account(arrival, 0, now).map_err(|ms| limit_reached(arrival, ms))?;
        self.active_calls += 1;
        Ok(())
    }

    /// Releases the stream of a charged call when the call ends.
    pub fn end_call(&mut self, arrival: &Arrival) {
        if !self.cfg.mechanisms.limits {
            return;
        }
        self.active_calls -= 1;
        self.limits.release(&arrival.account, &arrival.class, 0, 0);
    }

    /// Charges one request and its tokens; the error is the retry-after time, in milliseconds.
    pub(super) fn charge_account(
        &mut self,
        arrival: &Arrival,
        tokens: u32,
        now: Millis,
    ) -> Result<(), u64> {
        let (daemons, _) = self.peers.totals(&self.cfg.data_centre, "");
        let share = self.cfg.limit_share / f64::from(daemons + 1);
        let key = (arrival.account.as_str(), arrival.class.as_str());
        self.limits.charge(key, arrival.limits, share, tokens, now)
    }
}

/// Creates the refusal of a request or call beyond the limits of its account.
pub(super) fn limit_reached(arrival: &Arrival, wait_ms: u64) -> Refusal {
    let text = format!("account {} class {}", arrival.account, arrival.class);
    Refusal::not_run(Reason::LimitReached, text).retry_after(wait_ms)
}
