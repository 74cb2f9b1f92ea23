use super::notices::NoticeId;
use super::prompt::Prompt;
use crate::Millis;
use messages::feed::CrashNotice;
use std::collections::{BTreeMap, BTreeSet};

/// Crashes in a row, each of a request that was sent after the crash before, after which a prompt
/// part is condemned.
const CRASHES_IN_ROW: usize = 3;
/// Crashed endpoints at which two crashes in a row suffice. Requests that run at the same time crash
/// their endpoints together, as a failure of the network or of a rack would.
const MANY_ENDPOINTS: usize = 5;
/// Crashes in a row at which a request that crashed its endpoint is not continued at another.
const SUSPECTED_IN_ROW: usize = 2;
/// Time within which crashes of several endpoints may have one cause.
const SIMULTANEOUS: Millis = Millis(250);
/// Time after a crash that a part does not explain in which further ones are not looked at.
const UNEXPLAINED_INTERVAL: Millis = Millis(50);
/// Share of the endpoints that crashed at the same time of which a part must have been in requests,
/// for these crashes to be evidence against it.
const MIN_EXPLAINED_SHARE: f64 = 0.6;
/// Age at which a crash is no longer evidence.
const MAX_AGE: Millis = Millis(600_000);
/// Maximum number of crashes that are kept.
const MAX_CRASHES: usize = 128;
/// Number of own completions by part at which old ones are discarded.
const MAX_OWN_COMPLETIONS: usize = 4_096;
/// Age at which an own completion may be discarded.
const OWN_COMPLETION_MAX_AGE: Millis = Millis(10_000);
/// Time from the last crash under a condemned part to the first trial; it doubles with each failed
/// trial.
const FIRST_TRIAL_AFTER: Millis = Millis(60_000);
/// Maximum number of times that the time to the next trial doubles.
const MAX_DOUBLINGS: usize = 3;

#[derive(Clone, Debug)]
struct Crash {
    service: String,
    endpoint: String,
    sent_at: Millis,
    crashed_at: Millis,
    parts: BTreeSet<u64>,
}

/// What is known of a prompt part.
#[derive(Clone, Debug, Default)]
struct Evidence {
    /// The crashes under requests with the part since one with the part was last completed.
    crashes: BTreeSet<NoticeId>,
    completed_at: Option<Millis>,
    /// When this daemon last let a request with the part through, although it is condemned.
    tried_at: Option<Millis>,
}

/// What is known of the prompt parts of requests to one service.
#[derive(Clone, Debug, Default)]
struct ServiceEvidence {
    parts: BTreeMap<u64, Evidence>,
    /// When this daemon last completed a request with a part. Other daemons are told only if the
    /// part is suspected.
    own_completions: BTreeMap<u64, Millis>,
}

impl ServiceEvidence {
    /// Returns when a request with the part was last known to be completed.
    fn completed_at(&self, part: u64) -> Option<Millis> {
        let reported = self.parts.get(&part).and_then(|evidence| evidence.completed_at);
        reported.max(self.own_completions.get(&part).copied())
    }
}

/// Why a request is not sent to endpoints.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Condemnation {
    /// The id of the prompt part.
    pub part: u64,
    /// The endpoints that crashed under requests with it, in order of their ids.
    pub endpoints: Vec<String>,
    /// The time since the last of these crashes.
    pub last_crash_age: Millis,
    /// The time until a request with the part may be tried again.
    pub retry_after: Millis,
}

/// Whether a request may be sent to an endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Judgement {
    /// It may.
    Admitted,
    /// It may, but is not continued at another endpoint if one crashes under it.
    Suspected,
    /// It may, as the only one of this daemon, to find out whether its part still crashes endpoints.
    Trial(u64),
    /// It may not.
    Condemned(Condemnation),
}

/// Finds the prompt parts that crash endpoints, from the crashes that all daemons observe, and keeps
/// requests with them from the endpoints.
///
/// A part crashes endpoints if each request with it does. The evidence against a part is the number
/// of crashes in a row, with no completed request between them. Requests that run at the same time
/// count once, since one event may have ended all their endpoints, and a crash does not count if most
/// of the endpoints that crashed with it had no request with the part.
///
/// Requests that crash endpoints also have parts in common that are sound. A condemned part is
/// therefore refused only together with all parts that were in each of its crashes and not in a
/// completed request since: a request that lacks one of them tells which of them is to blame.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    /// The incarnation of this daemon in ids of notices.
    origin: u64,
    crashes: BTreeMap<NoticeId, Crash>,
    by_time: BTreeSet<(Millis, NoticeId)>,
    services: BTreeMap<String, ServiceEvidence>,
}

