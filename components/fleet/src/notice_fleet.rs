use decision::Millis;
use decision::routing::{
    ChangeLog, Content, Judgement, NoticeBoard, NoticeId, NoticeSource, Quarantine,
};
use messages::feed::Notice;
use std::collections::BTreeSet;

/// Length of a simulated step.
pub(crate) const STEP: Millis = Millis(10);
const DATA_CENTRES: usize = 4;
/// The first half of the data centres form one region, the others a second.
const REGIONS: usize = 2;
/// How long a daemon delays the response to a poll until there is a change.
const POLL_WAIT: Millis = Millis(400);
/// Time after which a poll without a response has failed.
const POLL_TIMEOUT: Millis = Millis(800);
/// Time from the loss of a store reader until another one has taken over.
const TAKEOVER_TIME: Millis = Millis(1_500);
/// Time between the exchanges of two regions.
const EXCHANGE_INTERVAL: Millis = Millis(500);
/// Time in which notices are collected before they are passed on.
const COLLECTION_TIME: Millis = Millis(100);
const CHANGE_LOG_LIMIT: usize = 1_000;

/// A poll that waits for its response.
#[derive(Clone, Debug)]
struct Poll {
    reader: usize,
    sent_at: Millis,
}

/// The position in the change log of a reader.
#[derive(Clone, Debug, PartialEq)]
struct Position {
    reader: usize,
    sequence: u64,
}

/// A simulated daemon.
#[derive(Debug)]
pub(crate) struct Daemon {
    pub(crate) board: NoticeBoard,
    pub(crate) quarantine: Quarantine,
    collected: Vec<NoticeId>,
    collected_since: Millis,
    log: ChangeLog<NoticeId>,
    position: Option<Position>,
    poll: Option<Poll>,
    is_up: bool,
}

impl Daemon {
    fn new(incarnation: u64) -> Daemon {
        Daemon {
            board: NoticeBoard::new(incarnation),
            quarantine: Quarantine::new(incarnation),
            collected: Vec::new(),
            collected_since: Millis(0),
            log: ChangeLog::new(CHANGE_LOG_LIMIT),
            position: None,
            poll: None,
            is_up: true,
        }
    }

    fn receive(&mut self, notices: &[Notice], source: NoticeSource, now: Millis) {
        for notice in notices {
            let completion = notice.completion.as_ref();
            let at = now - Millis(notice.age_ms);
            let is_redundant = completion.is_some_and(|completion| {
                let contents = Content::set(&completion.parts, completion.request);
                !self.quarantine.is_news(&completion.service, &contents, at)
            });
            if !is_redundant && self.board.receive(notice, source, now) {
                self.apply(notice, now);
            }
        }
    }

    fn apply(&mut self, notice: &Notice, now: Millis) {
        let at = now - Millis(notice.age_ms);
        let id = NoticeId::of(notice);
        if let Some(crash) = &notice.crash {
            self.quarantine.record_crash(id, crash, at);
        }
        if let Some(completion) = &notice.completion {
            let contents = Content::set(&completion.parts, completion.request);
            self.quarantine.record_completion(&completion.service, &contents, at);
        }
        if self.collected.is_empty() {
            self.collected_since = now;
        }
        self.collected.push(id);
    }
}

/// Daemons that exchange notices in the same way as the gateways on the users' platform: each polls
/// the store reader of its data centre, those poll the reader of the first data centre of their
/// region, and these exchange theirs. Network delays are left out.
#[derive(Debug)]
pub(crate) struct NoticeFleet {
    pub(crate) daemons: Vec<Daemon>,
    /// The reader of each data centre, and when it takes over.
    readers: Vec<(usize, Millis)>,
    /// The time until which the regions are separated.
    pub(crate) separated_until: Millis,
    /// Bytes of notices that the daemon with the most sent.
    sent_bytes: Vec<u64>,
}

impl NoticeFleet {
    pub(crate) fn new(size: usize) -> NoticeFleet {
        NoticeFleet {
            daemons: (0..size).map(|n| Daemon::new(n as u64 + 1)).collect(),
            readers: (0..DATA_CENTRES).map(|n| (n, Millis(0))).collect(),
            separated_until: Millis(0),
            sent_bytes: vec![0; size],
        }
    }

    fn data_centre(daemon: usize) -> usize {
        daemon % DATA_CENTRES
    }

    /// The daemon that another one polls; `None` for the first reader of a region.
    fn followed(&self, daemon: usize) -> Option<usize> {
        let own = NoticeFleet::data_centre(daemon);
        if self.readers[own].0 != daemon {
            return Some(self.readers[own].0);
        }
        let per_region = DATA_CENTRES / REGIONS;
        let first = own / per_region * per_region;
        (own != first).then_some(self.readers[first].0)
    }

    /// Publishes a notice that a daemon observed. Returns its id, unless there are too many.
    pub(crate) fn publish(
        &mut self,
        daemon: usize,
        content: Notice,
        now: Millis,
    ) -> Option<NoticeId> {
        let daemon = &mut self.daemons[daemon];
        let notice = daemon.board.publish(content, now)?;
        daemon.apply(&notice, now);
        Some(NoticeId::of(&notice))
    }

