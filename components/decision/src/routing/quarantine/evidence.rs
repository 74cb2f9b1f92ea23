use super::super::content::Content;
use super::super::notices::NoticeId;
use super::PROVEN_AGE;
use crate::Millis;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Debug)]
pub(super) struct Crash {
    pub(super) service: String,
    pub(super) endpoint: String,
    pub(super) sent_at: Millis,
    pub(super) crashed_at: Millis,
    /// All contents of the request.
    pub(super) contents: BTreeSet<Content>,
    /// Those that the crash is evidence against.
    pub(super) suspects: BTreeSet<Content>,
}

/// What is known of a content.
#[derive(Clone, Debug, Default)]
pub(super) struct Evidence {
    /// The crashes under requests with the content since one with it was last completed.
    pub(super) crashes: BTreeSet<NoticeId>,
    pub(super) completed_at: Option<Millis>,
    /// The latest crash whose reporter had completed a request with the content shortly before.
    pub(super) vouched_at: Option<Millis>,
    /// When this daemon last let a request with the content through, although it is condemned, and
    /// how often it did.
    pub(super) tried_at: Option<Millis>,
    pub(super) trials: usize,
}

/// What is known of the contents of requests to one service.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceEvidence {
    pub(super) contents: BTreeMap<Content, Evidence>,
    /// When this daemon last completed a request with a content. Other daemons are told only if the
    /// content is suspected.
    pub(super) own_completions: BTreeMap<Content, Millis>,
}

impl ServiceEvidence {
    /// Returns when a request with the content was last known to be completed.
    pub(super) fn completed_at(&self, content: Content) -> Option<Millis> {
        let reported = self.contents.get(&content).and_then(|evidence| evidence.completed_at);
        reported.max(self.own_completions.get(&content).copied())
    }

    /// Returns when a request with the content was last known to be completed, here or, as far as
    /// crash reports tell, elsewhere.
    pub(super) fn proven_at(&self, content: Content) -> Option<Millis> {
        let vouched = self.contents.get(&content).and_then(|evidence| evidence.vouched_at);
        self.completed_at(content).max(vouched)
    }

    /// Returns whether a request with the content was completed in the last minute before a crash, or
    /// since.
    pub(super) fn is_proven(&self, content: Content, crash: &Crash) -> bool {
        self.proven_at(content).is_some_and(|at| crash.crashed_at.since(at) < PROVEN_AGE)
    }

    /// Returns the number of crashes that are evidence against a content.
    pub(super) fn crashes(&self, content: Content) -> usize {
        self.contents.get(&content).map_or(0, |evidence| evidence.crashes.len())
    }
}
