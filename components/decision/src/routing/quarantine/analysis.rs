use super::super::content::Content;
use super::super::notices::NoticeId;
use super::evidence::{Crash, Evidence, ServiceEvidence};
use super::judgement::Condemnation;
use super::{Quarantine, REQUEST_MAX_AGE, SUSPECTED_IN_ROW};
use crate::Millis;
use std::collections::{BTreeMap, BTreeSet};

/// Crashes in a row, none of them at the same time as the one before, after which a prompt part is
/// condemned.
const CRASHES_IN_ROW: usize = 3;
/// The same for a content with completions of the last minute, as it crashes endpoints only if it
/// has just begun to.
const PROVEN_CRASHES_IN_ROW: usize = 5;
/// Age from which a crash counts against a content with completions of the last minute. All daemons
/// have reported by then what else ran at the endpoint.
const REPORTING_TIME: Millis = Millis(2_000);
/// Crashes without a completion from which a content may be the cause of those of others beside it.
const MIN_ATTRIBUTED_CRASHES: usize = 3;
/// Crashes that a content must have more than another one without completions to be the cause of
/// crashes with both.
const MIN_ATTRIBUTED_EXCESS: usize = 3;
/// Crashed endpoints at which two crashes in a row suffice. Requests that run at the same time crash
/// their endpoints together, as a failure of the network or of a rack would.
const MANY_ENDPOINTS: usize = 5;
/// Time within which crashes of several endpoints may have one cause.
const SIMULTANEOUS: Millis = Millis(250);
/// Time after a crash that a part does not explain in which further ones are not looked at.
const UNEXPLAINED_INTERVAL: Millis = Millis(50);
/// Share of the endpoints that crashed at the same time of which a part must have been in requests,
/// for these crashes to be evidence against it.
const MIN_EXPLAINED_SHARE: f64 = 0.6;
/// The same for the content of a whole request: several such requests may crash endpoints at the
/// same time.
const MIN_REQUEST_EXPLAINED_SHARE: f64 = 0.3;
/// Time from the last crash under a condemned request to its only trial.
const REQUEST_TRIAL_AFTER: Millis = Millis(600_000);
/// Time from the last crash under a condemned part to the first trial; it doubles with each failed
/// trial.
const FIRST_TRIAL_AFTER: Millis = Millis(60_000);
/// Maximum number of times that the time to the next trial doubles.
const MAX_DOUBLINGS: usize = 3;