impl Quarantine {
    /// Creates the quarantine of the daemon with this incarnation.
    pub fn new(origin: u64) -> Quarantine {
        Quarantine { origin, ..Quarantine::default() }
    }

    /// Records a crash. Returns the parts that it condemns, which were not condemned before.
    pub fn record_crash(
        &mut self,
        id: NoticeId,
        notice: &CrashNotice,
        crashed_at: Millis,
    ) -> Vec<u64> {
        let crash = Crash {
            service: notice.service.clone(),
            endpoint: notice.endpoint.clone(),
            sent_at: crashed_at - Millis(notice.ran_ms),
            crashed_at,
            parts: notice.parts.iter().copied().collect(),
        };
        let parts = crash.parts.clone();
        let before = self.condemned_of(&notice.service, &parts);
        self.crashes.insert(id, crash);
        self.by_time.insert((crashed_at, id));
        let service = self.services.entry(notice.service.clone()).or_default();
        for part in &parts {
            let evidence = service.parts.entry(*part).or_default();
            if evidence.completed_at.is_none_or(|completed| completed < crashed_at) {
                evidence.crashes.insert(id);
            }
        }
        let after = self.condemned_of(&notice.service, &parts);
        after.difference(&before).copied().collect()
    }

    /// Records that this daemon completed a request. Returns its parts that are suspected, of which
    /// other daemons must be told.
    pub fn record_own_completion(
        &mut self,
        service: &str,
        prompt: &Prompt,
        now: Millis,
    ) -> Vec<u64> {
        if !self.services.contains_key(service) {
            self.services.insert(service.to_owned(), ServiceEvidence::default());
        }
        let Some(known) = self.services.get_mut(service) else { return Vec::new() };
        let ids = || prompt.shared().iter().map(|part| part.id);
        known.own_completions.extend(ids().map(|part| (part, now)));
        if known.own_completions.len() > MAX_OWN_COMPLETIONS {
            known.own_completions.retain(|_, at| now.since(*at) < OWN_COMPLETION_MAX_AGE);
        }
        if known.own_completions.len() > MAX_OWN_COMPLETIONS {
            known.own_completions.clear();
        }
        let known = &self.services[service];
        // The own completion is left out: it clears the parts for this daemon only.
        let is_suspected = |part: &u64| {
            let evidence = known.parts.get(part);
            evidence.is_some_and(|e| self.in_row(*part, e, e.completed_at) >= SUSPECTED_IN_ROW)
        };
        ids().filter(is_suspected).collect()
    }

    /// Returns whether a request has a part under which an endpoint crashed since a request with it
    /// was last completed.
    pub fn has_evidence(&self, service: &str, prompt: &Prompt) -> bool {
        let Some(known) = self.services.get(service) else { return false };
        let mut evidence = prompt.shared().iter().filter_map(|part| known.parts.get(&part.id));
        evidence.any(|evidence| !evidence.crashes.is_empty())
    }

    /// Returns whether the completion of a request with these parts at the time `at` is news: there
    /// is evidence against one of them from before.
    pub fn is_news(&self, service: &str, parts: &[u64], at: Millis) -> bool {
        let Some(known) = self.services.get(service) else { return false };
        let is_older = |crash: &Crash| crash.crashed_at <= at;
        let mut evidence = parts.iter().filter_map(|part| known.parts.get(part));
        evidence.any(|evidence| self.crashes_of(evidence, None).any(is_older))
    }

    /// Records that a request with these parts was completed, here or at another daemon. Returns
    /// the parts that are no longer condemned.
    pub fn record_completion(&mut self, service: &str, parts: &[u64], at: Millis) -> Vec<u64> {
        let parts: BTreeSet<u64> = parts.iter().copied().collect();
        let before = self.condemned_of(service, &parts);
        let known = self.services.entry(service.to_owned()).or_default();
        for part in &parts {
            let evidence = known.parts.entry(*part).or_default();
            evidence.completed_at = evidence.completed_at.max(Some(at));
            let crashes = &self.crashes;
            evidence.crashes.retain(|id| crashes.get(id).is_some_and(|c| c.crashed_at > at));
        }
        let after = self.condemned_of(service, &parts);
        before.difference(&after).copied().collect()
    }

