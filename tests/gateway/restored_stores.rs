//! A store that came back as an older copy, in which a key is not yet revoked.

use crate::support::{KEY, configuration, registration};
use fakes::{
    Client, GatewayConfig, GatewayProcess, NetworkPath, PathState, PlatformEndpoint, PlatformStore,
    StoreCopy,
};
use rstest::rstest;
use std::collections::BTreeMap;
use std::thread::sleep;
use std::time::{Duration, Instant};

const REVOKED_KEY: &str = "revoked-key";
/// The time after which a revoked key must be refused (`revocation_ms`).
const REVOCATION_TIME: Duration = Duration::from_secs(5);
/// How long requests with the revoked key are sent.
const OBSERVED_TIME: Duration = Duration::from_secs(2);
/// Time in which a gateway that starts serves keys although other data centres do not respond.
const START_TIME: Duration = Duration::from_secs(3);
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);
/// Names of data centres, which decide on their order, and their regions.
const DATA_CENTRES: [(&str, &str); 3] = [("a", "r"), ("b", "r"), ("c", "s")];

/// A gateway in each of three data centres, each with a path of its own to the store, and an endpoint.
struct Fleet {
    store: PlatformStore,
    paths: Vec<NetworkPath>,
    gateways: Vec<GatewayProcess>,
    _endpoint: PlatformEndpoint,
}

impl Fleet {
    /// Starts it with both keys.
    fn start() -> Fleet {
        fakes::build_programs().unwrap();
        let store = PlatformStore::start().unwrap();
        store.put("config", "main", configuration(1, &[KEY, REVOKED_KEY]));
        let endpoint = PlatformEndpoint::start("i-1", 1, Duration::ZERO).unwrap();
        store.put("servers", "i-1", registration(&endpoint, "ready", 1));
        let all = DATA_CENTRES.map(|(name, region)| (name.to_owned(), region.to_owned()));
        let paths: Vec<NetworkPath> =
            DATA_CENTRES.iter().map(|_| NetworkPath::start(store.address).unwrap()).collect();
        let start = |((data_centre, region), path): (&(String, String), &NetworkPath)| {
            let cfg = GatewayConfig {
                name: format!("front-{data_centre}"),
                data_centre: data_centre.clone(),
                region: region.clone(),
                other_data_centres: BTreeMap::from(all.clone()),
                ..GatewayConfig::default()
            };
            GatewayProcess::start(path.address, &cfg).unwrap()
        };
        let gateways: Vec<GatewayProcess> = all.iter().zip(&paths).map(start).collect();
        for gateway in &gateways {
            gateway.wait_for_log(&["daemons_counted", "\"count\":3"]).unwrap();
        }
        Fleet { store, paths, gateways, _endpoint: endpoint }
    }

    /// Revokes the key and waits until that is in force at the gateways `at`. Returns a copy of the store
    /// from before.
    fn revoke_key(&self, at: &[usize]) -> StoreCopy {
        let copy = self.store.copy();
        self.store.put("config", "main", configuration(2, &[KEY]));
        for number in at {
            let gateway = &self.gateways[*number];
            gateway.wait_for_log(&["configuration_in_force", "\"version\":2"]).unwrap();
        }
        copy
    }

    fn status(&self, gateway: usize, key: &str) -> Option<u16> {
        let mut client = Client::connect(self.gateways[gateway].address).ok()?;
        client.send_request("/safe/", "r1", key, "body").ok()?;
        Some(client.read_response().ok()?.message.status())
    }

    /// Sends requests with a key to a gateway for some time; returns how many were served.
    fn served(&self, gateway: usize, key: &str, time: Duration) -> usize {
        let began = Instant::now();
        let mut served = 0;
        while began.elapsed() < time {
            served += usize::from(self.status(gateway, key) == Some(200));
            sleep(REQUEST_INTERVAL);
        }
        served
    }
}

/// It reads the older copy, while gateways of other data centres know the newer configuration.
#[rstest]
fn gateway_that_starts_does_not_accept_a_key_that_was_revoked(#[values(0, 1, 2)] started: usize) {
    let mut fleet = Fleet::start();
    let copy = fleet.revoke_key(&[0, 1, 2]);
    fleet.gateways[started].signal("STOP").unwrap();
    fleet.store.restore(copy, &[]);
    fleet.gateways[started].restart("KILL").unwrap();
    assert_eq!(fleet.served(started, REVOKED_KEY, OBSERVED_TIME), 0, "served with the revoked key");
    assert_eq!(fleet.status(started, KEY), Some(200));
}

/// The only gateway of its region does not reach the store when the key is revoked, and reads the older
/// copy after that.
#[test]
fn gateway_that_was_cut_off_does_not_accept_a_key_that_was_revoked() {
    let fleet = Fleet::start();
    fleet.paths[2].set(PathState::Reset).unwrap();
    let revoked = Instant::now();
    let copy = fleet.revoke_key(&[0, 1]);
    fleet.store.restore(copy, &[]);
    fleet.paths[2].set(PathState::Open).unwrap();
    sleep(REVOCATION_TIME.saturating_sub(revoked.elapsed()));
    assert_eq!(fleet.served(2, REVOKED_KEY, OBSERVED_TIME), 0, "served with the revoked key");
    assert_eq!(fleet.status(2, KEY), Some(200));
}

#[test]
fn gateway_serves_keys_although_no_other_data_centre_responds_at_its_start() {
    let mut fleet = Fleet::start();
    fleet.gateways[1..].iter().for_each(|gateway| gateway.signal("STOP").unwrap());
    fleet.gateways[0].restart("KILL").unwrap();
    let started = Instant::now();
    while fleet.status(0, KEY) != Some(200) {
        assert!(started.elapsed() < START_TIME, "no request served within {START_TIME:?}");
        sleep(REQUEST_INTERVAL);
    }
}
