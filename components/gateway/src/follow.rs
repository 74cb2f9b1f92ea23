use crate::adapter::Adapter;
use crate::clock::now;
use crate::gateway::Gateway;
use crate::metrics::{ClaimLabels, PeerLossLabels};
use crate::peer_feed::{FEED_WAIT, FollowedPeer, announce_takeover};
use crate::reader_records::ReaderRecords;
use crate::update_source::UpdateSource;
use decision::Millis;
use decision::routing::{ClaimOutcome, ClaimReason, Peer, PeerFault, Source, Step};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// Time after which a daemon that waits, or reads the store, asks for its next step again.
const RECHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Keeps this daemon up to date: carries out the steps of the reader election. Never returns.
pub(crate) async fn run<A: Adapter>(gateway: Rc<Gateway<A>>) {
    let mut records = ReaderRecords::default();
    let mut followed: Option<FollowedPeer> = None;
    let mut planned_claim = None;
    loop {
        let is_new = followed.as_ref().is_some_and(|peer| !peer.is_established());
        let doubt = gateway.doubt(now()).filter(|_| !is_new);
        let step = gateway.readers.borrow_mut().next(doubt, now());
        let planned_before = planned_claim;
        planned_claim = gateway.readers.borrow().planned_claim();
        if let Some((reason, at)) = planned_claim.filter(|_| planned_claim != planned_before) {
            log_planned_claim(&gateway, reason, at, now());
        }
        match step {
            Step::Follow(peer) => followed = follow(&gateway, followed.take(), peer).await,
            Step::ReadStore => {
                followed = None;
                gateway.update_source.set(UpdateSource::Store);
                wait_for_change(&gateway, RECHECK_INTERVAL).await;
            }
            Step::ReadRecords { stale } => read_records(&gateway, &mut records, stale).await,
            Step::Claim { replaces } => claim(&gateway, &mut records, replaces).await,
            Step::Wait(until) => {
                let left = Duration::from_millis(until.since(now()).0.max(1));
                wait_for_change(&gateway, left.min(RECHECK_INTERVAL)).await;
            }
        }
    }
}

/// Logs when this daemon will try to become the reader, with what decided on it.
fn log_planned_claim<A: Adapter>(
    gateway: &Gateway<A>,
    reason: ClaimReason,
    at: Millis,
    now: Millis,
) {
    let readers = gateway.readers.borrow();
    tracing::info!(
        event = "claim_planned",
        reason = ?reason,
        in_ms = at.since(now).0,
        reader = readers.reader().map(|reader| &*reader.name),
        standby = readers.standby_position(),
        rank = readers.rank().map(|rank| rank.position),
        daemons = readers.rank().map(|rank| rank.daemons),
        failing_ms = gateway.source_health.borrow().failing_for(now).map(|time| time.0),
        proof_age_ms = gateway.freshness.borrow().age(now).map(|age| age.0),
    );
}

async fn wait_for_change<A: Adapter>(gateway: &Gateway<A>, limit: Duration) {
    // The election is asked again after the time-out, also without a notification.
    let _ = timeout(limit, gateway.reader_changed.notified()).await;
}

/// Polls a peer once; returns it unless it cannot be followed.
async fn follow<A: Adapter>(
    gateway: &Rc<Gateway<A>>,
    followed: Option<FollowedPeer>,
    peer: Peer,
) -> Option<FollowedPeer> {
    let mut followed =
        followed.filter(|f| f.peer == peer).unwrap_or_else(|| FollowedPeer::new(peer));
    let asked = now();
    let wait = gateway.readers.borrow().poll_wait(FEED_WAIT, asked);
    match followed.poll(gateway, wait).await {
        Ok(()) => {
            gateway.readers.borrow_mut().observe_followed();
            gateway.update_source.set(UpdateSource::Peer);
            Some(followed)
        }
        Err((fault, text)) => {
            let name = &followed.peer.name;
            let (after_ms, proof_age_ms) =
                (now().since(asked).0, gateway.freshness.borrow().age(now()).map(|age| age.0));
            tracing::info!(event = "peer_lost", peer = %name, fault = ?fault, after_ms,
                proof_age_ms, text);
            let labels = PeerLossLabels { fault: fault_label(fault) };
            gateway.metrics.peer_losses.get_or_create(&labels).inc();
            if gateway.readers.borrow().is_reader() {
                gateway.record_source_failure(Source::Peer, now());
            }
            gateway.readers.borrow_mut().observe_fault(name, fault, now());
            None
        }
    }
}

fn fault_label(fault: PeerFault) -> &'static str {
    match fault {
        PeerFault::Unreachable => "unreachable",
        PeerFault::Unready => "unready",
        PeerFault::Busy => "busy",
        PeerFault::Outdated => "outdated",
    }
}

async fn read_records<A: Adapter>(gateway: &Gateway<A>, records: &mut ReaderRecords, stale: bool) {
    match records.read(gateway, stale).await {
        Ok(found) => gateway.readers.borrow_mut().observe_records(found, stale, now()),
        Err(text) => {
            tracing::warn!(event = "readers_not_read", text);
            gateway.readers.borrow_mut().observe_read_failure(now());
        }
    }
}

async fn claim<A: Adapter>(
    gateway: &Rc<Gateway<A>>,
    records: &mut ReaderRecords,
    replaces: Option<u64>,
) {
    let settings = gateway.settings();
    let address = settings.listen_peers.map_or_else(String::new, |address| address.to_string());
    let own = Peer { name: settings.name.clone(), address };
    let replaced = gateway.readers.borrow().reader().cloned();
    let outcome = records.claim(gateway, &own, replaces).await;
    let labels = ClaimLabels { outcome: outcome_label(outcome) };
    gateway.metrics.reader_claims.get_or_create(&labels).inc();
    gateway.readers.borrow_mut().observe_claim(outcome, now());
    if let Some(replaced) = replaced.filter(|_| outcome == ClaimOutcome::Written) {
        let gateway = gateway.clone();
        spawn_local(async move { announce_takeover(&gateway, &replaced).await });
    }
}

fn outcome_label(outcome: ClaimOutcome) -> &'static str {
    match outcome {
        ClaimOutcome::Written => "written",
        ClaimOutcome::Conflict => "conflict",
        ClaimOutcome::Failed => "failed",
    }
}
