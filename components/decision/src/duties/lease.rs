//! Which daemon holds the duties, decided by conditional writes of one stored object.
//!
//! The holder renews its lease by replacing the object; each write has another `renewal`, by which a
//! write whose response was lost is recognised later. A candidate claims the object when it has not
//! changed for longer than a lease, and acts one lease after its claim. By then a former holder has
//! ceased to act, also one whose writes went to a history of the store that was lost.

use super::lease_step::{LeaseChange, LeaseConfig, LeaseEvent, LeaseStep, LossReason};
use super::record::{DutyRecord, KnownHolder, UsageState};
use super::token::next_token;
use crate::Millis;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

/// The holder renews its lease after this part of it: two renewals may fail before it expires.
const RENEWAL_DIVISOR: u64 = 3;
/// A candidate reads the object after this part of a lease.
const READ_DIVISOR: u64 = 2;
/// After a failed call to the store, the holder waits for this part of a lease.
const RETRY_DIVISOR: u64 = 12;
/// The longest random delay of a claim is this part of a lease.
const CLAIM_DELAY_DIVISOR: u64 = 6;
/// A daemon that does not contend is asked again after this part of a lease.
const IDLE_DIVISOR: u64 = 2;

/// The object as a candidate saw it.
#[derive(Clone, Debug, Eq, PartialEq)]
struct View {
    /// The object and its revision; `None` if there is none.
    object: Option<(DutyRecord, u64)>,
    /// When it was first read like this.
    since: Millis,
    /// When it was last read like this.
    confirmed_at: Millis,
}

#[derive(Clone, Debug, Default)]
struct Candidate {
    view: Option<View>,
    claim_at: Option<Millis>,
}

#[derive(Clone, Debug)]
struct Holder {
    token: u64,
    /// When its calls may begin: one lease after the claim was acknowledged.
    acts_from: Millis,
    /// When the lease expires.
    expires_at: Millis,
    /// When the last renewal that was carried out was sent.
    renewed_at: Millis,
    /// The revision of the object; `None` if it has to be read.
    revision: Option<u64>,
    /// Whether the object has been read since the claim, and since a write of unknown outcome.
    is_confirmed: bool,
}

#[derive(Clone, Debug)]
enum Role {
    Candidate(Candidate),
    Holder(Holder),
    Closed,
}

/// A write whose response has not been received.
#[derive(Clone, Debug)]
struct Attempt {
    sent_at: Millis,
    record: DutyRecord,
}

/// The part of one daemon in the choice of the holder. The caller carries out one step after the other
/// and states its outcome.
#[derive(Debug)]
pub struct Lease {
    cfg: LeaseConfig,
    rng: Pcg64Mcg,
    role: Role,
    /// The highest token that is known from anywhere.
    highest_token: u64,
    /// The number of the last write of this process, whatever its outcome.
    last_renewal: u64,
    /// Writes that may have been carried out, by their `renewal`.
    attempts: BTreeMap<u64, Attempt>,
    /// When the current step was begun.
    step_at: Millis,
    next_read: Millis,
    /// The state of the usage reports in the object.
    stored_usage: Option<UsageState>,
    /// The state of the usage reports that the next write stores.
    pending_usage: Option<UsageState>,
    is_closing: bool,
    changes: Vec<LeaseChange>,
}

impl Lease {
    /// Creates the part of a daemon. `seed` differs between daemons.
    pub fn new(cfg: LeaseConfig, seed: u64) -> Lease {
        Lease {
            cfg,
            rng: Pcg64Mcg::seed_from_u64(seed),
            role: Role::Candidate(Candidate::default()),
            highest_token: 0,
            last_renewal: 0,
            attempts: BTreeMap::new(),
            step_at: Millis(0),
            next_read: Millis(0),
            stored_usage: None,
            pending_usage: None,
            is_closing: false,
            changes: Vec::new(),
        }
    }

    /// Returns the token if calls may be sent now.
    pub fn may_act(&self, now: Millis) -> Option<u64> {
        self.act_until(now).map(|(token, _)| token)
    }