    /// Decides whether a request may be sent to an endpoint.
    pub fn judge(&self, service: &str, prompt: &Prompt, now: Millis) -> Judgement {
        let mut judgement = Judgement::Admitted;
        let Some(known) = self.services.get(service).filter(|known| !known.parts.is_empty()) else {
            return judgement;
        };
        let ids: BTreeSet<u64> = prompt.shared().iter().map(|part| part.id).collect();
        for part in &ids {
            let Some(evidence) = known.parts.get(part) else { continue };
            let in_row = self.crashes_in_row(known, *part);
            if in_row < SUSPECTED_IN_ROW || !self.signature(known, *part).is_subset(&ids) {
                continue;
            }
            if !self.is_condemned(known, *part) {
                if judgement == Judgement::Admitted {
                    judgement = Judgement::Suspected;
                }
                continue;
            }
            let condemnation = self.condemnation(*part, evidence, in_row, now);
            if condemnation.retry_after > Millis(0) || !self.owns_trial(evidence) {
                return Judgement::Condemned(condemnation);
            }
            judgement = Judgement::Trial(*part);
        }
        judgement
    }

    /// Records that a request was sent as a trial.
    pub fn start_trial(&mut self, service: &str, part: u64, now: Millis) {
        let known = self.services.get_mut(service);
        if let Some(evidence) = known.and_then(|known| known.parts.get_mut(&part)) {
            evidence.tried_at = Some(now);
        }
    }

    /// Returns the crashes that are evidence against condemned parts.
    pub fn evidence(&self) -> BTreeSet<NoticeId> {
        self.condemned().flat_map(|evidence| &evidence.crashes).copied().collect()
    }

    /// Returns the number of condemned parts.
    pub fn condemned_parts(&self) -> usize {
        self.condemned().count()
    }

    /// Discards old crashes, and above the limit the oldest ones that condemn no part.
    pub fn expire(&mut self, now: Millis) {
        let is_recent = |at: Millis| now.since(at) < MAX_AGE;
        self.crashes.retain(|_, crash| is_recent(crash.crashed_at));
        let excess = self.crashes.len().saturating_sub(MAX_CRASHES);
        if excess > 0 {
            let needed = self.evidence();
            let mut ids: Vec<NoticeId> = self.crashes.keys().copied().collect();
            ids.sort_by_key(|id| (needed.contains(id), self.crashes[id].crashed_at));
            for id in ids.iter().take(excess) {
                self.crashes.remove(id);
            }
        }
        let crashes = &self.crashes;
        self.by_time.retain(|(_, id)| crashes.contains_key(id));
        for known in self.services.values_mut() {
            known.parts.retain(|_, evidence| {
                evidence.crashes.retain(|id| crashes.contains_key(id));
                !evidence.crashes.is_empty() || evidence.completed_at.is_some_and(is_recent)
            });
        }
    }

    fn condemned(&self) -> impl Iterator<Item = &Evidence> {
        self.services.values().flat_map(move |known| {
            let condemned = known.parts.iter().filter(|(part, _)| self.is_condemned(known, **part));
            condemned.map(|(_, evidence)| evidence)
        })
    }

    fn condemned_of(&self, service: &str, parts: &BTreeSet<u64>) -> BTreeSet<u64> {
        let Some(known) = self.services.get(service) else { return BTreeSet::new() };
        parts.iter().copied().filter(|part| self.is_condemned(known, *part)).collect()
    }

