//! Followers that are lost with a large response, or while they wait for one, beside others that need the
//! configuration in time.

use crate::region::Region;
use crate::support::{KEY, configuration};
use fakes::{Client, GatewayProcess};
use messages::feed::{FeedPosition, FeedRequest, FeedResponse, HeldConfiguration};
use serde_json::json;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// The time after which an acknowledged configuration must be in force (`configuration_ms`).
const CONFIGURATION_BOUND: Duration = Duration::from_secs(3);
/// Twice as many as get a large response at the same time.
const LOST: usize = 8;
/// Longer than the poll of a follower waits for a change.
const POLL_TIME: Duration = Duration::from_millis(600);
/// More than one piece, also when packed.
const ADDED_ROUTES: usize = 1_400;

/// A follower that does not read the response to its last request, as one that has lost power.
struct LostFollower {
    client: Client,
    name: String,
}

impl LostFollower {
    fn new(reader: &GatewayProcess, number: usize) -> LostFollower {
        let client = Client::connect(reader.peers).unwrap();
        LostFollower { client, name: format!("lost-{number}") }
    }

    /// Asks for what is new since a position, or for everything.
    fn ask(&mut self, from: Option<FeedPosition>) {
        let mut req: FeedRequest = serde_json::from_value(json!({
            "name": self.name, "data_centre": "a", "whole_data_centre": false, "wait_ms": 5_000,
            "loads": [],
        }))
        .unwrap();
        req.from = from;
        // It has all client accounts, and lacks what is newer than the first version.
        req.configuration = Some(HeldConfiguration {
            version: 1,
            digest: 0,
            accounts_version: 99,
            accounts_digest: 0,
        });
        let body = rmp_serde::to_vec_named(&req).unwrap();
        let length = body.len();
        let head = format!("POST /feed HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n\r\n");
        self.client.send(&[head.into_bytes(), body].concat()).unwrap();
    }

    /// Reads a response and returns the position in it.
    fn position(&mut self) -> FeedPosition {
        let response = self.client.read_response().unwrap();
        let feed: FeedResponse = rmp_serde::from_slice(&response.message.body).unwrap();
        feed.position
    }
}

/// A reader, a follower and followers that will be lost, with their positions.
fn region() -> (Region, Vec<(LostFollower, FeedPosition)>) {
    let mut region = Region::start();
    region.add("front-1", "a");
    let follower = region.add("front-2", "a");
    region.gateways[follower].wait_for_log(&["peer_followed"]).unwrap();
    let lost = (0..LOST).map(|number| {
        let mut lost = LostFollower::new(&region.gateways[0], number);
        lost.ask(None);
        let position = lost.position();
        lost.ask(Some(FeedPosition { sequence: 0, ..position.clone() }));
        (lost, position)
    });
    let lost = lost.collect();
    (region, lost)
}

/// Writes a second version with many routes.
fn add_routes(region: &Region) -> Instant {
    let mut changed = configuration(2, &[KEY]);
    let route = changed["routes"][0].clone();
    let routes = changed["routes"].as_array_mut().unwrap();
    routes.extend((0..ADDED_ROUTES as u64).map(|number| {
        let path = format!("{:016x}", (number + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let mut added = route.clone();
        added["name"] = json!(format!("r-{path}"));
        added["path_prefix"] = json!(format!("/{path}/"));
        added
    }));
    region.store.put("config", "main", changed);
    Instant::now()
}

/// Waits until the follower has the second version. Fails if that takes longer than the bound.
fn assert_in_force_in_time(region: &Region, since: Instant) {
    let follower = &region.gateways[1];
    follower.wait_for_log(&["configuration_in_force", "\"version\":2,"]).unwrap();
    let elapsed = since.elapsed();
    assert!(elapsed < CONFIGURATION_BOUND, "in force after {elapsed:?}");
}

/// Guards against large responses to followers that have been lost since they asked for changes.
#[test]
fn large_configuration_is_in_force_in_time_after_waiting_followers_were_lost() {
    let (region, mut lost) = region();
    for (follower, position) in &mut lost {
        follower.position();
        follower.ask(Some(position.clone()));
    }
    sleep(POLL_TIME);
    let acked = add_routes(&region);
    assert_in_force_in_time(&region, acked);
}

/// Guards against large responses that are awaited for too long. The other follower asks after those
/// that are lost.
#[test]
fn large_configuration_is_in_force_in_time_after_followers_were_lost_with_it() {
    let (region, mut lost) = region();
    region.gateways[1].signal("STOP").unwrap();
    sleep(POLL_TIME);
    add_routes(&region);
    region.gateways[0].wait_for_log(&["configuration_in_force", "\"version\":2,"]).unwrap();
    for (follower, position) in &mut lost {
        follower.position();
        follower.ask(Some(position.clone()));
    }
    let asked = Instant::now();
    region.gateways[1].signal("CONT").unwrap();
    assert_in_force_in_time(&region, asked);
}

/// Guards against complete copies of the registry that hold up the configuration.
#[test]
fn large_configuration_is_in_force_in_time_after_followers_were_lost_with_complete_copies() {
    let (region, mut lost) = region();
    for (follower, _) in &mut lost {
        follower.position();
        follower.ask(None);
    }
    let acked = add_routes(&region);
    assert_in_force_in_time(&region, acked);
}