    /// Returns the token, and the time before which calls must have ended, if calls may be sent now.
    pub fn act_until(&self, now: Millis) -> Option<(u64, Millis)> {
        let Role::Holder(holder) = &self.role else { return None };
        let is_known = holder.is_confirmed && !self.is_closing;
        let is_valid = now >= holder.acts_from && now < holder.expires_at;
        let is_newest = self.highest_token <= holder.token;
        (is_known && is_valid && is_newest).then_some((holder.token, holder.expires_at))
    }

    /// Returns the token if this daemon is the holder, also while it may not send calls for a moment.
    pub fn held_token(&self, now: Millis) -> Option<u64> {
        match &self.role {
            Role::Holder(holder) if now < holder.expires_at && !self.is_closing => {
                Some(holder.token)
            }
            _ => None,
        }
    }

    /// Returns the state of the usage reports in the object, as it was last read or written.
    pub fn stored_usage(&self) -> Option<&UsageState> {
        self.stored_usage.as_ref()
    }

    /// Has the next write store this state of the usage reports; the holder writes at once.
    pub fn set_usage(&mut self, usage: UsageState) {
        self.pending_usage = Some(usage);
    }

    /// Returns what other daemons are told while this one is the holder.
    pub fn announced(&self, now: Millis) -> Option<KnownHolder> {
        let token = self.held_token(now)?;
        let window = self.stored_usage.as_ref().map(|usage| usage.window);
        Some(KnownHolder { peer: self.cfg.own.clone(), token, window })
    }

