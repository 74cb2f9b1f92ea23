//! What a gateway uses after a restart.

use crate::support::{KEY, Site, configuration};
use fakes::Client;
use rstest::rstest;

const WITHDRAWN_KEY: &str = "key-that-is-withdrawn";

/// Guards against a key or an endpoint from before the restart. Both are withdrawn while the process
/// stands still, so that it has not learnt that either.
#[rstest]
fn withdrawn_key_and_endpoint_that_left_are_not_used_after_a_restart(
    #[values("KILL", "TERM")] signal: &str,
) {
    let mut site = Site::start();
    site.store.put("config", "main", configuration(2, &[KEY, WITHDRAWN_KEY]));
    site.gateway.wait_for_log(&["configuration_in_force", "\"version\":2"]).unwrap();
    let status = |site: &Site, id: &str, key: &str| {
        let mut client = site.client();
        client.send_request("/safe/", id, key, "body").unwrap();
        client.read_response().unwrap().message.status()
    };
    assert_eq!(status(&site, "before", WITHDRAWN_KEY), 200);
    site.gateway.signal("STOP").unwrap();
    site.store.put("config", "main", configuration(3, &[KEY]));
    site.store.delete("servers", "i-1");
    let received = site.runners[0].received_requests().len();
    site.gateway.restart(signal).unwrap();
    let listens = || Client::connect(site.gateway.address).is_ok();
    site.gateway.wait_for(listens, "the gateway listens again").unwrap();
    // The gateway waits for its configuration before it answers.
    assert_eq!(status(&site, "withdrawn", WITHDRAWN_KEY), 401);
    assert_eq!(site.runs("withdrawn"), 0);
    for number in 0..8 {
        assert_eq!(status(&site, &format!("r{number}"), KEY), 200);
    }
    assert_eq!(site.runners[0].received_requests().len(), received);
}