    pub(crate) fn is_up(&self, daemon: usize) -> bool {
        self.daemons[daemon].is_up
    }

    pub(crate) fn judge(
        &self,
        daemon: usize,
        service: &str,
        contents: &BTreeSet<Content>,
        now: Millis,
    ) -> Judgement {
        self.daemons[daemon].quarantine.judge(service, contents, now)
    }

    /// Kills the store reader of a data centre; another daemon takes over.
    pub(crate) fn kill_reader(&mut self, data_centre: usize, now: Millis) {
        let reader = self.readers[data_centre].0;
        self.daemons[reader].is_up = false;
        let successor = (0..self.daemons.len())
            .find(|n| NoticeFleet::data_centre(*n) == data_centre && self.daemons[*n].is_up);
        if let Some(successor) = successor {
            self.readers[data_centre] = (successor, now + TAKEOVER_TIME);
        }
    }

    /// The most bytes of notices that a daemon sent.
    pub(crate) fn most_sent_bytes(&self) -> u64 {
        self.sent_bytes.iter().copied().max().unwrap_or(0)
    }

    /// The bytes of notices that the daemons sent on average.
    pub(crate) fn mean_sent_bytes(&self) -> u64 {
        self.sent_bytes.iter().sum::<u64>() / self.sent_bytes.len().max(1) as u64
    }

    /// Advances all daemons by one step.
    pub(crate) fn step(&mut self, now: Millis) {
        for daemon in self.daemons.iter_mut().filter(|daemon| daemon.is_up) {
            let is_due = now.since(daemon.collected_since) >= COLLECTION_TIME;
            if is_due && !daemon.collected.is_empty() {
                let ids = std::mem::take(&mut daemon.collected);
                ids.into_iter().for_each(|id| daemon.log.push(id));
            }
        }
        for daemon in 0..self.daemons.len() {
            if self.daemons[daemon].is_up {
                self.poll(daemon, now);
            }
        }
        if now.0.is_multiple_of(EXCHANGE_INTERVAL.0) && now >= self.separated_until {
            self.exchange_regions(now);
        }
    }

    fn poll(&mut self, daemon: usize, now: Millis) {
        let Some(poll) = self.daemons[daemon].poll.clone() else {
            return self.send_poll(daemon, now);
        };
        let waited = now.since(poll.sent_at);
        if !self.daemons[poll.reader].is_up {
            if waited >= POLL_TIMEOUT {
                self.daemons[daemon].poll = None;
                self.daemons[daemon].position = None;
            }
            return;
        }
        let reader = &self.daemons[poll.reader];
        let position = self.daemons[daemon].position.clone();
        let sequence = position.filter(|p| p.reader == poll.reader).map(|p| p.sequence);
        if sequence == Some(reader.log.last()) && waited < POLL_WAIT {
            return;
        }
        let changes: Option<Vec<Notice>> = sequence.and_then(|sequence| {
            let ids = reader.log.since(sequence)?;
            Some(ids.filter_map(|id| reader.board.get(*id, now)).collect())
        });
        let is_first = changes.is_none();
        let groups = reader.board.digest().differing(self.daemons[daemon].board.digest().groups());
        let notices = changes.unwrap_or_else(|| reader.board.in_groups(&groups, now));
        let sequence = reader.log.last();
        self.sent_bytes[poll.reader] += bytes(&notices);
        let follower = &mut self.daemons[daemon];
        follower.receive(&notices, NoticeSource::Peer, now);
        if is_first {
            follower.board.forward_missing(&notices, Some(&groups), now);
        }
        follower.position = Some(Position { reader: poll.reader, sequence });
        follower.poll = None;
    }

    fn send_poll(&mut self, daemon: usize, now: Millis) {
        let Some(reader) = self.followed(daemon) else { return };
        let has_taken_over = self.readers.iter().any(|(r, since)| *r == reader && now >= *since);
        if !has_taken_over {
            return;
        }
        self.daemons[daemon].poll = Some(Poll { reader, sent_at: now });
        if self.daemons[reader].is_up {
            let notices = self.daemons[daemon].board.forwarded(now);
            self.sent_bytes[daemon] += bytes(&notices);
            self.daemons[reader].receive(&notices, NoticeSource::Follower, now);
        }
    }

    fn exchange_regions(&mut self, now: Millis) {
        let per_region = DATA_CENTRES / REGIONS;
        let roots: BTreeSet<usize> =
            (0..REGIONS).map(|region| self.readers[region * per_region].0).collect();
        for from in &roots {
            for to in roots.iter().filter(|to| *to != from) {
                if self.daemons[*from].is_up && self.daemons[*to].is_up {
                    let notices = self.daemons[*from].board.forwarded(now);
                    self.sent_bytes[*from] += bytes(&notices);
                    self.daemons[*to].receive(&notices, NoticeSource::Peer, now);
                }
            }
        }
    }
}

fn bytes(notices: &[Notice]) -> u64 {
    rmp_serde::to_vec_named(notices).map_or(0, |buf| buf.len() as u64)
}
