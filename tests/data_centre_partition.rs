//! A network partition between one data centre on one side and the store and all other data centres
//! on the other.

mod relay;

use config::{Edit, Lists};
use fakes::{Process, simple_lists};
use relay::{Partition, Relay};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use store::Store;
use utils::{get_json, post_json, sha256_hex};

const HTTP_TIMEOUT: Duration = Duration::from_secs(5);
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const DATA_CENTRES: [&str; 7] = [
    "aburra-norte",
    "aburra-norte",
    "aburra-norte",
    "aburra-sur",
    "aburra-sur",
    "rionegro",
    "rionegro",
];
const ISOLATED: &str = "rionegro";

struct Daemon {
    process: Process,
    relay: Relay,
    data_centre: &'static str,
    /// The highest revision that the process has reported.
    revision: u64,
}

struct Site {
    store: Process,
    instances: Process,
    engines: BTreeMap<&'static str, Process>,
    /// Relays to the store and the instance list for the daemons of the isolated data centre.
    platform_relays: [Relay; 2],
    partition: Partition,
    daemons: Vec<Daemon>,
}

impl Site {
    fn start() -> Site {
        fakes::build_programs().unwrap();
        let partition = Partition::default();
        let store = Process::start("chervilspur-fake", &["object-api"]).unwrap();
        let instances = Process::start("chervilspur-fake", &["instances"]).unwrap();
        let platform_relays = [&store, &instances].map(|process| {
            let relay = Relay::start(&partition, true).unwrap();
            relay.set_target(process.address);
            relay
        });
        let mut engines = BTreeMap::new();
        for data_centre in DATA_CENTRES {
            let args = ["engine", "--token-ms", "1"];
            engines
                .entry(data_centre)
                .or_insert_with(|| Process::start("chervilspur-fake", &args).unwrap());
        }
        let daemons = Vec::new();
        let mut site = Site { store, instances, engines, platform_relays, partition, daemons };
        site.publish_lists(1);
        for data_centre in DATA_CENTRES {
            let relay = Relay::start(&site.partition, false).unwrap();
            let process = site.start_daemon(data_centre, &relay);
            site.daemons.push(Daemon { process, relay, data_centre, revision: 0 });
        }
        site.publish_instances();
        site
    }

    fn start_daemon(&self, data_centre: &str, relay: &Relay) -> Process {
        let is_isolated = data_centre == ISOLATED;
        let [store, instances] = match is_isolated {
            true => [self.platform_relays[0].address, self.platform_relays[1].address],
            false => [self.store.address, self.instances.address],
        };
        let (store, instances) = (store.to_string(), instances.to_string());
        let peer_address = relay.address.to_string();
        let pairs = [
            ["--data-centre", data_centre],
            ["--region", data_centre],
            ["--store", &store],
            ["--instances", &instances],
            ["--peer-address", &peer_address],
            ["--peer-key", "key-of-seven-daemons"],
            ["--check-invariants", "true"],
        ];
        let process = Process::start("chervilspurd", pairs.as_flattened()).unwrap();
        relay.set_target(process.address);
        if is_isolated {
            self.partition.isolate(process.address);
        }
        process
    }

    fn publish_lists(&self, revision: u64) {
        let mut lists = simple_lists(&sha256_hex("key-1"));
        lists["plans"]["accounts"][format!("account-{revision}")] =
            json!({"plan": "gold", "key_sha256": sha256_hex("key-2")});
        let lists: Lists = serde_json::from_value(lists).unwrap();
        let store = Store::new(self.store.address, HTTP_TIMEOUT);
        Edit::new(&lists, revision - 1).publish(&store).unwrap();
    }

    fn publish_instances(&self) {
        let instance = |name: String, kind: &str, address, data_centre| {
            json!({
                "name": name, "kind": kind, "address": address, "data_centre": data_centre,
                "region": data_centre, "state": "live",
            })
        };
        let daemons = self.daemons.iter().enumerate().map(|(i, daemon)| {
            instance(format!("daemon-{i}"), "daemon", daemon.relay.address, daemon.data_centre)
        });
        let engines = self.engines.iter().map(|(data_centre, engine)| {
            instance(format!("engine-{data_centre}"), "engine", engine.address, data_centre)
        });
        let list: Vec<Value> = daemons.chain(engines).collect();
        let url = format!("http://{}/instances", self.instances.address);
        let _: Value = post_json(&url, &json!({"instances": list}), HTTP_TIMEOUT).unwrap();
    }

