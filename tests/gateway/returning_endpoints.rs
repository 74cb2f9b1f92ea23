//! Endpoints that left, and the copy of the registry of a daemon that was without the store.

use crate::region::Region;
use crate::support::registration;
use fakes::{PathState, PlatformEndpoint};
use std::thread::sleep;
use std::time::Duration;

/// Time after which the store may have removed entries only because it was away, and some more.
const OUTAGE: Duration = Duration::from_millis(2_500);
/// Time for which a daemon does not return to a source that it found outdated.
const SOURCE_AVOIDED_FOR: Duration = Duration::from_secs(5);
/// Time before the follower returns at which the source reaches the store again: less than the time
/// for which it keeps endpoints with missing entries.
const RETURNS_EARLIER: Duration = Duration::from_millis(1_000);
/// Time in which endpoints with missing entries are kept, and some more.
const KEPT_FOR: Duration = Duration::from_secs(3);

/// A region of two gateways, of which one follows the other, and two endpoints.
struct Site {
    region: Region,
    source: usize,
    follower: usize,
    _endpoints: Vec<PlatformEndpoint>,
}

impl Site {
    fn start() -> Site {
        let mut region = Region::start();
        let start = |id: &str| PlatformEndpoint::start(id, 1, Duration::ZERO).unwrap();
        let endpoints: Vec<PlatformEndpoint> = ["i-1", "i-2"].map(start).into();
        for endpoint in &endpoints {
            region.store.put("servers", &endpoint.id, registration(endpoint, "ready", 1));
        }
        let (source, follower) = region.add_source_and_follower();
        region.gateways[follower].wait_for_log(&["endpoint_joined", "i-2"]).unwrap();
        Site { region, source, follower, _endpoints: endpoints }
    }

    /// The number of lines in the log of the follower.
    fn lines(&self, words: &[&str]) -> usize {
        self.region.gateways[self.follower].log_with(words).len()
    }

    /// Waits until the follower has left its source and an endpoint has left the registry.
    fn remove_endpoint_in_outage(&self) {
        let follower = &self.region.gateways[self.follower];
        follower.wait_for_log(&["peer_lost", "Outdated"]).unwrap();
        sleep(OUTAGE);
        self.region.store.delete("servers", "i-2");
        follower.wait_for_log(&["endpoint_left", "i-2"]).unwrap();
    }

    fn wait_until_followed_again(&self) {
        let follower = &self.region.gateways[self.follower];
        let is_followed = || self.lines(&["peer_followed"]) > 1;
        follower.wait_for(is_followed, "the source is followed again").unwrap();
    }
}

/// The source keeps the endpoint, since its entry may have expired while the store was away.
#[test]
fn endpoint_that_left_does_not_join_again_at_the_follower_of_a_daemon_that_keeps_it() {
    let site = Site::start();
    let path = &site.region.paths[site.source];
    path.set(PathState::Reset).unwrap();
    site.remove_endpoint_in_outage();
    sleep(SOURCE_AVOIDED_FOR - OUTAGE - RETURNS_EARLIER);
    path.set(PathState::Open).unwrap();
    site.wait_until_followed_again();
    sleep(KEPT_FOR);
    assert_eq!(site.lines(&["endpoint_joined", "i-2"]), 1);
}

/// The source has read the configuration again, but not the registry.
#[test]
fn endpoint_that_left_does_not_join_again_at_the_follower_of_a_daemon_with_an_old_registry() {
    let site = Site::start();
    let refused = &site.region.refused[site.source];
    refused.set(&["config", "servers"]);
    site.remove_endpoint_in_outage();
    refused.set(&["servers"]);
    sleep(SOURCE_AVOIDED_FOR + KEPT_FOR);
    refused.set(&[]);
    site.wait_until_followed_again();
    sleep(KEPT_FOR);
    assert_eq!(site.lines(&["endpoint_joined", "i-2"]), 1);
}