    /// Returns the crashes after `since`, or all.
    fn crashes_of<'a>(
        &'a self,
        evidence: &'a Evidence,
        since: Option<Millis>,
    ) -> impl Iterator<Item = &'a Crash> {
        let crashes = evidence.crashes.iter().filter_map(|id| self.crashes.get(id));
        crashes.filter(move |crash| Some(crash.crashed_at) > since)
    }

    /// Returns the number of crashes since the last completion of which each request was sent after
    /// the crash before.
    fn crashes_in_row(&self, known: &ServiceEvidence, part: u64) -> usize {
        let evidence = known.parts.get(&part);
        evidence.map_or(0, |evidence| self.in_row(part, evidence, known.completed_at(part)))
    }

    fn in_row(&self, part: u64, evidence: &Evidence, since: Option<Millis>) -> usize {
        let mut crashes: Vec<&Crash> = self.crashes_of(evidence, since).collect();
        if crashes.len() < SUSPECTED_IN_ROW {
            return crashes.len();
        }
        crashes.sort_by_key(|crash| crash.crashed_at);
        let mut last_crash = None;
        let mut last_unexplained: Option<Millis> = None;
        let mut in_row = 0;
        for crash in crashes {
            let is_next = last_crash.is_none_or(|last_crash| crash.sent_at >= last_crash);
            // What does not explain a crash does not explain those right after it either.
            let is_unexplained = last_unexplained
                .is_some_and(|at| crash.crashed_at.since(at) < UNEXPLAINED_INTERVAL);
            if !is_next || is_unexplained {
                continue;
            }
            if self.explains(part, crash) {
                in_row += 1;
                last_crash = Some(crash.crashed_at);
            } else {
                last_unexplained = Some(crash.crashed_at);
            }
        }
        in_row
    }

    /// Returns whether most endpoints that crashed at the time of a crash had a request with the part.
    fn explains(&self, part: u64, crash: &Crash) -> bool {
        let first = (crash.crashed_at - SIMULTANEOUS, NoticeId::default());
        let last =
            (crash.crashed_at + SIMULTANEOUS, NoticeId { origin: u64::MAX, sequence: u64::MAX });
        let mut endpoints: BTreeMap<&str, bool> = BTreeMap::new();
        let simultaneous = self.by_time.range(first..=last);
        for other in simultaneous.filter_map(|(_, id)| self.crashes.get(id)) {
            if other.service == crash.service {
                *endpoints.entry(&other.endpoint).or_default() |= other.parts.contains(&part);
            }
        }
        let explained = endpoints.values().filter(|had_part| **had_part).count();
        explained as f64 >= endpoints.len() as f64 * MIN_EXPLAINED_SHARE
    }

    fn is_condemned(&self, known: &ServiceEvidence, part: u64) -> bool {
        let Some(evidence) = known.parts.get(&part) else { return false };
        if evidence.crashes.len() < CRASHES_IN_ROW {
            return false;
        }
        let in_row = self.crashes_in_row(known, part);
        let endpoints = || self.endpoints(evidence, known.completed_at(part)).len();
        in_row >= CRASHES_IN_ROW || (in_row >= SUSPECTED_IN_ROW && endpoints() >= MANY_ENDPOINTS)
    }

    fn endpoints<'a>(&'a self, evidence: &'a Evidence, since: Option<Millis>) -> BTreeSet<&'a str> {
        self.crashes_of(evidence, since).map(|crash| &*crash.endpoint).collect()
    }

    /// Returns the parts that were in all crashes under a part, without those that were in a
    /// completed request since the first.
    fn signature(&self, known: &ServiceEvidence, part: u64) -> BTreeSet<u64> {
        let Some(evidence) = known.parts.get(&part) else { return BTreeSet::new() };
        let since = known.completed_at(part);
        let mut crashes = self.crashes_of(evidence, since);
        let Some(first) = crashes.next() else { return BTreeSet::new() };
        let common = crashes.fold(first.parts.clone(), |common, crash| &common & &crash.parts);
        let first_crash = self.crashes_of(evidence, since).map(|crash| crash.crashed_at).min();
        common.into_iter().filter(|part| known.completed_at(*part) <= first_crash).collect()
    }

    /// Returns whether trials of a condemned part are this daemon's: it observed the last crash.
    fn owns_trial(&self, evidence: &Evidence) -> bool {
        let crashes = evidence.crashes.iter().filter_map(|id| Some((id, self.crashes.get(id)?)));
        let last = crashes.max_by_key(|(_, crash)| crash.crashed_at);
        last.is_some_and(|(id, _)| id.origin == self.origin)
    }

    fn condemnation(
        &self,
        part: u64,
        evidence: &Evidence,
        in_row: usize,
        now: Millis,
    ) -> Condemnation {
        let last_crash = self.crashes_of(evidence, None).map(|crash| crash.crashed_at).max();
        let last = last_crash.max(evidence.tried_at).unwrap_or_default();
        let doublings = in_row.saturating_sub(CRASHES_IN_ROW).min(MAX_DOUBLINGS);
        let trial_at = last + Millis(FIRST_TRIAL_AFTER.0 << doublings);
        Condemnation {
            part,
            endpoints: self.endpoints(evidence, None).into_iter().map(str::to_owned).collect(),
            last_crash_age: now.since(last_crash.unwrap_or_default()),
            retry_after: trial_at.since(now),
        }
    }
}
