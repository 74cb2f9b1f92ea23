use crate::adapter::Adapter;
use crate::clock::now;
use crate::configuration_history::NewConfiguration;
use crate::connection::{Connection, ResponseLimits};
use crate::gateway::Gateway;
use crate::large_responses::BUSY;
use crate::notices::receive_notices;
use crate::object_feed::activate;
use crate::peer_registry::apply_registry;
use crate::reader_records::read_records_meanwhile;
use bytes::Bytes;
use decision::Millis;
use decision::routing::{Configuration, NoticeId, NoticeSource, Peer, PeerFault};
use http::header::HOST;
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use messages::feed::{FeedPeer, FeedPosition, FeedRequest, FeedResponse, Notice};
use messages::{endpoint_loads, load_rows};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// How long a followed daemon may delay its response while it waits for a change. Loads are
/// reported with each request, so about as often.
pub(crate) const FEED_WAIT: Millis = Millis(400);
/// Timeout of a response to its first byte, in addition to the wait.
const RESPONSE_MARGIN: Millis = Millis(400);
/// Time by which a response may be late before a standby asks the store.
const LATE_RESPONSE_TIME: Millis = Millis(200);
/// Maximum time without a further byte of a response.
const RESPONSE_PAUSE: Millis = Millis(800);
/// Maximum time from the first byte of a response to its last. A daemon whose link is busy is not
/// lost, and another one would send the response again from its start.
const BODY_TIMEOUT: Millis = Millis(3_000);
/// Response timeout for the complete registry at a daemon that knows none, and has nothing to lose by
/// waiting for a busy peer.
const FULL_COPY_TIMEOUT: Millis = Millis(2_000);
/// Connect timeout: several round trips between the data centres of a region.
const CONNECT_TIMEOUT: Millis = Millis(300);
/// How much older than the own confirmation that of a newly followed daemon may be: about the time
/// that an update takes to its followers. An older registry would bring back endpoints that left.
const MAX_CONFIRMATION_LAG: Millis = Millis(1_000);
/// Maximum response size: a configuration of 1 MB and the registry.
pub(crate) const MAX_RESPONSE_BYTES: usize = 8 << 20;
/// Time between reports of a notice to the same daemon. It takes a limited number in each second, and
/// may have left some out.
const NOTICE_INTERVAL: Millis = Millis(1_000);
/// The path of the feed on the peer listener.
pub(crate) const PATH: &str = "/feed";

/// A daemon that this one follows, the position in its change log, and what both told each other.
#[derive(Debug)]
pub(crate) struct FollowedPeer {
    pub(crate) peer: Peer,
    connection: Option<Connection>,
    position: Option<FeedPosition>,
    /// Whether its last response followed an earlier one, so that it took no longer than a poll. A
    /// confirmation that comes with a copy is as old as the copy took.
    is_established: bool,
    /// When its loads were last received.
    loads_at: Option<Millis>,
    /// When it last got each notice from this daemon.
    told_notices: BTreeMap<NoticeId, Millis>,
}

impl FollowedPeer {
    pub(crate) fn new(peer: Peer) -> FollowedPeer {
        FollowedPeer {
            peer,
            connection: None,
            position: None,
            is_established: false,
            loads_at: None,
            told_notices: BTreeMap::new(),
        }
    }

    /// Whether the age of the own confirmation says something about this peer.
    pub(crate) fn is_established(&self) -> bool {
        self.is_established
    }

