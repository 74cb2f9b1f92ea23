//! Bookings through real daemons, counted at the plain service.

use fakes::{InstanceKind, Member, Site, build_programs, simple_lists};
use rstest::rstest;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::process::Command;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::channel;
use std::thread;
use std::time::{Duration, Instant};
use utils::{get_json, post_json, prepare_request, put_json, sha256_hex, unix_time_ms};

const PLACE: &str = "valle-aburra/aburra-norte";
const PATIENCE: Duration = Duration::from_secs(20);
const DAEMONS: [&str; 3] = ["daemon-1", "daemon-2", "daemon-3"];

fn start_site() -> Site {
    build_programs().unwrap();
    let quiet = ["--log-level", "error"];
    let mut members: Vec<Member> =
        DAEMONS.iter().map(|name| Member::new(name, InstanceKind::Daemon, PLACE, &quiet)).collect();
    members.push(Member::new("booking-1", InstanceKind::Service, PLACE, &["--call-ms", "3"]));
    let mut lists = simple_lists(&sha256_hex("key-1"));
    lists["plans"]["accounts"]["bothy"] =
        json!({"plan": "gold", "key_sha256": sha256_hex("key-2")});
    let grants = &mut lists["grants"];
    grants["classes"]["lookup"] = grants["classes"]["booking"].clone();
    grants["classes"]["lookup"]["repeatable"] = json!(true);
    grants["plans"]["gold"]["classes"]["lookup"] =
        grants["plans"]["gold"]["classes"]["booking"].clone();
    Site::start(&lists, &members).unwrap()
}

/// What a caller was told of one attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
enum Told {
    Outcome(Value),
    Refused(String, String),
    Nothing,
}

fn book(at: SocketAddr, account_key: &str, key: &str, attempt: usize, patience: Duration) -> Told {
    call(at, (account_key, "booking"), key, attempt, patience)
}

fn call(
    at: SocketAddr,
    (account_key, class): (&str, &str),
    key: &str,
    attempt: usize,
    patience: Duration,
) -> Told {
    let sent = prepare_request(attohttpc::post(format!("http://{at}/v1/call")), patience)
        .header("authorization", format!("Bearer {account_key}"))
        .header("x-request-class", class)
        .header("idempotency-key", key)
        .header("idempotency-attempt", attempt.to_string())
        .text("{\"door\":7}")
        .send();
    let Ok(res) = sent else { return Told::Nothing };
    let status = res.status();
    let Ok(text) = res.text() else { return Told::Nothing };
    let body: Value = serde_json::from_str(&text).unwrap_or_default();
    if status == 200 {
        return Told::Outcome(body);
    }
    let text = |name: &str| body["error"][name].as_str().unwrap_or_default().to_string();
    Told::Refused(text("verdict"), text("reason"))
}

fn runs(site: &Site) -> BTreeMap<String, u64> {
    let url = format!("http://{}/counts", site.address("booking-1"));
    get_json(&url, PATIENCE).unwrap()
}

fn set_faults(at: SocketAddr, faults: Value) {
    let _: Value = post_json(&format!("http://{at}/faults"), &faults, PATIENCE).unwrap();
}

fn refused(verdict: &str, reason: &str) -> Told {
    Told::Refused(verdict.to_string(), reason.to_string())
}

fn new_key(name: &str) -> String {
    format!("{}-{name}", unix_time_ms())
}

#[test]
fn can_answer_a_repeated_key_from_the_first_run() {
    let site = start_site();
    let key = new_key("repeated");
    let first = book(site.address("daemon-1"), "key-1", &key, 1, PATIENCE);
    assert_eq!(first, Told::Outcome(json!({"ran": key, "run": 1})));
    let outcome = (0..100).find_map(|_| {
        let told = book(site.address("daemon-2"), "key-1", &key, 2, PATIENCE);
        (told != refused("may_have_run", "run_in_progress")).then_some(told)
    });
    assert_eq!(outcome, Some(first));
    assert_eq!(runs(&site)[&key], 1);
    let other = book(site.address("daemon-3"), "key-2", &key, 1, PATIENCE);
    assert_eq!(other, Told::Outcome(json!({"ran": key, "run": 2})), "keys belong to an account");
    for bad in ["", "x", "1000-expired"] {
        let told = book(site.address("daemon-1"), "key-1", bad, 1, PATIENCE);
        assert_eq!(told, refused("not_run", "bad_idempotency_key"));
    }
    let expired = book(site.address("daemon-1"), "key-1", "1000-expired", 2, PATIENCE);
    assert_eq!(expired, refused("may_have_run", "bad_idempotency_key"));
}

