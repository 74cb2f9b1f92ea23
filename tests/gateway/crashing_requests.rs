//! What reaches endpoints of a request that crashes each one that runs it, and comes again.

use crate::support::{KEY, Site, registration};
use fakes::{Client, ClientResponse, CrashStage, CrashingBody, GatewayConfig, GatewayProcess};
use rstest::rstest;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// The crashes after which the platform limits what reaches endpoints.
const CRASHES: usize = 3;
/// The time that daemons have to act on the last of these crashes (`contact_ms`).
const CONTACT_TIME: Duration = Duration::from_secs(4);
/// The requests that may reach endpoints after that.
const ALLOWED_LATER: usize = 3;
/// Requests that are sent after that.
const LATER_REQUESTS: usize = 12;
const LATER_INTERVAL: Duration = Duration::from_millis(300);
const RESTART_AFTER: Duration = Duration::from_millis(300);
/// Time in which an endpoint that crashed is back and no longer avoided.
const RECOVERY_TIME: Duration = Duration::from_millis(1_500);
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);
const CRASHING: &str = "crash";

/// A site with endpoints that crash on a request body, and gateways in two regions.
struct CrashSite {
    site: Site,
    gateways: Vec<SocketAddr>,
    _other: Option<GatewayProcess>,
    sent: usize,
}

impl CrashSite {
    fn start(gateways: usize, stage: CrashStage) -> CrashSite {
        let regions = [("a", "r"), ("b", "s")].map(|(a, b)| (a.to_owned(), b.to_owned()));
        let cfg = GatewayConfig {
            other_data_centres: BTreeMap::from(regions),
            ..GatewayConfig::default()
        };
        let site = Site::with(&cfg, 5, Duration::from_millis(5));
        let other = (gateways > 1).then(|| {
            let cfg = GatewayConfig {
                name: String::from("front-2"),
                data_centre: String::from("b"),
                region: String::from("s"),
                ..cfg
            };
            let other = GatewayProcess::start(site.store.address, &cfg).unwrap();
            for gateway in [&site.gateway, &other] {
                gateway.wait_for_log(&["daemons_counted", "\"count\":2}"]).unwrap();
            }
            other
        });
        for runner in &site.runners {
            site.store.put("servers", &runner.id, registration(runner, "ready", 2));
            let body = CRASHING.to_owned();
            let crashing = CrashingBody { body, stage, restart_after: RESTART_AFTER };
            runner.set_crashing_body(Some(crashing));
        }
        let addresses = other.iter().map(|gateway| gateway.address);
        let gateways = [site.gateway.address].into_iter().chain(addresses).collect();
        CrashSite { site, gateways, _other: other, sent: 0 }
    }

    /// Sends a request with a new id to the gateways in turn.
    fn send(&mut self, target: &str, body: &str) -> Option<ClientResponse> {
        self.sent += 1;
        let number = self.sent;
        let mut client = Client::connect(self.gateways[number % self.gateways.len()]).unwrap();
        client.send_request(target, &format!("r{number}"), KEY, body).unwrap();
        client.read_response().ok()
    }

    fn crashes(&self) -> usize {
        self.site.runners.iter().map(|runner| runner.crashes().len()).sum()
    }

    /// How many requests that crash endpoints reached one.
    fn received(&self) -> usize {
        let requests = self.site.runners.iter().flat_map(|runner| runner.received_requests());
        requests.filter(|request| request.message.body == CRASHING.as_bytes()).count()
    }

    /// Sends the request until `CRASHES` crashes or for at most `CONTACT_TIME`.
    fn crash_endpoints(&mut self, target: &str) {
        let started = Instant::now();
        while self.crashes() < CRASHES && started.elapsed() < CONTACT_TIME {
            self.send(target, CRASHING);
            sleep(REQUEST_INTERVAL);
        }
    }
}

#[rstest]
#[case::safe_before_the_head("/safe/", CrashStage::BeforeHead)]
#[case::unsafe_before_the_head("/once/", CrashStage::BeforeHead)]
#[case::safe_within_a_body("/safe/", CrashStage::WithinBody)]
#[case::stream_before_the_head("/fixed/stream/", CrashStage::BeforeHead)]
#[case::stream_within_an_event("/fixed/stream/", CrashStage::WithinEvent)]
#[case::resumable_stream_within_an_event("/stream/", CrashStage::WithinEvent)]
fn request_that_crashed_three_endpoints_reaches_at_most_three_more(
    #[case] target: &str,
    #[case] stage: CrashStage,
    #[values(1, 2)] gateways: usize,
) {
    let mut site = CrashSite::start(gateways, stage);
    site.crash_endpoints(target);
    assert!(site.crashes() >= CRASHES, "{} crashes", site.crashes());
    sleep(CONTACT_TIME);
    let before = site.received();
    for _ in 0..LATER_REQUESTS {
        site.send(target, CRASHING);
        sleep(LATER_INTERVAL);
    }
    let later = site.received() - before;
    let log = site.site.gateway.log_with(&["response_broken"]).join("\n");
    assert!(later <= ALLOWED_LATER, "{later} requests reached endpoints\n{log}");
}

#[test]
fn sound_requests_are_served_beside_one_that_crashes_endpoints() {
    let mut site = CrashSite::start(2, CrashStage::BeforeHead);
    site.crash_endpoints("/safe/");
    sleep(RECOVERY_TIME);
    for number in 0..LATER_REQUESTS {
        let crashing = site.send("/safe/", CRASHING);
        assert!(crashing.is_none_or(|response| response.message.status() != 200));
        let sound = site.send("/safe/", &format!("sound {number}")).unwrap();
        assert_eq!(sound.message.status(), 200, "{sound:?}");
    }
}