    /// Reports the load of this daemon and its followers, and applies the changes since the last
    /// poll; the peer waits for one for the time `wait`. Returns the reason if the daemon cannot be
    /// followed.
    pub(crate) async fn poll<A: Adapter>(
        &mut self,
        gateway: &Rc<Gateway<A>>,
        wait: Millis,
    ) -> Result<(), (PeerFault, String)> {
        let address: SocketAddr = self
            .peer
            .address
            .parse()
            .map_err(|e| (PeerFault::Unreachable, format!("{}: {e}", self.peer.address)))?;
        let was_connected = self.connection.is_some();
        let held = gateway.configurations.borrow().held();
        let mut result = self.request_or_ask_store(gateway, address, wait).await;
        if was_connected && let Err((PeerFault::Unreachable, _)) = &result {
            // The connection may be lost while the daemon is not, which then responds at once.
            result = self.request(gateway, address, Millis(0)).await;
        }
        let (feed, sent) = result?;
        if self.position.is_none() && lags_behind(gateway, &feed) {
            let age = feed.confirmation_age_ms.or(feed.proof_age_ms);
            let registry_age = registry_age(&feed);
            let text = format!(
                "freshness confirmation of the peer is {age:?} ms old, that of its registry {registry_age:?} ms"
            );
            // A reader gets on without the peer.
            let is_reader = gateway.readers.borrow().is_reader();
            let fault = if is_reader { PeerFault::Outdated } else { PeerFault::Unready };
            return Err((fault, text));
        }
        if held != gateway.configurations.borrow().held() {
            // What the peer says of the accounts, and its updates, refer to what was held before.
            let text = String::from("another configuration became active during the request");
            return Err((PeerFault::Unready, text));
        }
        if self.position.is_none() {
            tracing::info!(event = "peer_followed", peer = %self.peer.name);
        }
        let (position, has_loads) = (feed.position.clone(), feed.has_loads);
        let is_first = self.position.is_none();
        apply_feed(gateway, feed, sent, is_first).map_err(|text| (PeerFault::Unreachable, text))?;
        self.position = Some(position);
        self.is_established = !is_first;
        if has_loads {
            self.loads_at = Some(now());
        }
        let is_reader = gateway.readers.borrow().is_reader();
        if is_reader && gateway.is_outdated(now()) {
            let text = String::from("freshness confirmation of the peer is too old");
            return Err((PeerFault::Outdated, text));
        }
        Ok(())
    }

    /// Makes a request. A standby asks the store when the response is late, any other daemon when a connection
    /// that was open before brings none.
    async fn request_or_ask_store<A: Adapter>(
        &mut self,
        gateway: &Rc<Gateway<A>>,
        address: SocketAddr,
        wait: Millis,
    ) -> Result<(FeedResponse, Millis), (PeerFault, String)> {
        let is_standby = gateway.readers.borrow().standby_position().is_some();
        let was_connected = self.connection.is_some();
        let mut response = pin!(self.request(gateway, address, wait));
        let expected = Duration::from_millis((wait + LATE_RESPONSE_TIME).0);
        if let Ok(result) = timeout(expected, &mut response).await {
            return result;
        }
        if is_standby {
            read_records_meanwhile(gateway);
        }
        let result = response.await;
        if !is_standby
            && was_connected
            && let Err((PeerFault::Unreachable, _)) = &result
        {
            read_records_meanwhile(gateway);
        }
        result
    }

    async fn request<A: Adapter>(
        &mut self,
        gateway: &Gateway<A>,
        address: SocketAddr,
        wait: Millis,
    ) -> Result<(FeedResponse, Millis), (PeerFault, String)> {
        let sent = now();
        let notices = self.untold_notices(gateway, sent);
        let told: Vec<NoticeId> = notices.iter().map(NoticeId::of).collect();
        let (mut known_notices, mut known_endpoints) = (Vec::new(), Vec::new());
        if self.position.is_none() {
            known_notices = gateway.notices.borrow().digest().groups().to_vec();
            if gateway.registry_known.get() {
                known_endpoints = gateway.registry_digest().groups().to_vec();
            }
        }
        let feed_req = FeedRequest {
            notices,
            known_notices,
            known_endpoints,
            from: self.position.clone(),
            configuration: Some(gateway.configurations.borrow().held()),
            received: gateway.configurations.borrow().received(),
            wait_ms: wait.0,
            loads_age_ms: self.loads_at.map(|at| sent.since(at).0),
            ..feed_request(gateway)
        };
        let has_nothing = !gateway.registry_known.get();
        let limits = ResponseLimits {
            head: if has_nothing { FULL_COPY_TIMEOUT } else { wait + RESPONSE_MARGIN },
            pause: RESPONSE_PAUSE,
            body: BODY_TIMEOUT,
            max_bytes: MAX_RESPONSE_BYTES,
        };
        let feed = call(gateway, &mut self.connection, address, &feed_req, CONNECT_TIMEOUT, limits)
            .await?;
        self.told_notices.extend(told.into_iter().map(|id| (id, sent)));
        Ok((feed, sent))
    }

    /// The notices to report, but for those that this peer got a moment ago.
    fn untold_notices<A: Adapter>(&mut self, gateway: &Gateway<A>, now: Millis) -> Vec<Notice> {
        self.told_notices.retain(|_, at| now.since(*at) < NOTICE_INTERVAL);
        let mut notices = gateway.notices.borrow().forwarded(now);
        notices.retain(|notice| !self.told_notices.contains_key(&NoticeId::of(notice)));
        notices
    }
}

