//! Changes of the configuration while the daemon that a gateway follows cannot learn of them.

use crate::region::{Region, STANDBYS_NAMED_AFTER};
use crate::support::{KEY, configuration};
use decision::routing::{Peer, ReaderElection};
use fakes::{Client, PathState};
use rstest::rstest;
use serde_json::json;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// The time after which an acknowledged configuration must be in force (`configuration_ms`).
const CONFIGURATION_BOUND: Duration = Duration::from_secs(3);
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);

impl Region {
    /// The numbers of the standbys that the first gateway names, in their order.
    fn standbys(&self) -> Vec<usize> {
        let peer = |number: usize| Peer {
            name: format!("front-{}", number + 1),
            address: self.gateways[number].peers.to_string(),
        };
        let mut election = ReaderElection::new(peer(0), "a", "r", 0);
        election.choose_standbys((1..self.gateways.len()).map(peer));
        let number = |standby: &Peer| (1..self.gateways.len()).find(|n| peer(*n) == *standby);
        election.standbys().iter().filter_map(number).collect()
    }

    /// Writes a configuration with a route that has the name of its version.
    fn add_route(&self, version: u64) -> Instant {
        let mut changed = configuration(version, &[KEY]);
        let mut added = changed["routes"][0].clone();
        added["name"] = json!(format!("v{version}"));
        added["path_prefix"] = json!(format!("/v{version}/"));
        changed["routes"].as_array_mut().unwrap().push(added);
        self.store.put("config", "main", changed);
        Instant::now()
    }

    /// Writes a configuration and waits until it is in force everywhere: it is confirmed at that
    /// moment, and a confirmation of the next one is due last.
    fn confirm_all(&self, version: u64) {
        self.add_route(version);
        let version = format!("\"version\":{version},");
        for gateway in &self.gateways {
            gateway.wait_for_log(&["configuration_in_force", &version]).unwrap();
        }
    }

    fn status(&self, gateway: usize, target: &str) -> u16 {
        let mut client = Client::connect(self.gateways[gateway].address).unwrap();
        client.send_request(target, "r1", KEY, "body").unwrap();
        client.read_response().unwrap().message.status()
    }

    /// Sends requests on the added route of `version` to a gateway until the route is known there;
    /// returns the time since its acknowledgement. There are no endpoints, so a request on a known
    /// route gets 503 with another reason than the one that takes the place of 404.
    fn time_until_in_force(&self, gateway: usize, version: u64, acked: Instant) -> Duration {
        let in_force = format!("\"version\":{version},");
        loop {
            let sent = acked.elapsed();
            let status = self.status(gateway, &format!("/v{version}/"));
            assert!(status != 404 || sent < CONFIGURATION_BOUND, "denied {sent:?} after");
            let process = &self.gateways[gateway];
            if !process.log_with(&["configuration_in_force", &in_force]).is_empty() {
                return acked.elapsed();
            }
            sleep(REQUEST_INTERVAL);
        }
    }
}

/// The reader of a data centre stands still, and so does the one that it follows.
#[test]
fn added_route_is_not_denied_while_the_readers_of_a_region_stand_still() {
    let mut region = Region::start();
    let (_, following_reader) = region.add_source_and_follower();
    let follower = region.add("front-3", ["a", "b"][following_reader]);
    region.gateways[follower].wait_for_log(&["peer_followed"]).unwrap();
    sleep(STANDBYS_NAMED_AFTER);
    region.confirm_all(2);
    region.gateways[..2].iter().for_each(|reader| reader.signal("STOP").unwrap());
    let acked = region.add_route(3);
    let elapsed = region.time_until_in_force(follower, 3, acked);
    assert!(elapsed < CONFIGURATION_BOUND, "in force {elapsed:?} after the acknowledgement");
}

/// The store turns away the reader of a data centre and its standbys.
#[rstest]
fn added_route_is_not_denied_while_the_store_turns_the_reader_and_its_standbys_away(
    #[values(PathState::Reset, PathState::Hanging)] state: PathState,
) {
    let region = Region::with_one_data_centre();
    let standbys = region.standbys();
    let follower = (1..region.gateways.len()).find(|number| !standbys.contains(number)).unwrap();
    region.confirm_all(2);
    for number in standbys.into_iter().chain([0]) {
        region.paths[number].set(state).unwrap();
    }
    let acked = region.add_route(3);
    let elapsed = region.time_until_in_force(follower, 3, acked);
    assert!(elapsed < CONFIGURATION_BOUND, "in force {elapsed:?} after the acknowledgement");
}

/// Guards against a succession that waits for each gateway that comes before in the order to have its
/// turn: the store turns away the reader, its standbys and all others but the last one.
#[rstest]
fn added_route_is_not_denied_while_the_store_serves_only_the_last_gateway_in_the_order(
    #[values(PathState::Reset, PathState::Hanging)] state: PathState,
) {
    let region = Region::with_one_data_centre_of(9);
    let standbys = region.standbys();
    let last = (1..9).rfind(|number| !standbys.contains(number)).unwrap();
    region.confirm_all(2);
    for number in (0..9).filter(|number| *number != last) {
        region.paths[number].set(state).unwrap();
    }
    let acked = region.add_route(3);
    let elapsed = region.time_until_in_force(last, 3, acked);
    assert!(elapsed < CONFIGURATION_BOUND, "in force {elapsed:?} after the acknowledgement");
}

/// No gateway reaches the store, so none knows the added route.
#[test]
fn added_route_is_not_denied_by_a_configuration_older_than_its_bound() {
    let mut region = Region::start();
    region.add("front-1", "a");
    region.confirm_all(2);
    region.paths[0].set(PathState::Reset).unwrap();
    let acked = region.add_route(3);
    while acked.elapsed() < CONFIGURATION_BOUND * 2 {
        let sent = acked.elapsed();
        let status = region.status(0, "/v3/");
        assert!(status != 404 || sent < CONFIGURATION_BOUND, "denied {sent:?} after");
        sleep(REQUEST_INTERVAL);
    }
}