/// What the evidence says of contents.
impl Quarantine {
    /// Returns the crashes after `since`, or all.
    pub(super) fn crashes_of<'a>(
        &'a self,
        evidence: &'a Evidence,
        since: Option<Millis>,
    ) -> impl Iterator<Item = &'a Crash> {
        let crashes = evidence.crashes.iter().filter_map(|id| self.crashes.get(id));
        crashes.filter(move |crash| Some(crash.crashed_at) > since)
    }

    /// Returns the number of crashes since the last completion that had not one cause: each request
    /// was sent after the crash before, or its endpoint crashed so much later.
    pub(super) fn crashes_in_row(&self, known: &ServiceEvidence, content: Content) -> usize {
        let evidence = known.contents.get(&content);
        let since = known.completed_at(content);
        evidence.map_or(0, |evidence| self.in_row(content, evidence, since, self.latest))
    }

    pub(super) fn in_row(
        &self,
        content: Content,
        evidence: &Evidence,
        since: Option<Millis>,
        until: Millis,
    ) -> usize {
        let crashes = self.crashes_of(evidence, since);
        let mut crashes: Vec<&Crash> = crashes.filter(|c| c.crashed_at <= until).collect();
        if crashes.len() < SUSPECTED_IN_ROW {
            return crashes.len();
        }
        crashes.sort_by_key(|crash| crash.crashed_at);
        let mut last_crash = None;
        let mut last_unexplained: Option<Millis> = None;
        let mut in_row = 0;
        for crash in crashes {
            let is_next = last_crash.is_none_or(|last_crash| {
                crash.sent_at >= last_crash || crash.crashed_at.since(last_crash) > SIMULTANEOUS
            });
            // What does not explain a crash does not explain those right after it either.
            let is_unexplained = last_unexplained
                .is_some_and(|at| crash.crashed_at.since(at) < UNEXPLAINED_INTERVAL);
            if !is_next || is_unexplained {
                continue;
            }
            if self.explains(content, crash) {
                in_row += 1;
                last_crash = Some(crash.crashed_at);
            } else {
                last_unexplained = Some(crash.crashed_at);
            }
        }
        in_row
    }

    /// Returns whether a crash may be due to a content: enough of the endpoints that crashed at the
    /// same time had a request with it, and no other request at the endpoint is more likely to be
    /// the cause. Endpoints with such a request elsewhere are left out.
    pub(super) fn explains(&self, content: Content, crash: &Crash) -> bool {
        let mut endpoints: BTreeMap<&str, bool> = BTreeMap::new();
        let mut attributed: BTreeSet<&str> = BTreeSet::new();
        for other in self.simultaneous(crash) {
            let has_content = other.suspects.contains(&content);
            *endpoints.entry(&other.endpoint).or_default() |= has_content;
            if has_content {
                continue;
            }
            if other.endpoint == crash.endpoint {
                if self.is_less_likely(content, other) {
                    return false;
                }
            } else if self.has_suspect(other, MIN_ATTRIBUTED_CRASHES) {
                attributed.insert(&other.endpoint);
            }
        }
        let is_open = |(endpoint, had_content): &(&&str, &bool)| {
            **had_content || !attributed.contains(**endpoint)
        };
        let open: Vec<bool> = endpoints.iter().filter(is_open).map(|(_, had)| *had).collect();
        let explained = open.iter().filter(|had_content| **had_content).count();
        let min_share = match content {
            Content::Part(_) => MIN_EXPLAINED_SHARE,
            Content::Request(_) => MIN_REQUEST_EXPLAINED_SHARE,
        };
        explained as f64 >= open.len() as f64 * min_share
    }

    /// Returns whether a content is less likely to have crashed an endpoint than the request of a crash
    /// there, which does not have it.
    fn is_less_likely(&self, content: Content, crash: &Crash) -> bool {
        if matches!(content, Content::Part(_)) && self.has_crashing_request(crash) {
            return true;
        }
        let Some(known) = self.services.get(&crash.service) else { return false };
        let min_crashes = match known.is_proven(content, crash) {
            true => MIN_ATTRIBUTED_CRASHES,
            false => known.crashes(content) + MIN_ATTRIBUTED_EXCESS,
        };
        self.has_suspect(crash, min_crashes)
    }

    /// Returns whether the request of a crash has a content with so many crashes and without a
    /// completion in the minute before.
    fn has_suspect(&self, crash: &Crash, min_crashes: usize) -> bool {
        let Some(known) = self.services.get(&crash.service) else { return false };
        let mut suspects = crash.suspects.iter();
        suspects
            .any(|other| known.crashes(*other) >= min_crashes && !known.is_proven(*other, crash))
    }

    /// Returns the crashes of endpoints of the service at the time of a crash.
    pub(super) fn simultaneous<'a>(&'a self, crash: &'a Crash) -> impl Iterator<Item = &'a Crash> {
        let first = (crash.crashed_at - SIMULTANEOUS, NoticeId::default());
        let last =
            (crash.crashed_at + SIMULTANEOUS, NoticeId { origin: u64::MAX, sequence: u64::MAX });
        let crashes = self.by_time.range(first..=last).filter_map(|(_, id)| self.crashes.get(id));
        crashes.filter(|other| other.service == crash.service)
    }

    /// Returns whether the request of a crash was repeated and crashed other endpoints as well.
    pub(super) fn has_crashing_request(&self, crash: &Crash) -> bool {
        let known = self.services.get(&crash.service);
        let crashes = |request: &Content| {
            let evidence = known.and_then(|known| known.contents.get(request));
            evidence.map_or(0, |evidence| evidence.crashes.len())
        };
        let mut requests = crash.suspects.range(Content::Request(0)..);
        requests.any(|request| crashes(request) >= CRASHES_IN_ROW)
    }

    pub(super) fn is_condemned(
        &self,
        known: &ServiceEvidence,
        content: Content,
        now: Millis,
    ) -> bool {
        let Some(evidence) = known.contents.get(&content) else { return false };
        if evidence.crashes.len() < CRASHES_IN_ROW {
            return false;
        }
        let completed_at = known.completed_at(content);
        let crashes = self.crashes_of(evidence, completed_at);
        let Some(first) = crashes.min_by_key(|crash| crash.crashed_at) else { return false };
        if known.is_proven(content, first) {
            let until = now - REPORTING_TIME;
            return self.in_row(content, evidence, completed_at, until) >= PROVEN_CRASHES_IN_ROW;
        }
        let in_row = self.in_row(content, evidence, completed_at, now);
        let endpoints = || self.endpoints(evidence, completed_at).len();
        in_row >= CRASHES_IN_ROW || (in_row >= SUSPECTED_IN_ROW && endpoints() >= MANY_ENDPOINTS)
    }

    pub(super) fn endpoints<'a>(
        &'a self,
        evidence: &'a Evidence,
        since: Option<Millis>,
    ) -> BTreeSet<&'a str> {
        self.crashes_of(evidence, since).map(|crash| &*crash.endpoint).collect()
    }

    /// Returns the contents that were in all crashes under one, without those that were in a
    /// completed request since the first.
    pub(super) fn signature(&self, known: &ServiceEvidence, content: Content) -> BTreeSet<Content> {
        let Some(evidence) = known.contents.get(&content) else { return BTreeSet::new() };
        let since = known.completed_at(content);
        let mut crashes = self.crashes_of(evidence, since);
        let Some(first) = crashes.next() else { return BTreeSet::new() };
        let common =
            crashes.fold(first.contents.clone(), |common, crash| &common & &crash.contents);
        let first_crash = self.crashes_of(evidence, since).map(|crash| crash.crashed_at).min();
        common.into_iter().filter(|content| known.completed_at(*content) <= first_crash).collect()
    }

    /// Returns whether trials of a condemned content are this daemon's: it observed the last crash.
    pub(super) fn owns_trial(&self, evidence: &Evidence) -> bool {
        let crashes = evidence.crashes.iter().filter_map(|id| Some((id, self.crashes.get(id)?)));
        let last = crashes.max_by_key(|(_, crash)| crash.crashed_at);
        last.is_some_and(|(id, _)| id.origin == self.origin)
    }

    pub(super) fn condemnation(
        &self,
        content: Content,
        evidence: &Evidence,
        in_row: usize,
        now: Millis,
    ) -> Condemnation {
        let last_crash = self.crashes_of(evidence, None).map(|crash| crash.crashed_at).max();
        let last = last_crash.max(evidence.tried_at).unwrap_or_default();
        let doublings = in_row.saturating_sub(CRASHES_IN_ROW).min(MAX_DOUBLINGS);
        let retry_at = match content {
            Content::Part(_) => last + Millis(FIRST_TRIAL_AFTER.0 << doublings),
            Content::Request(_) if evidence.trials == 0 => last + REQUEST_TRIAL_AFTER,
            Content::Request(_) => last + REQUEST_MAX_AGE,
        };
        Condemnation {
            content,
            endpoints: self.endpoints(evidence, None).into_iter().map(str::to_owned).collect(),
            last_crash_age: now.since(last_crash.unwrap_or_default()),
            retry_after: retry_at.since(now),
        }
    }
}