    /// Returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<LeaseChange> {
        std::mem::take(&mut self.changes)
    }

    /// Takes note of a token that another daemon reports.
    pub fn observe_token(&mut self, token: u64) {
        self.highest_token = self.highest_token.max(token);
        if let Role::Holder(holder) = &self.role
            && holder.token < self.highest_token
        {
            self.lose(LossReason::HigherToken);
        }
    }

    /// Gives up the duties: no calls may be sent any more, and the holder writes a release.
    pub fn close(&mut self) {
        self.is_closing = true;
    }

    /// Returns the next step. `unix_ms` is the time of day, which need not be exact; `contends` says
    /// whether this daemon may claim the duties.
    pub fn next(&mut self, now: Millis, unix_ms: u64, contends: bool) -> LeaseStep {
        self.step_at = now;
        if let Role::Holder(holder) = &self.role
            && now >= holder.expires_at
        {
            self.lose(LossReason::Expired);
        }
        match &self.role {
            Role::Closed => LeaseStep::Stop,
            Role::Holder(_) => self.next_of_holder(now),
            Role::Candidate(_) if self.is_closing => self.stop(),
            Role::Candidate(_) if !contends => self.idle(now),
            Role::Candidate(_) => self.next_of_candidate(now, unix_ms),
        }
    }

    fn stop(&mut self) -> LeaseStep {
        self.role = Role::Closed;
        LeaseStep::Stop
    }

    /// Forgets what was read, which is old by the time that this daemon contends.
    fn idle(&mut self, now: Millis) -> LeaseStep {
        self.role = Role::Candidate(Candidate::default());
        LeaseStep::Wait(now + Millis(self.cfg.lease.0 / IDLE_DIVISOR))
    }

    fn next_of_holder(&mut self, now: Millis) -> LeaseStep {
        let Role::Holder(holder) = &self.role else { return LeaseStep::Stop };
        let renew_at = holder.renewed_at + Millis(self.cfg.lease.0 / RENEWAL_DIVISOR);
        let has_news = self.pending_usage.is_some() || self.is_closing;
        match holder.revision {
            None if now >= self.next_read => LeaseStep::Read,
            None => LeaseStep::Wait(self.next_read.min(holder.expires_at)),
            Some(replaces) if now >= renew_at || has_news => {
                let usage = self.pending_usage.clone().or_else(|| self.stored_usage.clone());
                self.write(holder.token, usage, Some(replaces), now)
            }
            Some(_) => LeaseStep::Wait(renew_at.min(holder.expires_at)),
        }
    }

    fn next_of_candidate(&mut self, now: Millis, unix_ms: u64) -> LeaseStep {
        let Role::Candidate(candidate) = &self.role else { return LeaseStep::Stop };
        match (&candidate.view, candidate.claim_at) {
            (Some(view), Some(claim_at)) if now >= claim_at => {
                let replaces = view.object.as_ref().map(|(_, revision)| *revision);
                let token = next_token(self.highest_token, unix_ms, &self.cfg);
                let usage = self.stored_usage.clone();
                self.write(token, usage, replaces, now)
            }
            _ if now >= self.next_read => LeaseStep::Read,
            (_, Some(claim_at)) => LeaseStep::Wait(claim_at.min(self.next_read)),
            _ => LeaseStep::Wait(self.next_read),
        }
    }

    fn write(
        &mut self,
        token: u64,
        usage: Option<UsageState>,
        replaces: Option<u64>,
        now: Millis,
    ) -> LeaseStep {
        let lease = self.cfg.lease;
        self.attempts.retain(|_, attempt| attempt.sent_at + lease > now);
        self.last_renewal += 1;
        let record = DutyRecord {
            holder: self.cfg.own.clone(),
            incarnation: self.cfg.incarnation,
            token,
            renewal: self.last_renewal,
            is_released: self.is_closing,
            usage,
        };
        self.attempts.insert(self.last_renewal, Attempt { sent_at: now, record: record.clone() });
        LeaseStep::Write { record, replaces }
    }

    /// Takes note of the outcome of the last step.
    pub fn observe(&mut self, event: LeaseEvent, now: Millis) {
        match event {
            LeaseEvent::Read(object) => self.observe_object(object, now),
            LeaseEvent::Written(revision) => self.observe_written(revision, now),
            LeaseEvent::ReadFailed => self.delay_read(now),
            LeaseEvent::Conflict => self.observe_conflict(now),
            LeaseEvent::WriteFailed => self.observe_failed_write(now),
        }
    }

    /// Delays the next read after a failed one.
    fn delay_read(&mut self, now: Millis) {
        let divisor = match &self.role {
            Role::Holder(_) => RETRY_DIVISOR,
            Role::Candidate(_) | Role::Closed => READ_DIVISOR,
        };
        self.next_read = now + Millis(self.cfg.lease.0 / divisor);
    }

    fn observe_failed_write(&mut self, now: Millis) {
        self.reread(now);
        if let Role::Holder(holder) = &self.role {
            self.changes.push(LeaseChange::RenewalFailed { token: holder.token });
        }
    }

    fn observe_conflict(&mut self, now: Millis) {
        // The last write is not carried out; an earlier one without a response may have been.
        self.attempts.remove(&self.last_renewal);
        self.observe_failed_write(now);
    }

    /// Has the object read at once.
    fn reread(&mut self, now: Millis) {
        self.next_read = now;
        match &mut self.role {
            Role::Holder(holder) => {
                holder.revision = None;
                holder.is_confirmed = false;
            }
            Role::Candidate(candidate) => candidate.claim_at = None,
            Role::Closed => {}
        }
    }

    fn observe_written(&mut self, revision: Option<u64>, now: Millis) {
        let Some(attempt) = self.attempts.remove(&self.last_renewal) else { return };
        // Earlier writes were conditional on a revision that is replaced now.
        self.attempts.clear();
        self.next_read = now;
        self.adopt(attempt, revision, now);
    }

    /// Takes note of a write of this process that was carried out.
    fn adopt(&mut self, attempt: Attempt, revision: Option<u64>, now: Millis) {
        let Attempt { sent_at, record } = attempt;
        let token = record.token;
        if record.is_released {
            self.role = Role::Closed;
            self.changes.push(LeaseChange::Released { token });
            return;
        }
        if self.pending_usage == record.usage {
            self.pending_usage = None;
        }
        self.stored_usage = record.usage;
        self.highest_token = self.highest_token.max(token);
        let expires_at = sent_at + self.cfg.lease;
        match &mut self.role {
            Role::Holder(holder) if holder.token == token => {
                holder.expires_at = holder.expires_at.max(expires_at);
                holder.renewed_at = sent_at;
                holder.revision = revision;
            }
            Role::Closed => {}
            Role::Holder(_) | Role::Candidate(_) => {
                self.role = Role::Holder(Holder {
                    token,
                    acts_from: now + self.cfg.lease,
                    expires_at,
                    renewed_at: sent_at,
                    // The claim is read back.
                    revision: None,
                    is_confirmed: false,
                });
                self.changes.push(LeaseChange::Claimed { token });
                // A claim of unknown outcome may have been carried out after a later one elsewhere.
                self.observe_token(token);
            }
        }
    }

    fn observe_object(&mut self, object: Option<(DutyRecord, u64)>, now: Millis) {
        let (own, token) = match &object {
            Some((record, _)) => (record.incarnation == self.cfg.incarnation, record.token),
            None => (false, 0),
        };
        self.highest_token = self.highest_token.max(token);
        match &self.role {
            Role::Closed => {}
            Role::Holder(holder) if own && token == holder.token => self.confirm(object, now),
            Role::Holder(_) => {
                self.lose(LossReason::Replaced);
                self.watch(object, now);
            }
            Role::Candidate(_) => match object {
                Some((record, revision)) if own => self.observe_own_claim(record, revision, now),
                object => self.watch(object, now),
            },
        }
    }

    /// Takes note of an object of the holder that it is: as it is known, or as a write without a
    /// response left it, or from an older copy of the store.
    fn confirm(&mut self, object: Option<(DutyRecord, u64)>, now: Millis) {
        let Some((record, revision)) = object else { return };
        let attempt = self.attempts.remove(&record.renewal);
        self.attempts.clear();
        if let Some(attempt) = attempt {
            self.adopt(attempt, Some(revision), now);
        }
        if let Role::Holder(holder) = &mut self.role {
            holder.revision = Some(revision);
            holder.is_confirmed = true;
        }
    }

    /// Takes note of an object that names this process, though it is not the holder: a claim without
    /// a response, or the lease has expired.
    fn observe_own_claim(&mut self, record: DutyRecord, revision: u64, now: Millis) {
        match self.attempts.remove(&record.renewal) {
            Some(attempt) if attempt.sent_at + self.cfg.lease > now => {
                self.attempts.clear();
                self.adopt(attempt, Some(revision), now);
                self.confirm(Some((record, revision)), now);
            }
            _ => {
                // Nobody else acts by this history of the store, so the duties are claimed at once.
                // With a new token, as the holder in a history that was lost may have had a higher one.
                self.watch(Some((record, revision)), now);
                if let Role::Candidate(candidate) = &mut self.role {
                    candidate.claim_at = Some(now);
                }
            }
        }
    }

    /// Takes note of the object as a candidate, and plans a claim if its holder is gone.
    fn watch(&mut self, object: Option<(DutyRecord, u64)>, now: Millis) {
        self.next_read = now + Millis(self.cfg.lease.0 / READ_DIVISOR);
        self.merge_usage(&object);
        let delay = self.rng.random_range(0..=self.cfg.lease.0 / CLAIM_DELAY_DIVISOR);
        let (lease, read_at) = (self.cfg.lease, self.step_at);
        let Role::Candidate(candidate) = &mut self.role else { return };
        // What happened between reads that are far apart is unknown, also if nothing seems to have
        // changed: the store may have come back as an older copy.
        let seen = candidate
            .view
            .take()
            .filter(|view| view.object == object && read_at.since(view.confirmed_at) <= lease);
        let since = seen.map_or(now, |view| view.since);
        let is_free = object.as_ref().is_none_or(|(record, _)| record.is_released);
        let unchanged_for = read_at.since(since);
        let is_abandoned = unchanged_for >= lease + Millis(lease.0 / 2);
        candidate.view = Some(View { object, since, confirmed_at: now });
        candidate.claim_at = (is_free || is_abandoned).then(|| now + Millis(delay));
    }

    /// Takes over the state of the usage reports from the object. A later one that this process has
    /// begun itself is kept, as the store may have come back as an older copy.
    fn merge_usage(&mut self, object: &Option<(DutyRecord, u64)>) {
        let Some(stored) = object.as_ref().and_then(|(record, _)| record.usage.as_ref()) else {
            return;
        };
        let order = |usage: &UsageState| (usage.window, usage.is_accepted);
        if self.stored_usage.as_ref().is_none_or(|own| order(stored) >= order(own)) {
            self.stored_usage = Some(stored.clone());
        }
    }

    fn lose(&mut self, reason: LossReason) {
        if let Role::Holder(holder) = &self.role {
            self.changes.push(LeaseChange::Lost { token: holder.token, reason });
        }
        self.role = Role::Candidate(Candidate::default());
        self.pending_usage = None;
        self.next_read = Millis(0);
    }
}
