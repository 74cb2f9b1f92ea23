use super::readers::{ClaimOutcome, Peer, PeerFault, ReaderRecord, Step};
use super::rendezvous::rendezvous_hash;
use crate::Millis;
use messages::feed::Rank;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};

/// Number of followers that a reader names as its standbys.
const STANDBYS: usize = 3;
/// Time for which a daemon that did not respond is not followed.
const UNREACHABLE_TIME: Millis = Millis(5_000);
/// The same while this daemon looks for the first one to follow: daemons that lost power together start
/// within some hundred milliseconds.
const UNREACHABLE_TIME_AT_START: Millis = Millis(150);
/// Time for which a daemon that has not read the store yet is not followed.
const UNREADY_TIME: Millis = Millis(50);
/// Time between reads of the records by a reader.
const RECORDS_INTERVAL: Millis = Millis(5_000);
/// Delay after a failed read or write of the records; the random addition is as long.
const RECORDS_RETRY_DELAY: Millis = Millis(500);
/// Range of the random delay before a daemon creates the record of its data centre: the fleet
/// starts within a fraction of a second, and one daemon is enough.
const FIRST_CLAIM_SPREAD: Millis = Millis(1_500);
/// Delay between the successions of consecutive standbys.
const STANDBY_INTERVAL: Millis = Millis(150);
/// Minimum delay of a daemon that is not a standby: the standbys come first.
const OTHERS_DELAY: Millis = Millis(400);
/// Range of the random addition to [`OTHERS_DELAY`] when neither the reader nor a standby responds.
const UNREACHABLE_SPREAD: Millis = Millis(1_000);
/// Time in which all daemons that are not standbys try to succeed a reader that responds but cannot
/// reach the store itself. It does not depend on their number, so that the store may turn away any of
/// them without a change reaching the others late.
const OTHERS_SPREAD: Millis = Millis(300);
/// Delay between the successions of consecutive daemons whose own confirmation is old while their reader
/// says nothing of a failure: the reader may be sound, and a daemon that is slow itself catches up.
const UNCONFIRMED_INTERVAL: Millis = Millis(300);
/// Range of the random addition to [`OTHERS_DELAY`] in that case, for a daemon without a rank.
const UNCONFIRMED_SPREAD: Millis = Millis(4_000);
/// Number of daemons that a daemon without a rank assumes in its data centre.
const ASSUMED_DAEMONS: u32 = 64;
/// Minimum time between the tries of a daemon that is not a standby. A daemon that the store serves again
/// must be up to date some seconds later, whatever the store does to the others.
const OTHERS_RETRY_DELAY: Millis = Millis(2_000);
/// Range of the random addition to [`OTHERS_RETRY_DELAY`].
const OTHERS_RETRY_SPREAD: Millis = Millis(1_000);
/// Time for which a read of the records suffices for a conditional write.
const RECORDS_VALID_TIME: Millis = Millis(1_000);
/// Seed of the ranking of data centres and standbys, the same on all daemons.
const RANK_SEED: u64 = 0x4ead;

/// Decides whom a daemon follows, and when it becomes the reader of its data centre.
#[derive(Clone, Debug)]
pub struct ReaderElection {
    own: Peer,
    data_centre: String,
    region: String,
    rng: Pcg64Mcg,
    /// The records by data centre, as last read.
    records: BTreeMap<String, ReaderRecord>,
    records_read_at: Option<Millis>,
    /// When the records were last read without `stale`.
    records_current_at: Option<Millis>,
    next_read_at: Millis,
    /// The standbys of the data centre's reader, in order.
    standbys: Vec<Peer>,
    /// The position of this daemon among those of its data centre, and their number, if known.
    rank: Option<Rank>,
    unavailable_until: BTreeMap<String, Millis>,
    /// Whether a poll has succeeded.
    has_followed: bool,
    /// When this daemon tries to become the reader, and why; `None` while there is no reason to.
    claim: Option<(ClaimReason, Millis)>,
}