/// The faults last for the first attempt; the second goes to another daemon without them.
#[rstest]
#[case::store_loses_an_answer(json!({"lose_answers": 1}), json!({}), None, None, 1)]
#[case::store_loses_two_answers(json!({"lose_answers": 2}), json!({}), None, None, 1)]
#[case::store_is_slow(json!({"slow_ms": 300}), json!({}), None, None, 1)]
#[case::store_is_down(json!({"down": true}), json!({}), Some(("not_run", "store_unavailable")), None, 1)]
#[case::store_refuses(json!({"refuse": true}), json!({}), Some(("not_run", "store_unavailable")), None, 1)]
#[case::service_loses_the_answer(
    json!({}), json!({"lose_answers": 1}),
    Some(("may_have_run", "endpoint_failed")), Some(("may_have_run", "endpoint_failed")), 1
)]
#[case::service_is_cut_off(
    json!({}), json!({"down": true}),
    Some(("may_have_run", "endpoint_failed")), Some(("may_have_run", "endpoint_failed")), 0
)]
#[case::service_does_not_start(
    json!({}), json!({"refuse_not_started": true}),
    Some(("not_run", "endpoint_failed")), Some(("not_run", "endpoint_failed")), 0
)]
fn can_tell_the_truth_under_a_fault(
    #[case] store: Value,
    #[case] service: Value,
    #[case] first: Option<(&str, &str)>,
    #[case] second: Option<(&str, &str)>,
    #[case] expected_runs: u64,
) {
    let site = start_site();
    let key = new_key("fault");
    set_faults(site.store.address, store);
    set_faults(site.address("booking-1"), service);
    let told = book(site.address("daemon-1"), "key-1", &key, 1, PATIENCE);
    set_faults(site.store.address, json!({}));
    set_faults(site.address("booking-1"), json!({}));
    let ran = Told::Outcome(json!({"ran": key, "run": 1}));
    let expect = |case: Option<(&str, &str)>| case.map_or(ran.clone(), |(v, r)| refused(v, r));
    assert_eq!(told, expect(first));
    let repeated = settle(&site, &key);
    assert_eq!(repeated, expect(second));
    assert_eq!(runs(&site).get(&key).copied().unwrap_or(0), expected_runs);
}

/// Repeats a key at another daemon until no run of it is in progress.
fn settle(site: &Site, key: &str) -> Told {
    let started = Instant::now();
    loop {
        let told = book(site.address("daemon-2"), "key-1", key, 2, PATIENCE);
        if told != refused("may_have_run", "run_in_progress") || started.elapsed() > PATIENCE {
            return told;
        }
    }
}

#[test]
fn can_delete_the_records_of_expired_keys() {
    let site = start_site();
    let key = new_key("fresh");
    book(site.address("daemon-1"), "key-1", &key, 1, PATIENCE);
    // The sweeper has begun with the spans of seven hours ago.
    let span = (unix_time_ms() - 6 * 3_600_000) / 60_000;
    let record = format!("http://{}/objects/runs-{span}/old", site.store.address);
    let _: Value = put_json(&record, &json!({}), PATIENCE).unwrap();
    let started = Instant::now();
    while get_json::<Value>(&record, PATIENCE).is_ok() {
        assert!(started.elapsed() < Duration::from_secs(60), "the record stays");
        thread::sleep(Duration::from_millis(20));
    }
    let told = book(site.address("daemon-2"), "key-1", &key, 2, PATIENCE);
    assert_eq!(told, Told::Outcome(json!({"ran": key, "run": 1})));
}

#[test]
fn can_answer_calls_that_may_be_repeated_while_the_store_is_down() {
    let site = start_site();
    set_faults(site.store.address, json!({"down": true}));
    set_faults(site.address("booking-1"), json!({"lose_answers": 1}));
    for run in 2..12 {
        let at = site.address(DAEMONS[run % 3]);
        let told = call(at, ("key-1", "lookup"), "again", 1, PATIENCE);
        assert_eq!(told, Told::Outcome(json!({"ran": "again", "run": run})));
    }
    let told = book(site.address("daemon-1"), "key-1", &new_key("down"), 2, PATIENCE);
    assert_eq!(told, refused("may_have_run", "store_unavailable"));
}

