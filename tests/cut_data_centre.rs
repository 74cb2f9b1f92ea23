//! Seven daemons, of which one data centre is cut off from the store and from the others.

mod relay;

use config::{Edit, Lists};
use fakes::{Process, simple_lists};
use relay::{Cut, Relay};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use store::Store;
use utils::{get_json, post_json, sha256_hex};

const TIMEOUT: Duration = Duration::from_secs(5);
const LIMIT: Duration = Duration::from_secs(60);
const POLL: Duration = Duration::from_millis(20);
const DATA_CENTRES: [&str; 7] = [
    "aburra-norte",
    "aburra-norte",
    "aburra-norte",
    "aburra-sur",
    "aburra-sur",
    "rionegro",
    "rionegro",
];
const CUT_OFF: &str = "rionegro";

struct Daemon {
    process: Process,
    relay: Relay,
    data_centre: &'static str,
    /// The highest revision that the process has shown.
    revision: u64,
}

struct Site {
    store: Process,
    instances: Process,
    engines: BTreeMap<&'static str, Process>,
    /// The ways to store and instance list from inside the cut.
    platform: [Relay; 2],
    cut: Cut,
    daemons: Vec<Daemon>,
}

impl Site {
    fn start() -> Site {
        fakes::build_programs().unwrap();
        let cut = Cut::default();
        let store = Process::start("chervilspur-fake", &["object-api"]).unwrap();
        let instances = Process::start("chervilspur-fake", &["instances"]).unwrap();
        let platform = [&store, &instances].map(|process| {
            let relay = Relay::start(&cut, true).unwrap();
            relay.point_to(process.address);
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
        let mut site = Site { store, instances, engines, platform, cut, daemons };
        site.publish_lists(1);
        for data_centre in DATA_CENTRES {
            let relay = Relay::start(&site.cut, false).unwrap();
            let process = site.start_daemon(data_centre, &relay);
            site.daemons.push(Daemon { process, relay, data_centre, revision: 0 });
        }
        site.publish_instances();
        site
    }

    fn start_daemon(&self, data_centre: &str, relay: &Relay) -> Process {
        let is_inside = data_centre == CUT_OFF;
        let [store, instances] = match is_inside {
            true => [self.platform[0].address, self.platform[1].address],
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
        relay.point_to(process.address);
        if is_inside {
            self.cut.add(process.address);
        }
        process
    }

    fn publish_lists(&self, revision: u64) {
        let mut lists = simple_lists(&sha256_hex("key-1"));
        lists["plans"]["accounts"][format!("account-{revision}")] =
            json!({"plan": "gold", "key_sha256": sha256_hex("key-2")});
        let lists: Lists = serde_json::from_value(lists).unwrap();
        let store = Store::new(self.store.address, TIMEOUT);
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
        let _: Value = post_json(&url, &json!({"instances": list}), TIMEOUT).unwrap();
    }

    /// Reads what all daemons say until `holds`, and checks that none goes back.
    fn wait(&mut self, what: &str, holds: impl Fn(&[(&'static str, Value)]) -> bool) {
        let started = Instant::now();
        loop {
            let mut all = Vec::new();
            for daemon in &mut self.daemons {
                let url = format!("http://{}/admin/status", daemon.process.address);
                let status: Value = get_json(&url, TIMEOUT).unwrap();
                let revision = status["revision"].as_u64().unwrap();
                assert!(revision >= daemon.revision, "{status} after {}", daemon.revision);
                daemon.revision = revision;
                all.push((daemon.data_centre, status));
            }
            if holds(&all) {
                return;
            }
            assert!(started.elapsed() < LIMIT, "not within {LIMIT:?}: {what}: {all:?}");
            std::thread::sleep(POLL);
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

fn all_at(revision: u64) -> impl Fn(&[(&'static str, Value)]) -> bool {
    move |all| all.iter().all(|(_, s)| s["revision"] == revision && s["ready"] == true)
}

fn count_members(status: &Value, state: &str) -> usize {
    let members = status["members"].as_array().unwrap();
    members.iter().filter(|member| member["state"] == state).count()
}

#[test]
fn can_serve_while_cut_off_and_catch_up_without_going_back() {
    let mut site = Site::start();
    site.wait("everybody serves revision 1", all_at(1));
    site.wait("everybody knows six others", |all| {
        all.iter().all(|(_, status)| count_members(status, "live") == 6)
    });
    site.wait("the store answers everybody's data centre", |all| {
        all.iter().all(|(_, status)| status["store"]["reachable"] == true)
    });
    site.cut.open();
    site.publish_lists(2);
    site.wait("revision 2 outside the cut", |all| {
        all.iter().all(|(dc, s)| *dc == CUT_OFF || s["revision"] == 2)
    });
    assert!(site.chat(5).ends_with("data: [DONE]\n\n"));
    assert_eq!((site.daemons[5].revision, site.daemons[6].revision), (1, 1));

    // A daemon that is replaced inside the cut takes the lists from its peer.
    let process = site.start_daemon(CUT_OFF, &site.daemons[6].relay);
    site.daemons[6].process = process;
    site.daemons[6].revision = 0;
    site.publish_lists(3);
    site.wait("revision 3 outside, 1 in the replaced daemon", |all| {
        let outside = all.iter().all(|(dc, s)| *dc == CUT_OFF || s["revision"] == 3);
        outside && all[6].1["revision"] == 1
    });
    assert_eq!(site.daemons[5].revision, 1);
    site.wait("the cut-off data centre says so", |all| {
        all.iter().all(|(dc, s)| (*dc == CUT_OFF) != (s["store"]["reachable"] == true))
    });

    site.cut.heal();
    site.wait("revision 3 everywhere", all_at(3));
    assert!(site.chat(6).ends_with("data: [DONE]\n\n"));
}