/// Whether a daemon is not ready to be followed: what it knows may be older than what is known here.
fn lags_behind<A: Adapter>(gateway: &Gateway<A>, feed: &FeedResponse) -> bool {
    let freshness = gateway.freshness.borrow();
    let lags = |age: Option<u64>, own: Option<Millis>| match (age, own) {
        (None, _) => true,
        (Some(_), None) => false,
        (Some(age), Some(own)) => Millis(age) > own + MAX_CONFIRMATION_LAG,
    };
    lags(feed.confirmation_age_ms.or(feed.proof_age_ms), freshness.age(now()))
        || lags(registry_age(feed), freshness.registry_age(now()))
}

/// The age of the confirmation of a peer's registry, in milliseconds. Daemons of earlier builds confirm
/// it with the configuration.
fn registry_age(feed: &FeedResponse) -> Option<u64> {
    feed.registry_age_ms.or(feed.confirmation_age_ms).or(feed.proof_age_ms)
}

/// Tells the daemon that this one replaces as the store reader, best effort: if it is not told, it
/// learns so from the record.
pub(crate) async fn announce_takeover<A: Adapter>(gateway: &Gateway<A>, replaced: &Peer) {
    let Ok(address) = replaced.address.parse::<SocketAddr>() else { return };
    let feed_req = FeedRequest { takes_over: true, ..feed_request(gateway) };
    let limits = ResponseLimits::within(RESPONSE_MARGIN, MAX_RESPONSE_BYTES);
    let announced = call(gateway, &mut None, address, &feed_req, CONNECT_TIMEOUT, limits).await;
    if let Err((_, text)) = announced {
        tracing::info!(event = "takeover_not_announced", peer = %replaced.name, text);
    }
}

/// A request that reports the load of this daemon and its followers.
pub(crate) fn feed_request<A: Adapter>(gateway: &Gateway<A>) -> FeedRequest {
    let settings = gateway.settings();
    let own = gateway.loads.borrow().own_loads();
    let own_outcomes = gateway.loads.borrow().own_outcomes(now());
    let load_exchange = gateway.load_exchange.borrow();
    FeedRequest {
        name: settings.name.clone(),
        address: settings.listen_peers.map_or_else(String::new, |address| address.to_string()),
        data_centre: settings.data_centre.clone(),
        daemons: u32::try_from(load_exchange.followers_and_self()).ok(),
        takes_over: false,
        whole_data_centre: false,
        all_notices: false,
        reaches_endpoints: gateway.takes_relayed_requests(),
        from: None,
        configuration: None,
        received: None,
        wait_ms: 0,
        loads_age_ms: None,
        known_notices: Vec::new(),
        known_endpoints: Vec::new(),
        loads: load_rows(load_exchange.data_centre_loads(&own)),
        outcomes: gateway.outcome_exchange.borrow().data_centre_outcomes(&own_outcomes),
        notices: gateway.notices.borrow().forwarded(now()),
    }
}

/// Calls another daemon, on the connection of the last call if it is still open.
pub(crate) async fn call<A: Adapter>(
    gateway: &Gateway<A>,
    connection_slot: &mut Option<Connection>,
    address: SocketAddr,
    feed_req: &FeedRequest,
    connect_limit: Millis,
    limits: ResponseLimits,
) -> Result<FeedResponse, (PeerFault, String)> {
    let unreachable = |text: String| (PeerFault::Unreachable, text);
    let body = rmp_serde::to_vec_named(feed_req).map_err(|e| unreachable(e.to_string()))?;
    let mut connection = match connection_slot.take().filter(Connection::is_ready) {
        Some(connection) => connection,
        None => Connection::open(address, connect_limit)
            .await
            .map_err(|e| unreachable(e.to_string()))?,
    };
    let mut req = Request::new(Full::new(Bytes::from(body)));
    *req.method_mut() = Method::POST;
    *req.uri_mut() = http::Uri::from_static(PATH);
    req.headers_mut().extend(address.to_string().parse().ok().map(|host| (HOST, host)));
    let sent = connection.send_and_read(req, limits, &gateway.control_memory).await;
    let (status, body) = sent.map_err(|e| unreachable(e.to_string()))?;
    *connection_slot = Some(connection);
    match status {
        StatusCode::OK => rmp_serde::from_slice(&body)
            .map_err(|e| unreachable(format!("{address}: response unreadable: {e}"))),
        StatusCode::SERVICE_UNAVAILABLE => {
            let fault = if body == BUSY { PeerFault::Busy } else { PeerFault::Unready };
            Err((fault, format!("{address}: {}", String::from_utf8_lossy(&body))))
        }
        status => Err(unreachable(format!("{address}: response status {status}"))),
    }
}