/// Why a follower tries to become the reader.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimReason {
    /// The data centre has no record yet.
    NoRecord,
    /// Neither the reader nor a standby before this daemon responds.
    NoneReachable,
    /// The followed daemon responds, but says that its sources fail.
    Outdated,
    /// The followed daemon responds and says nothing of a failure, but the own confirmation is old.
    Unconfirmed,
}

/// Why a daemon takes its configuration for outdated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Doubt {
    /// Its source of updates fails.
    SourceFails,
    /// Its confirmation is old, though its source does not fail as far as it knows: the daemon itself may
    /// be slow.
    ConfirmationOld,
}

impl ReaderElection {
    /// Creates the state of a daemon that has not read the records yet.
    pub fn new(own: Peer, data_centre: &str, region: &str, seed: u64) -> ReaderElection {
        ReaderElection {
            own,
            data_centre: data_centre.to_owned(),
            region: region.to_owned(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            records: BTreeMap::new(),
            records_read_at: None,
            records_current_at: None,
            next_read_at: Millis::default(),
            standbys: Vec::new(),
            rank: None,
            unavailable_until: BTreeMap::new(),
            has_followed: false,
            claim: None,
        }
    }

    /// Returns whether this daemon is the reader of its data centre.
    pub fn is_reader(&self) -> bool {
        self.reader().is_some_and(|reader| *reader == self.own)
    }

    /// Returns the reader of the own data centre, if known.
    pub fn reader(&self) -> Option<&Peer> {
        self.records.get(&self.data_centre).map(|record| &record.reader)
    }

    /// Returns the standbys of the data centre's reader, in order.
    pub fn standbys(&self) -> &[Peer] {
        &self.standbys
    }

    /// Records what the store returned. Stale data never replaces a record by an older one.
    pub fn observe_records(
        &mut self,
        records: BTreeMap<String, ReaderRecord>,
        stale: bool,
        now: Millis,
    ) {
        self.records_read_at = Some(now);
        self.next_read_at = now + RECORDS_INTERVAL;
        let reader_before = self.reader().cloned();
        if stale {
            for (data_centre, record) in records {
                let known = self.records.get(&data_centre);
                // A record of the same revision may have been corrected by what a daemon said.
                if known.is_none_or(|known| known.revision < record.revision) {
                    self.records.insert(data_centre, record);
                }
            }
        } else {
            self.records_current_at = Some(now);
            self.records = records;
        }
        if self.reader() != reader_before.as_ref() {
            // The new reader is tried before it is replaced.
            self.claim = None;
        }
    }

    /// Records that the records could not be read.
    pub fn observe_read_failure(&mut self, now: Millis) {
        let delay = if self.is_reader() { RECORDS_INTERVAL } else { self.retry_delay() };
        self.next_read_at = now + delay;
        let retry_at = self.next_claim_retry(now);
        self.delay_claim(retry_at);
    }

    /// Records the outcome of [`Step::Claim`].
    pub fn observe_claim(&mut self, outcome: ClaimOutcome, now: Millis) {
        self.records_current_at = None;
        match outcome {
            ClaimOutcome::Written => {
                let region = self.region.clone();
                let revision = self.records.get(&self.data_centre).map_or(0, |r| r.revision);
                // The store assigns a higher revision, which the next read returns.
                let record =
                    ReaderRecord { reader: self.own.clone(), region, revision: revision + 1 };
                self.records.insert(self.data_centre.clone(), record);
                self.standbys.clear();
                if let Some((ClaimReason::Outdated | ClaimReason::Unconfirmed, _)) = self.claim {
                    self.avoid_region_readers(now);
                }
                self.claim = None;
            }
            ClaimOutcome::Conflict => {}
            ClaimOutcome::Failed => {
                let retry_at = self.next_claim_retry(now);
                self.delay_claim(retry_at);
            }
        }
    }

    /// Records which daemon reads the store for a data centre, according to another daemon of it.
    /// Ignored for other data centres than the own one: a daemon may have been replaced as the
    /// reader while it waited for the response of the reader of another data centre.
    pub fn observe_reader(&mut self, data_centre: &str, reader: &Peer, standbys: &[Peer]) {
        if data_centre != self.data_centre {
            return;
        }
        standbys.clone_into(&mut self.standbys);
        let Some(record) = self.records.get_mut(&self.data_centre) else { return };
        if record.reader != *reader && !self.unavailable_until.contains_key(&reader.name) {
            record.reader = reader.clone();
            self.claim = None;
        }
    }

    /// Returns when this daemon tries to become the reader, and why, if it has a reason to.
    pub fn planned_claim(&self) -> Option<(ClaimReason, Millis)> {
        self.claim
    }

    /// Returns how long a poll of the followed daemon may wait for a change, `longest` at most: it ends when
    /// this daemon tries to become the reader.
    pub fn poll_wait(&self, longest: Millis, now: Millis) -> Millis {
        self.claim.map_or(longest, |(_, at)| longest.min(at.since(now)))
    }

    /// Returns the position of this daemon among the standbys of its reader.
    pub fn standby_position(&self) -> Option<usize> {
        self.standbys.iter().position(|peer| *peer == self.own)
    }

    /// Returns the position of this daemon among those of its data centre, if known.
    pub fn rank(&self) -> Option<&Rank> {
        self.rank.as_ref()
    }

    /// Sets the position of this daemon among those of its data centre.
    pub fn set_rank(&mut self, rank: Rank) {
        self.rank = Some(rank);
    }

    /// Reads the store for a while in place of following: what the data centre got from the readers
    /// of the others was outdated.
    fn avoid_region_readers(&mut self, now: Millis) {
        let others = self.region_readers().map(|(_, record)| record.reader.name.clone());
        let others: Vec<String> = others.filter(|name| *name != self.own.name).collect();
        let until = now + UNREACHABLE_TIME;
        self.unavailable_until.extend(others.into_iter().map(|name| (name, until)));
    }

    /// Chooses the standbys of this reader from its followers.
    pub fn choose_standbys(&mut self, followers: impl Iterator<Item = Peer>) {
        let mut ranked: Vec<Peer> = followers.collect();
        ranked.sort_by_key(|peer| rendezvous_hash(&peer.name, RANK_SEED));
        ranked.truncate(STANDBYS);
        self.standbys = ranked;
    }

    /// Records a successful poll of a followed daemon.
    pub fn observe_followed(&mut self) {
        self.has_followed = true;
        if let Some((ClaimReason::NoneReachable, _)) = self.claim {
            self.claim = None;
        }
    }

    /// Records why a followed daemon was left.
    pub fn observe_fault(&mut self, peer: &str, fault: PeerFault, now: Millis) {
        let time = match fault {
            PeerFault::Unreachable if !self.has_followed && !self.is_reader() => {
                UNREACHABLE_TIME_AT_START
            }
            PeerFault::Unreachable => UNREACHABLE_TIME,
            PeerFault::Unready => UNREADY_TIME,
            PeerFault::Busy => {
                // It responds, so there is nobody to replace.
                self.claim = self.claim.filter(|(reason, _)| *reason != ClaimReason::NoneReachable);
                UNREADY_TIME
            }
            // A reader leaves an outdated reader of another data centre; followers stay.
            PeerFault::Outdated if self.is_reader() => UNREACHABLE_TIME,
            PeerFault::Outdated => return,
        };
        self.unavailable_until.insert(peer.to_owned(), now + time);
    }

    /// Returns the next step. `doubt` tells why this daemon's own configuration may be outdated, if so.
    pub fn next(&mut self, doubt: Option<Doubt>, now: Millis) -> Step {
        self.unavailable_until.retain(|_, until| now < *until);
        if self.records_read_at.is_none() {
            return self.read_records_or_wait(true, now);
        }
        if self.is_reader() {
            self.claim = None;
            return self.next_as_reader(now);
        }
        let target = self.follow_target();
        if let (Some((ClaimReason::NoneReachable, _)), Some(target)) = (self.claim, &target) {
            // Whether a daemon that did not respond does so now shows only when it is polled.
            return Step::Follow(target.clone());
        }
        let Some(reason) = self.claim_reason(target.as_ref(), doubt) else {
            self.claim = None;
            return target.map_or(Step::Wait(now), Step::Follow);
        };
        let claim_at = match self.claim {
            Some((before, at)) if before == reason => at,
            _ => now + self.claim_delay(reason),
        };
        self.claim = Some((reason, claim_at));
        if now >= claim_at {
            return self.claim_or_read(reason, now);
        }
        let next_available = self.unavailable_until.values().min().copied();
        let wait_until = next_available.map_or(claim_at, |until| until.min(claim_at));
        target.map_or(Step::Wait(wait_until), Step::Follow)
    }

    fn claim_reason(&self, target: Option<&Peer>, doubt: Option<Doubt>) -> Option<ClaimReason> {
        match (self.reader(), target) {
            (None, _) => Some(ClaimReason::NoRecord),
            (Some(_), None) => Some(ClaimReason::NoneReachable),
            (Some(_), Some(_)) => doubt.filter(|_| self.has_followed).map(|doubt| match doubt {
                Doubt::SourceFails => ClaimReason::Outdated,
                Doubt::ConfirmationOld => ClaimReason::Unconfirmed,
            }),
        }
    }

    fn next_as_reader(&self, now: Millis) -> Step {
        if now >= self.next_read_at {
            return Step::ReadRecords { stale: true };
        }
        let before = self.region_readers().take_while(|(name, _)| *name != self.data_centre);
        let parent = before.map(|(_, record)| &record.reader).find(|p| self.is_available(p));
        parent.map_or(Step::ReadStore, |parent| Step::Follow(parent.clone()))
    }

    fn claim_or_read(&self, reason: ClaimReason, now: Millis) -> Step {
        let is_recent =
            |read_at: Option<Millis>| read_at.is_some_and(|at| now.since(at) < RECORDS_VALID_TIME);
        if !is_recent(self.records_current_at) {
            // Many daemons may try while the store is down for all: a stale read shows at a tenth of the
            // price whether it serves this one.
            let is_outdated = matches!(reason, ClaimReason::Outdated | ClaimReason::Unconfirmed);
            let is_probe = is_outdated && self.standby_position().is_none();
            return Step::ReadRecords { stale: is_probe && !is_recent(self.records_read_at) };
        }
        let replaces = self.records.get(&self.data_centre).map(|record| record.revision);
        Step::Claim { replaces }
    }

    fn read_records_or_wait(&self, stale: bool, now: Millis) -> Step {
        if now >= self.next_read_at {
            Step::ReadRecords { stale }
        } else {
            Step::Wait(self.next_read_at)
        }
    }

    fn is_available(&self, peer: &Peer) -> bool {
        *peer != self.own && !self.unavailable_until.contains_key(&peer.name)
    }

    /// Returns the reader or, if it does not respond, the first standby that does. A standby
    /// follows only those before it.
    fn follow_target(&self) -> Option<Peer> {
        let standbys = self.standbys.iter().take_while(|peer| **peer != self.own);
        self.reader().into_iter().chain(standbys).find(|peer| self.is_available(peer)).cloned()
    }

    /// Returns the delay of this daemon's succession. Standbys come first, in order.
    fn claim_delay(&mut self, reason: ClaimReason) -> Millis {
        match (reason, self.standby_position()) {
            (ClaimReason::NoRecord, _) => self.random_delay(FIRST_CLAIM_SPREAD),
            // The standbys before this one did not respond either.
            (ClaimReason::NoneReachable, Some(_)) => Millis(0),
            (ClaimReason::NoneReachable, None) => {
                OTHERS_DELAY + self.random_delay(UNREACHABLE_SPREAD)
            }
            (ClaimReason::Outdated | ClaimReason::Unconfirmed, Some(rank)) => {
                Millis(STANDBY_INTERVAL.0 * rank as u64)
            }
            (ClaimReason::Outdated, None) => OTHERS_DELAY + self.delay_among_others(),
            (ClaimReason::Unconfirmed, None) => match &self.rank {
                Some(rank) => {
                    OTHERS_DELAY + Millis(UNCONFIRMED_INTERVAL.0 * u64::from(rank.position))
                }
                None => OTHERS_DELAY + self.random_delay(UNCONFIRMED_SPREAD),
            },
        }
    }

    /// Returns the delay of this daemon among those that are not standbys. The logarithm leaves a few that
    /// come first the time to succeed, and has all the others try by the end of [`OTHERS_SPREAD`].
    fn delay_among_others(&mut self) -> Millis {
        let Rank { position, daemons } = self.rank.clone().unwrap_or_else(|| Rank {
            position: self.rng.random_range(0..ASSUMED_DAEMONS),
            daemons: ASSUMED_DAEMONS,
        });
        let share = f64::from(position + 1).ln() / f64::from(daemons.max(2)).ln();
        Millis((OTHERS_SPREAD.0 as f64 * share.min(1.0)) as u64)
    }

    /// Returns when to try again after the store did not respond: standbys soon, others seldom.
    fn next_claim_retry(&mut self, now: Millis) -> Millis {
        let is_standby = self.standby_position().is_some();
        let is_alone = self.follow_target().is_none();
        let delay = if is_standby || is_alone {
            self.retry_delay()
        } else {
            OTHERS_RETRY_DELAY + self.random_delay(OTHERS_RETRY_SPREAD)
        };
        now + delay
    }

    fn delay_claim(&mut self, until: Millis) {
        if let Some((_, at)) = &mut self.claim {
            *at = until;
        }
    }

    fn retry_delay(&mut self) -> Millis {
        RECORDS_RETRY_DELAY + self.random_delay(RECORDS_RETRY_DELAY)
    }

    fn random_delay(&mut self, range: Millis) -> Millis {
        Millis(self.rng.random_range(0..=range.0))
    }

    /// Returns the records of the own region in the order of the data centres' ranks.
    fn region_readers(&self) -> impl Iterator<Item = (&str, &ReaderRecord)> {
        self.readers_of(&self.region).into_iter()
    }

    fn readers_of(&self, region: &str) -> Vec<(&str, &ReaderRecord)> {
        let of_region = self.records.iter().filter(|(_, record)| record.region == region);
        let mut ranked: Vec<(&str, &ReaderRecord)> =
            of_region.map(|(name, record)| (name.as_str(), record)).collect();
        ranked.sort_by_key(|(name, _)| rendezvous_hash(name, RANK_SEED));
        ranked
    }

    /// Returns the data centre and the reader with which each load exchange is started: by the
    /// first-ranked data centre of a region with those of the regions that sort after it, by any
    /// other data centre with the first-ranked one of its region.
    pub fn exchange_partners(&self) -> Vec<(String, Peer)> {
        let own_first = self.first_reader_of(&self.region);
        if own_first.as_ref().is_some_and(|(name, _)| *name != self.data_centre) {
            return own_first.into_iter().collect();
        }
        let later_regions = self.regions().into_iter().filter(|region| *region > &*self.region);
        later_regions.filter_map(|region| self.first_reader_of(region)).collect()
    }

    /// Returns the data centre and the reader that ranks first in each other region. These read the
    /// store independently of the own region.
    pub fn readers_of_other_regions(&self) -> Vec<(String, Peer)> {
        let others = self.regions().into_iter().filter(|region| *region != &*self.region);
        others.filter_map(|region| self.first_reader_of(region)).collect()
    }

    /// Returns the other data centres and their readers.
    pub fn readers_of_other_data_centres(&self) -> Vec<(String, Peer)> {
        let others = self.records.iter().filter(|(name, _)| **name != *self.data_centre);
        others.map(|(name, record)| (name.clone(), record.reader.clone())).collect()
    }

    fn first_reader_of(&self, region: &str) -> Option<(String, Peer)> {
        let readers = self.readers_of(region);
        readers.first().map(|(name, record)| ((*name).to_owned(), record.reader.clone()))
    }

    fn regions(&self) -> BTreeSet<&str> {
        self.records.values().map(|record| record.region.as_str()).collect()
    }
}
