//! What reaches endpoints of requests with a prompt part that crashes them.

use crate::support::{KEY, Site, registration};
use fakes::{Client, ClientResponse, CrashStage, CrashingPart, GatewayConfig, GatewayProcess};
use rstest::rstest;
use std::net::SocketAddr;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// The crashes after which the platform limits what reaches endpoints.
const CRASHES: usize = 5;
/// The time that daemons have to act on the last of these crashes (`contact_ms`).
const CONTACT_TIME: Duration = Duration::from_secs(4);
/// The requests with the part that may reach endpoints after that.
const ALLOWED_LATER: usize = 3;
/// Requests with the part that are sent after that.
const LATER_REQUESTS: usize = 12;
const RESTART_AFTER: Duration = Duration::from_millis(300);
/// Time in which an endpoint that crashed is back and no longer avoided.
const RECOVERY_TIME: Duration = Duration::from_millis(1_500);
const CRASHING_PART: &str = "bad0";
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);

/// A site with endpoints that crash on a prompt part.
struct CrashSite {
    site: Site,
    /// The addresses of all gateways, which are in different regions.
    gateways: Vec<SocketAddr>,
    _others: Vec<GatewayProcess>,
    sent: usize,
}

impl CrashSite {
    fn start(gateways: usize) -> CrashSite {
        let site = Site::start();
        let start = |number: usize| {
            let cfg = GatewayConfig {
                name: format!("front-{number}"),
                data_centre: format!("b{number}"),
                region: format!("s{number}"),
                ..GatewayConfig::default()
            };
            let gateway = GatewayProcess::start(site.store.address, &cfg).unwrap();
            gateway.wait_for_log(&["daemons_counted", &format!("{gateways}")]).unwrap();
            gateway
        };
        let others: Vec<GatewayProcess> = (2..=gateways).map(start).collect();
        for runner in &site.runners {
            site.store.put("servers", &runner.id, registration(runner, "ready", 2));
            let id = CRASHING_PART.to_owned();
            let (stage, restart_after) = (CrashStage::WithinEvent, RESTART_AFTER);
            runner.set_crashing_parts(&[CrashingPart { id, stage, restart_after }]);
        }
        let addresses = others.iter().map(|gateway| gateway.address);
        let gateways = [site.gateway.address].into_iter().chain(addresses).collect();
        CrashSite { site, gateways, _others: others, sent: 0 }
    }

    /// Sends a request whose prompt has a part of its own after the given one, to the gateways in
    /// turn. All requests have their first part in common.
    fn send(&mut self, target: &str, part: &str) -> Option<ClientResponse> {
        self.sent += 1;
        let number = self.sent;
        let prompt = format!(
            "X-Chervilspur-Token-Counts: 300,10\r\n\
             X-Chervilspur-Prompt-Prefix: f1:100,{part}:100,{number:x}0000:100\r\n"
        );
        let mut client = Client::connect(self.gateways[number % self.gateways.len()]).unwrap();
        client.send_request_with(target, &format!("r{number}"), KEY, "", &prompt).unwrap();
        client.read_response().ok()
    }

    fn crashes(&self) -> usize {
        self.site.runners.iter().map(|runner| runner.crashes().len()).sum()
    }

    /// How many requests with the part reached endpoints.
    fn received(&self) -> usize {
        let requests = self.site.runners.iter().flat_map(|runner| runner.received_requests());
        let has_part = requests
            .filter(|r| r.message.header("x-chervilspur-prompt-prefix").contains(CRASHING_PART));
        has_part.count()
    }

    /// Sends requests with the part until `CRASHES` crashes or for at most `CONTACT_TIME`.
    fn crash_endpoints(&mut self, target: &str) {
        let started = Instant::now();
        while self.crashes() < CRASHES && started.elapsed() < CONTACT_TIME {
            self.send(target, CRASHING_PART);
            sleep(REQUEST_INTERVAL);
        }
    }
}

#[rstest]
#[case(1, "/fixed/stream/")]
#[case(1, "/stream/")]
#[case(2, "/fixed/stream/")]
fn prompt_part_that_crashed_five_endpoints_reaches_at_most_three_more(
    #[case] gateways: usize,
    #[case] target: &str,
) {
    let mut site = CrashSite::start(gateways);
    site.crash_endpoints(target);
    sleep(CONTACT_TIME);
    let before = site.received();
    for _ in 0..LATER_REQUESTS {
        site.send(target, CRASHING_PART);
        sleep(RESTART_AFTER);
    }
    let later = site.received() - before;
    let log = site.site.gateway.log_with(&["response_broken"]).join("\n");
    assert!(later <= ALLOWED_LATER, "{later} requests reached endpoints\n{log}");
}

#[test]
fn sound_prompts_are_served_beside_one_that_crashes_endpoints() {
    let mut site = CrashSite::start(2);
    site.crash_endpoints("/fixed/stream/");
    sleep(RECOVERY_TIME);
    for _ in 0..LATER_REQUESTS {
        let crashing = site.send("/fixed/stream/", CRASHING_PART);
        assert!(crashing.is_none_or(|response| !response.is_complete || !is_served(&response)));
        let sound = site.send("/fixed/stream/", "c2").unwrap();
        assert!(sound.is_complete && is_served(&sound), "{sound:?}");
    }
}

fn is_served(response: &ClientResponse) -> bool {
    response.message.status() == 200
}
