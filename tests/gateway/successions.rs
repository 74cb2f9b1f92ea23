//! What the followers of a store reader learn when another daemon takes its place.

use crate::region::Region;
use fakes::Client;
use messages::feed::{FeedPosition, FeedRequest, FeedResponse};
use serde_json::json;

/// How long the follower lets its reader wait for a change.
const WAIT_MS: u64 = 5_000;
/// The name of the daemon that takes over.
const SUCCESSOR: &str = "front-9";

/// A daemon that speaks the peer protocol to the first gateway.
struct ScriptedDaemon {
    client: Client,
    name: &'static str,
}

impl ScriptedDaemon {
    fn new(region: &Region, name: &'static str) -> ScriptedDaemon {
        ScriptedDaemon { client: Client::connect(region.gateways[0].peers).unwrap(), name }
    }

    /// Asks for what is new since a position, or says that it takes over.
    fn send(&mut self, from: Option<FeedPosition>, takes_over: bool) {
        let mut req: FeedRequest = serde_json::from_value(json!({
            "name": self.name, "data_centre": "a", "whole_data_centre": false, "wait_ms": WAIT_MS,
            "loads": [], "takes_over": takes_over,
        }))
        .unwrap();
        // Nobody listens there.
        req.address = String::from("127.0.0.1:1");
        req.from = from;
        let body = rmp_serde::to_vec_named(&req).unwrap();
        let length = body.len();
        let head = format!("POST /feed HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n\r\n");
        self.client.send(&[head.into_bytes(), body].concat()).unwrap();
    }

    fn read(&mut self) -> FeedResponse {
        let response = self.client.read_response().unwrap();
        rmp_serde::from_slice(&response.message.body).unwrap()
    }
}

/// Guards against followers that wait for the end of their polls, and use what is outdated meanwhile,
/// because the replaced reader does not respond to them before it has followed its successor.
#[test]
fn followers_are_told_at_once_of_the_daemon_that_replaces_their_reader() {
    let mut region = Region::start();
    region.add("front-1", "a");
    let mut follower = ScriptedDaemon::new(&region, "front-2");
    follower.send(None, false);
    let position = follower.read().position;
    follower.send(Some(position), false);
    let mut successor = ScriptedDaemon::new(&region, SUCCESSOR);
    successor.send(None, true);
    successor.read();
    let feed = follower.read();
    assert_eq!(feed.reader.map(|reader| reader.name).as_deref(), Some(SUCCESSOR));
    assert!(feed.waited_ms < WAIT_MS, "told after {} ms", feed.waited_ms);
}