fn apply_feed<A: Adapter>(
    gateway: &Rc<Gateway<A>>,
    feed: FeedResponse,
    sent: Millis,
    is_first: bool,
) -> Result<(), String> {
    let registry_age = registry_age(&feed);
    receive_notices(gateway, &feed.notices, NoticeSource::Peer);
    if is_first {
        let groups: BTreeSet<u32> = feed.notice_groups.iter().copied().collect();
        let groups = feed.has_notice_groups.then_some(&groups);
        gateway.notices.borrow_mut().forward_missing(&feed.notices, groups, now());
    }
    if let Some(configuration) = configuration(gateway, &feed)? {
        activate(gateway, configuration);
    }
    if let Some(version) = feed.accounts_version {
        gateway.configurations.borrow_mut().confirm_accounts(version);
    }
    if !feed.is_settled {
        gateway.unsettled_until.set(now() + FEED_WAIT + RESPONSE_MARGIN);
    }
    apply_registry(gateway, &feed, now())?;
    if let Some(age) = registry_age {
        let built_at = sent + Millis(feed.waited_ms);
        gateway.freshness.borrow_mut().confirm_registry(built_at - Millis(age));
    }
    if let Some(age) = feed.proof_age_ms {
        // The peer measured `age` when it built its response. That is no earlier than `built_at`,
        // so the result does not overstate the freshness.
        let built_at = sent + Millis(feed.waited_ms);
        gateway.freshness.borrow_mut().confirm(built_at - Millis(age));
    }
    gateway.source_health.borrow_mut().record_report(feed.failing_ms.map(Millis), now());
    if let Some(age) = feed.response_age_ms {
        // Whether entries may have expired is for the peer to say (`is_settled`).
        let at = sent + Millis(feed.waited_ms) - Millis(age);
        gateway.freshness.borrow_mut().observe_response(at);
    }
    if feed.has_loads {
        let loads = endpoint_loads(feed.loads);
        gateway.loads.borrow_mut().set_peer_loads(&loads, now());
        gateway.loads.borrow_mut().set_peer_outcomes(&feed.outcomes, now());
    }
    learn_relays(gateway, &feed.data_centre, feed.relays);
    if let Some(daemons) = feed.daemons {
        gateway.record_fleet_size(daemons as usize, now());
    }
    if let Some(rank) = feed.rank {
        gateway.readers.borrow_mut().set_rank(rank.clone());
        gateway.limits.borrow_mut().set_rank(rank);
    }
    let mut readers = gateway.readers.borrow_mut();
    if let Some(reader) = feed.reader.filter(|_| !readers.is_reader()) {
        let standbys: Vec<Peer> = feed.standbys.into_iter().map(peer).collect();
        readers.observe_reader(&feed.data_centre, &peer(reader), &standbys);
    }
    Ok(())
}

/// The configuration that a response holds, if any: whole, or with the last piece of an update.
fn configuration<A: Adapter>(
    gateway: &Gateway<A>,
    feed: &FeedResponse,
) -> Result<Option<NewConfiguration>, String> {
    if let Some(piece) = &feed.configuration_update {
        return gateway.configurations.borrow_mut().receive(piece);
    }
    let Some(text) = &feed.configuration else { return Ok(None) };
    let configuration: Configuration = serde_json::from_str(text)
        .map_err(|e| format!("configuration of the peer is unreadable: {e}"))?;
    Ok(Some(configuration.into()))
}

/// Records the daemons that reach endpoints, as a daemon of a data centre named them.
pub(crate) fn learn_relays<A: Adapter>(
    gateway: &Gateway<A>,
    data_centre: &str,
    relays: Vec<FeedPeer>,
) {
    let relays = relays.into_iter().map(peer).collect();
    gateway.relays.borrow_mut().learn(data_centre, relays, now());
}

fn peer(peer: FeedPeer) -> Peer {
    Peer { name: peer.name, address: peer.address }
}
