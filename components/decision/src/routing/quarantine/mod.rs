mod analysis;
mod evidence;
mod judgement;

pub use judgement::{Condemnation, Judgement};

use super::content::Content;
use super::notices::NoticeId;
use crate::Millis;
use evidence::{Crash, Evidence, ServiceEvidence};
use messages::feed::CrashNotice;
use std::collections::{BTreeMap, BTreeSet};

/// Crashes in a row at which a request that crashed its endpoint is not continued at another.
const SUSPECTED_IN_ROW: usize = 2;
/// Age at which a crash is no longer evidence against prompt parts.
const MAX_AGE: Millis = Millis(600_000);
/// Age at which a crash is no longer evidence against the content of a whole request.
const REQUEST_MAX_AGE: Millis = Millis(86_400_000);
/// Age up to which a completion is a reason to look for the cause of crashes elsewhere.
const PROVEN_AGE: Millis = Millis(60_000);
/// Maximum number of crashes that are kept, those against condemned contents included.
const MAX_CRASHES: usize = 128;
/// Number of crashes that are kept at least of those that condemn nothing, however many do.
const MIN_OPEN_CRASHES: usize = 64;
/// Maximum number of crashes against condemned contents.
const MAX_CONDEMNING_CRASHES: usize = 1_024;
/// Number of own completions by part at which old ones are discarded.
const MAX_OWN_COMPLETIONS: usize = 4_096;
/// Age at which an own completion may be discarded.
const OWN_COMPLETION_MAX_AGE: Millis = Millis(10_000);

/// Finds the contents that crash endpoints, from the crashes that all daemons observe, and keeps
/// requests with them from the endpoints.
///
/// A content crashes endpoints if each request with it does. The evidence against it is the number
/// of crashes in a row, with no completed request between them. Requests that run at the same time
/// count once, since one event may have ended all their endpoints, and a crash does not count if most
/// of the endpoints that crashed with it had no request with the content.
///
/// A crash breaks off all requests at its endpoint, so sound contents gather crashes beside one that
/// crashes endpoints, in proportion to their share of the traffic. Two things tell them apart. A
/// content with completions of the last minute needs more crashes, and only those count that all
/// daemons have had time to report. And a crash does not count against a content if another request
/// at the endpoint had one that crashed more endpoints and was not completed.
///
/// Requests that crash endpoints also have prompt parts in common that are sound. A condemned part is
/// therefore refused only together with all contents that were in each of its crashes and not in a
/// completed request since: a request that lacks one of them tells which of them is to blame. Nor
/// need a digest be to blame: the bodies of sound requests may be equal.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    /// The incarnation of this daemon in ids of notices.
    origin: u64,
    crashes: BTreeMap<NoticeId, Crash>,
    by_time: BTreeSet<(Millis, NoticeId)>,
    services: BTreeMap<String, ServiceEvidence>,
    /// The latest time that this quarantine knows of.
    latest: Millis,
}

impl Quarantine {
    /// Creates the quarantine of the daemon with this incarnation.
    pub fn new(origin: u64) -> Quarantine {
        Quarantine { origin, ..Quarantine::default() }
    }

    /// Records a crash. Returns the contents that it condemns, which were not condemned before.
    pub fn record_crash(
        &mut self,
        id: NoticeId,
        notice: &CrashNotice,
        crashed_at: Millis,
    ) -> Vec<Content> {
        self.latest = self.latest.max(crashed_at);
        let contents = Content::set(&notice.parts, notice.request);
        let crash = Crash {
            service: notice.service.clone(),
            endpoint: notice.endpoint.clone(),
            sent_at: crashed_at - Millis(notice.ran_ms),
            crashed_at,
            contents: contents.clone(),
            suspects: contents.clone(),
        };
        if self.crashes.len() > 2 * MAX_CRASHES {
            self.discard_excess();
        }
        let before = self.condemned_of(&notice.service, &contents);
        self.crashes.insert(id, crash);
        self.by_time.insert((crashed_at, id));
        let service = self.services.entry(notice.service.clone()).or_default();
        for content in &contents {
            let evidence = service.contents.entry(*content).or_default();
            let is_proven = matches!(content, Content::Part(id) if notice.proven.contains(id));
            if is_proven {
                evidence.vouched_at = evidence.vouched_at.max(Some(crashed_at));
            }
            if evidence.completed_at.is_none_or(|completed| completed < crashed_at) {
                evidence.crashes.insert(id);
            }
        }
        let after = self.condemned_of(&notice.service, &contents);
        after.difference(&before).copied().collect()
    }