#[test]
fn errors_when_the_store_has_lost_the_record_of_a_run() {
    let site = start_site();
    let at = site.address("daemon-1");
    let url = format!("http://{}/objects/lists/current", site.store.address);
    let version = get_json::<Value>(&url, PATIENCE).unwrap()["version"].clone();
    let keys: Vec<String> = (0..10).map(|i| new_key(&format!("restore-{i}"))).collect();
    for key in &keys {
        let told = book(at, "key-1", key, 1, PATIENCE);
        assert_eq!(told, Told::Outcome(json!({"ran": key, "run": 1})));
    }
    let restore = format!("http://{}/restore", site.store.address);
    let _: Value = post_json(&restore, &json!({"version": version}), PATIENCE).unwrap();
    let told = book(at, "key-1", &keys[0], 2, PATIENCE);
    assert_eq!(told, refused("may_have_run", "store_unavailable"));
    let told = book(at, "key-1", &keys[1], 2, PATIENCE);
    assert_eq!(told, refused("may_have_run", "bad_idempotency_key"));
    assert!(runs(&site).values().all(|count| *count == 1));
}

fn signal(site: &Site, name: &str, signal: &str) {
    let id = site.process(name).id().to_string();
    assert!(Command::new("kill").args([signal, &id]).status().unwrap().success());
}

/// Repeats one booking at one daemon after the other until something final is told.
fn book_until_clear(addresses: &[SocketAddr], key: &str, start: usize) -> Vec<Told> {
    let mut all = Vec::new();
    for attempt in 1..=6 {
        let at = addresses[(start + attempt) % addresses.len()];
        let told = book(at, "key-1", key, attempt, Duration::from_millis(500));
        let clear = matches!(&told, Told::Outcome(_))
            || matches!(&told, Told::Refused(verdict, _) if verdict == "not_run");
        all.push(told);
        if clear {
            break;
        }
    }
    all
}

#[test]
fn can_book_once_while_daemons_are_killed_and_paused() {
    const BOOKINGS: usize = 240;
    let site = start_site();
    set_faults(site.store.address, json!({"slow_ms": 2}));
    let addresses: Vec<SocketAddr> = DAEMONS.iter().map(|name| site.address(name)).collect();
    let (next, told) = (AtomicUsize::new(0), Mutex::new(BTreeMap::new()));
    let (tx, rx) = channel();
    thread::scope(|scope| {
        for _ in 0..6 {
            let tx = tx.clone();
            let (next, told, addresses) = (&next, &told, &addresses);
            scope.spawn(move || {
                loop {
                    let i = next.fetch_add(1, Ordering::Relaxed);
                    if i >= BOOKINGS {
                        return;
                    }
                    let key = new_key(&format!("flow-{i}"));
                    let all = book_until_clear(addresses, &key, i);
                    told.lock().unwrap().insert(key, all);
                    tx.send(()).unwrap();
                }
            });
        }
        drop(tx);
        for (done, ()) in rx.iter().enumerate() {
            match done {
                40 | 100 => signal(&site, "daemon-2", "-STOP"),
                60 | 130 => signal(&site, "daemon-2", "-CONT"),
                80 => signal(&site, "daemon-1", "-KILL"),
                _ => {}
            }
        }
    });
    // A daemon that was woken ends its calls before it stops listening.
    signal(&site, "daemon-2", "-TERM");
    let started = Instant::now();
    while get_json::<Value>(&format!("http://{}/healthz", addresses[1]), PATIENCE)
        .is_err_and(|e| !e.is_unsent())
    {
        assert!(started.elapsed() < Duration::from_secs(60), "daemon-2 does not stop");
    }
    let counts = runs(&site);
    let mut unclear = 0;
    for (key, all) in told.into_inner().unwrap() {
        let ran = counts.get(&key).copied().unwrap_or(0);
        assert!(ran <= 1, "{key} ran {ran} times: {all:?}");
        match all.last() {
            Some(Told::Outcome(body)) => assert_eq!(*body, json!({"ran": key, "run": 1})),
            Some(Told::Refused(verdict, _)) if verdict == "not_run" => {
                assert_eq!(ran, 0, "{all:?}")
            }
            _ => unclear += 1,
        }
    }
    println!("{BOOKINGS} bookings, {unclear} without a clear verdict");
    assert!(counts.len() > BOOKINGS / 2);
}
