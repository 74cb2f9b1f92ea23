use crate::support::{KEY, configuration};
use fakes::{GatewayConfig, GatewayProcess, NetworkPath, PlatformStore, RefusedKinds};
use std::collections::BTreeMap;
use std::thread::sleep;
use std::time::Duration;

/// Time in which a reader names its standbys to its followers.
pub const STANDBYS_NAMED_AFTER: Duration = Duration::from_millis(1_500);
const RECHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Gateways of one region with the data centres `a` and `b`, each with a path of its own to the store.
pub struct Region {
    pub store: PlatformStore,
    pub gateways: Vec<GatewayProcess>,
    pub paths: Vec<NetworkPath>,
    /// The kinds of objects for which the store turns each gateway away.
    pub refused: Vec<RefusedKinds>,
}

impl Region {
    pub fn start() -> Region {
        fakes::build_programs().unwrap();
        let store = PlatformStore::start().unwrap();
        store.put("config", "main", configuration(1, &[KEY]));
        Region { store, gateways: Vec::new(), paths: Vec::new(), refused: Vec::new() }
    }

    /// Starts the reader of a data centre and five followers.
    pub fn with_one_data_centre() -> Region {
        Region::with_one_data_centre_of(6)
    }

    /// Starts the reader of a data centre and its followers, up to 9 gateways, whose ranks are their
    /// numbers.
    pub fn with_one_data_centre_of(gateways: usize) -> Region {
        let mut region = Region::start();
        for number in 1..=gateways {
            region.add(&format!("front-{number}"), "a");
        }
        region.wait_until_standbys_are_named();
        region
    }

    pub fn wait_until_standbys_are_named(&self) {
        for follower in &self.gateways[1..] {
            follower.wait_for_log(&["peer_followed"]).unwrap();
        }
        sleep(STANDBYS_NAMED_AFTER);
    }

    /// Starts a gateway and waits until it has the configuration. Returns its number.
    pub fn add(&mut self, name: &str, data_centre: &str) -> usize {
        let refused = RefusedKinds::default();
        let path = NetworkPath::start(self.store.start_refusing(refused.clone()).unwrap()).unwrap();
        let data_centres = ["a", "b"].map(|other| (other.to_owned(), String::from("r")));
        let cfg = GatewayConfig {
            name: name.to_owned(),
            data_centre: data_centre.to_owned(),
            other_data_centres: BTreeMap::from(data_centres),
            ..GatewayConfig::default()
        };
        let gateway = GatewayProcess::start(path.address, &cfg).unwrap();
        gateway.wait_for_log(&["configuration_in_force"]).unwrap();
        self.gateways.push(gateway);
        self.paths.push(path);
        self.refused.push(refused);
        self.gateways.len() - 1
    }

    /// Starts a gateway in each data centre. Returns the number of the one that reads the store, and of
    /// the one that follows it.
    pub fn add_source_and_follower(&mut self) -> (usize, usize) {
        let (a, b) = (self.add("front-1", "a"), self.add("front-2", "b"));
        loop {
            for (source, follower) in [(a, b), (b, a)] {
                if !self.gateways[follower].log_with(&["peer_followed"]).is_empty() {
                    return (source, follower);
                }
            }
            sleep(RECHECK_INTERVAL);
        }
    }
}