    /// Records that this daemon completed a request. Returns its contents that are suspected, of
    /// which other daemons must be told.
    pub fn record_own_completion(
        &mut self,
        service: &str,
        contents: &BTreeSet<Content>,
        now: Millis,
    ) -> Vec<Content> {
        self.latest = self.latest.max(now);
        if !self.services.contains_key(service) {
            self.services.insert(service.to_owned(), ServiceEvidence::default());
        }
        let Some(known) = self.services.get_mut(service) else { return Vec::new() };
        // Nobody shares a digest before an endpoint has crashed under it.
        let is_shared = |content: &&Content| {
            matches!(content, Content::Part(_)) || known.contents.contains_key(content)
        };
        let shared: Vec<Content> = contents.iter().filter(is_shared).copied().collect();
        known.own_completions.extend(shared.into_iter().map(|content| (content, now)));
        if known.own_completions.len() > MAX_OWN_COMPLETIONS {
            known.own_completions.retain(|_, at| now.since(*at) < OWN_COMPLETION_MAX_AGE);
        }
        if known.own_completions.len() > MAX_OWN_COMPLETIONS {
            known.own_completions.clear();
        }
        let known = &self.services[service];
        // The own completion is left out: it clears the contents for this daemon only.
        let is_suspected = |content: &Content| {
            let evidence = known.contents.get(content);
            evidence.is_some_and(|e| {
                self.in_row(*content, e, e.completed_at, self.latest) >= SUSPECTED_IN_ROW
            })
        };
        contents.iter().copied().filter(is_suspected).collect()
    }

    /// Returns those of some prompt parts with which this daemon completed requests recently.
    pub fn proven_parts(&self, service: &str, parts: &[u64], now: Millis) -> Vec<u64> {
        let Some(known) = self.services.get(service) else { return Vec::new() };
        let is_proven = |id: &&u64| {
            let completed_at = known.own_completions.get(&Content::Part(**id));
            completed_at.is_some_and(|at| now.since(*at) < PROVEN_AGE)
        };
        parts.iter().filter(is_proven).copied().collect()
    }

    /// Returns whether there is evidence for or against a content.
    pub fn knows(&self, service: &str, content: Content) -> bool {
        self.services.get(service).is_some_and(|known| known.contents.contains_key(&content))
    }

    /// Returns whether there is evidence against any content of requests to a service.
    pub fn watches(&self, service: &str) -> bool {
        self.services.get(service).is_some_and(|known| !known.contents.is_empty())
    }

    /// Returns whether there is evidence against the content of a whole request to a service.
    pub fn watches_requests(&self, service: &str) -> bool {
        let known = self.services.get(service);
        known.is_some_and(|known| known.contents.range(Content::Request(0)..).next().is_some())
    }

    /// Returns whether a request has a content under which an endpoint crashed since a request with
    /// it was last completed.
    pub fn has_evidence(&self, service: &str, contents: &BTreeSet<Content>) -> bool {
        let Some(known) = self.services.get(service) else { return false };
        let mut evidence = contents.iter().filter_map(|content| known.contents.get(content));
        evidence.any(|evidence| !evidence.crashes.is_empty())
    }

    /// Returns whether the completion of a request with these contents at the time `at` is news:
    /// there is evidence against one of them from before.
    pub fn is_news(&self, service: &str, contents: &BTreeSet<Content>, at: Millis) -> bool {
        let Some(known) = self.services.get(service) else { return false };
        let is_older = |crash: &Crash| crash.crashed_at <= at;
        let mut evidence = contents.iter().filter_map(|content| known.contents.get(content));
        evidence.any(|evidence| self.crashes_of(evidence, None).any(is_older))
    }

    /// Records that a request with these contents was completed, here or at another daemon. Returns
    /// the contents that are no longer condemned.
    pub fn record_completion(
        &mut self,
        service: &str,
        contents: &BTreeSet<Content>,
        at: Millis,
    ) -> Vec<Content> {
        self.latest = self.latest.max(at);
        let before = self.condemned_of(service, contents);
        let known = self.services.entry(service.to_owned()).or_default();
        for content in contents {
            let evidence = known.contents.entry(*content).or_default();
            evidence.completed_at = evidence.completed_at.max(Some(at));
            let crashes = &self.crashes;
            evidence.crashes.retain(|id| crashes.get(id).is_some_and(|c| c.crashed_at > at));
        }
        let after = self.condemned_of(service, contents);
        before.difference(&after).copied().collect()
    }