    /// Polls the status of all daemons until `condition` holds. Fails when the revision of a daemon
    /// decreases.
    fn wait_until(&mut self, what: &str, condition: impl Fn(&[(&'static str, Value)]) -> bool) {
        let started = Instant::now();
        loop {
            let mut statuses = Vec::new();
            for daemon in &mut self.daemons {
                let url = format!("http://{}/admin/status", daemon.process.address);
                let status: Value = get_json(&url, HTTP_TIMEOUT).unwrap();
                let revision = status["revision"].as_u64().unwrap();
                assert!(
                    revision >= daemon.revision,
                    "revision decreased from {}: {status}",
                    daemon.revision
                );
                daemon.revision = revision;
                statuses.push((daemon.data_centre, status));
            }
            if condition(&statuses) {
                return;
            }
            assert!(
                started.elapsed() < WAIT_TIMEOUT,
                "not within {WAIT_TIMEOUT:?}: {what}: {statuses:?}"
            );
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    fn chat(&self, daemon: usize) -> String {
        let body = json!({
            "messages": [{"role": "user", "content": "route"}], "stream": true, "max_tokens": 5,
        });
        let address = self.daemons[daemon].process.address;
        attohttpc::post(format!("http://{address}/v1/chat/completions"))
            .header("authorization", "Bearer key-1")
            .header("x-request-class", "plan")
            .text(body.to_string())
            .send()
            .unwrap()
            .text()
            .unwrap()
    }
}

fn all_ready_at(revision: u64) -> impl Fn(&[(&'static str, Value)]) -> bool {
    move |statuses| statuses.iter().all(|(_, s)| s["revision"] == revision && s["ready"] == true)
}

fn count_members(status: &Value, state: &str) -> usize {
    let members = status["members"].as_array().unwrap();
    members.iter().filter(|member| member["state"] == state).count()
}

#[test]
fn isolated_data_centre_serves_and_catches_up_without_decreasing_its_revision() {
    let mut site = Site::start();
    site.wait_until("revision 1 is active in all daemons", all_ready_at(1));
    site.wait_until("each daemon has six live peers", |statuses| {
        statuses.iter().all(|(_, status)| count_members(status, "live") == 6)
    });
    site.wait_until("the store is reachable from all data centres", |statuses| {
        statuses.iter().all(|(_, status)| status["store"]["reachable"] == true)
    });
    site.partition.start();
    site.publish_lists(2);
    site.wait_until("revision 2 is active outside the isolated data centre", |statuses| {
        statuses.iter().all(|(dc, s)| *dc == ISOLATED || s["revision"] == 2)
    });
    assert!(site.chat(5).ends_with("data: [DONE]\n\n"));
    assert_eq!((site.daemons[5].revision, site.daemons[6].revision), (1, 1));

    // A daemon that is replaced in the isolated data centre gets the lists from its peer.
    let process = site.start_daemon(ISOLATED, &site.daemons[6].relay);
    site.daemons[6].process = process;
    site.daemons[6].revision = 0;
    site.publish_lists(3);
    site.wait_until("revision 3 is active outside, 1 in the replaced daemon", |statuses| {
        let outside = statuses.iter().all(|(dc, s)| *dc == ISOLATED || s["revision"] == 3);
        outside && statuses[6].1["revision"] == 1
    });
    assert_eq!(site.daemons[5].revision, 1);
    site.wait_until("only the isolated data centre reports the store as unreachable", |statuses| {
        statuses.iter().all(|(dc, s)| (*dc == ISOLATED) != (s["store"]["reachable"] == true))
    });

    site.partition.end();
    site.wait_until("revision 3 is active in all daemons", all_ready_at(3));
    assert!(site.chat(6).ends_with("data: [DONE]\n\n"));
}