    /// Decides whether a request with these contents may be sent to an endpoint.
    pub fn judge(&self, service: &str, contents: &BTreeSet<Content>, now: Millis) -> Judgement {
        let mut judgement = Judgement::Admitted;
        let Some(known) = self.services.get(service).filter(|known| !known.contents.is_empty())
        else {
            return judgement;
        };
        // Whole requests come last in their order, and are judged first: they wait longest.
        for content in contents.iter().rev() {
            let Some(evidence) = known.contents.get(content) else { continue };
            let in_row = self.crashes_in_row(known, *content);
            if in_row < SUSPECTED_IN_ROW || !self.signature(known, *content).is_subset(contents) {
                continue;
            }
            if !self.is_condemned(known, *content, now) {
                if judgement == Judgement::Admitted {
                    judgement = Judgement::Suspected;
                }
                continue;
            }
            let condemnation = self.condemnation(*content, evidence, in_row, now);
            if condemnation.retry_after > Millis(0) || !self.owns_trial(evidence) {
                return Judgement::Condemned(condemnation);
            }
            judgement = Judgement::Trial(*content);
        }
        judgement
    }

    /// Records that a request was sent as a trial.
    pub fn start_trial(&mut self, service: &str, content: Content, now: Millis) {
        let known = self.services.get_mut(service);
        if let Some(evidence) = known.and_then(|known| known.contents.get_mut(&content)) {
            evidence.tried_at = Some(now);
            evidence.trials += 1;
        }
    }

    /// Returns the crashes that are evidence against condemned contents.
    pub fn evidence(&self) -> BTreeSet<NoticeId> {
        self.condemned().flat_map(|evidence| &evidence.crashes).copied().collect()
    }

    /// Returns the number of condemned contents.
    pub fn condemned_contents(&self) -> usize {
        self.condemned().count()
    }

    /// Discards old crashes, and above the limits the oldest ones.
    pub fn expire(&mut self, now: Millis) {
        self.latest = self.latest.max(now);
        let is_recent = |at: Millis| now.since(at) < MAX_AGE;
        for crash in self.crashes.values_mut().filter(|crash| !is_recent(crash.crashed_at)) {
            crash.suspects.retain(|content| matches!(content, Content::Request(_)));
        }
        self.crashes.retain(|_, crash| {
            !crash.suspects.is_empty() && now.since(crash.crashed_at) < REQUEST_MAX_AGE
        });
        let crashes = &self.crashes;
        self.by_time.retain(|(_, id)| crashes.contains_key(id));
        if self.crashes.len() > MAX_CRASHES {
            self.discard_excess();
        }
        let crashes = &self.crashes;
        for known in self.services.values_mut() {
            known.contents.retain(|content, evidence| {
                let is_evidence = |id: &NoticeId| {
                    crashes.get(id).is_some_and(|crash| crash.suspects.contains(content))
                };
                evidence.crashes.retain(is_evidence);
                !evidence.crashes.is_empty() || evidence.completed_at.is_some_and(is_recent)
            });
        }
    }

    fn discard_excess(&mut self) {
        let condemning = self.evidence();
        let (mut condemning, mut open): (Vec<NoticeId>, Vec<NoticeId>) =
            self.crashes.keys().copied().partition(|id| condemning.contains(id));
        let max_open = MAX_CRASHES.saturating_sub(condemning.len()).max(MIN_OPEN_CRASHES);
        for (ids, max) in [(&mut condemning, MAX_CONDEMNING_CRASHES), (&mut open, max_open)] {
            // Requests that a crash broke off beside its cause come once; the cause comes again.
            ids.sort_by_key(|id| (self.is_repeated(id), self.crashes[id].crashed_at));
            for id in ids.iter().take(ids.len().saturating_sub(max)) {
                self.crashes.remove(id);
            }
        }
        let crashes = &self.crashes;
        self.by_time.retain(|(_, id)| crashes.contains_key(id));
    }

    /// Returns whether a content of a crash that was not completed lately was in others as well.
    fn is_repeated(&self, id: &NoticeId) -> bool {
        let crash = &self.crashes[id];
        let Some(known) = self.services.get(&crash.service) else { return false };
        let mut suspects = crash.suspects.iter();
        suspects.any(|content| !known.is_proven(*content, crash) && known.crashes(*content) > 1)
    }

    fn condemned(&self) -> impl Iterator<Item = &Evidence> {
        self.services.values().flat_map(move |known| {
            let is_condemned = |content: &Content| self.is_condemned(known, *content, self.latest);
            let condemned = known.contents.iter().filter(move |(c, _)| is_condemned(c));
            condemned.map(|(_, evidence)| evidence)
        })
    }

    fn condemned_of(&self, service: &str, contents: &BTreeSet<Content>) -> BTreeSet<Content> {
        let Some(known) = self.services.get(service) else { return BTreeSet::new() };
        let is_condemned = |content: &Content| self.is_condemned(known, *content, self.latest);
        contents.iter().copied().filter(is_condemned).collect()
    }
}
