//! Calls with idempotency keys through daemon processes. The plain service counts the runs.

use fakes::{InstanceKind, Member, Site, build_programs, simple_lists};
use rstest::rstest;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::process::Command;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::channel;
use std::thread;
use std::time::{Duration, Instant};
use utils::{get_json, post_json, prepare_request, put_json, sha256_hex, unix_time_ms};

const LOCATION: &str = "valle-aburra/aburra-norte";
const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);
const DAEMONS: [&str; 3] = ["daemon-1", "daemon-2", "daemon-3"];

fn start_site() -> Site {
    build_programs().unwrap();
    let quiet = ["--log-level", "error"];
    let mut members: Vec<Member> = DAEMONS
        .iter()
        .map(|name| Member::new(name, InstanceKind::Daemon, LOCATION, &quiet))
        .collect();
    members.push(Member::new("booking-1", InstanceKind::Service, LOCATION, &["--call-ms", "3"]));
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

/// What a caller receives for one attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
enum Reply {
    Outcome(Value),
    /// The verdict and the reason.
    Refused(String, String),
    /// No response, or one that breaks off.
    Lost,
}

fn book(
    address: SocketAddr,
    account_key: &str,
    key: &str,
    attempt: usize,
    timeout: Duration,
) -> Reply {
    call(address, (account_key, "booking"), key, attempt, timeout)
}

fn call(
    address: SocketAddr,
    (account_key, class): (&str, &str),
    key: &str,
    attempt: usize,
    timeout: Duration,
) -> Reply {
    let sent = prepare_request(attohttpc::post(format!("http://{address}/v1/call")), timeout)
        .header("authorization", format!("Bearer {account_key}"))
        .header("x-request-class", class)
        .header("idempotency-key", key)
        .header("idempotency-attempt", attempt.to_string())
        .text("{\"door\":7}")
        .send();
    let Ok(res) = sent else { return Reply::Lost };
    let status = res.status();
    let Ok(text) = res.text() else { return Reply::Lost };
    let body: Value = serde_json::from_str(&text).unwrap_or_default();
    if status == 200 {
        return Reply::Outcome(body);
    }
    let text = |name: &str| body["error"][name].as_str().unwrap_or_default().to_string();
    Reply::Refused(text("verdict"), text("reason"))
}

fn run_counts(site: &Site) -> BTreeMap<String, u64> {
    let url = format!("http://{}/counts", site.address("booking-1"));
    get_json(&url, REQUEST_TIMEOUT).unwrap()
}

fn set_faults(address: SocketAddr, faults: Value) {
    let _: Value =
        post_json(&format!("http://{address}/faults"), &faults, REQUEST_TIMEOUT).unwrap();
}

fn refused(verdict: &str, reason: &str) -> Reply {
    Reply::Refused(verdict.to_string(), reason.to_string())
}

fn new_key(name: &str) -> String {
    format!("{}-{name}", unix_time_ms())
}

#[test]
fn repeated_idempotency_key_returns_the_outcome_of_its_first_run() {
    let site = start_site();
    let key = new_key("repeated");
    let first = book(site.address("daemon-1"), "key-1", &key, 1, REQUEST_TIMEOUT);
    assert_eq!(first, Reply::Outcome(json!({"ran": key, "run": 1})));
    let outcome = (0..100).find_map(|_| {
        let reply = book(site.address("daemon-2"), "key-1", &key, 2, REQUEST_TIMEOUT);
        (reply != refused("may_have_run", "run_in_progress")).then_some(reply)
    });
    assert_eq!(outcome, Some(first));
    assert_eq!(run_counts(&site)[&key], 1);
    let other = book(site.address("daemon-3"), "key-2", &key, 1, REQUEST_TIMEOUT);
    assert_eq!(
        other,
        Reply::Outcome(json!({"ran": key, "run": 2})),
        "two accounts may use the same key"
    );
    for bad in ["", "x", "1000-expired"] {
        let reply = book(site.address("daemon-1"), "key-1", bad, 1, REQUEST_TIMEOUT);
        assert_eq!(reply, refused("not_run", "bad_idempotency_key"));
    }
    let expired = book(site.address("daemon-1"), "key-1", "1000-expired", 2, REQUEST_TIMEOUT);
    assert_eq!(expired, refused("may_have_run", "bad_idempotency_key"));
}

/// The faults last for the first attempt only. The second attempt goes to another daemon.
#[rstest]
#[case::store_loses_a_response(json!({"lose_answers": 1}), json!({}), None, None, 1)]
#[case::store_loses_two_responses(json!({"lose_answers": 2}), json!({}), None, None, 1)]
#[case::store_is_slow(json!({"slow_ms": 300}), json!({}), None, None, 1)]
#[case::store_is_down(json!({"down": true}), json!({}), Some(("not_run", "store_unavailable")), None, 1)]
#[case::store_rejects_requests(json!({"refuse": true}), json!({}), Some(("not_run", "store_unavailable")), None, 1)]
#[case::service_loses_a_response(
    json!({}), json!({"lose_answers": 1}),
    Some(("may_have_run", "endpoint_failed")), Some(("may_have_run", "endpoint_failed")), 1
)]
#[case::service_is_down(
    json!({}), json!({"down": true}),
    Some(("may_have_run", "endpoint_failed")), Some(("may_have_run", "endpoint_failed")), 0
)]
#[case::service_rejects_the_call_before_it_starts(
    json!({}), json!({"refuse_not_started": true}),
    Some(("not_run", "endpoint_failed")), Some(("not_run", "endpoint_failed")), 0
)]
fn daemon_reports_the_correct_verdict_when_the_store_or_the_service_fails(
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
    let reply = book(site.address("daemon-1"), "key-1", &key, 1, REQUEST_TIMEOUT);
    set_faults(site.store.address, json!({}));
    set_faults(site.address("booking-1"), json!({}));
    let ran = Reply::Outcome(json!({"ran": key, "run": 1}));
    let expect = |case: Option<(&str, &str)>| case.map_or(ran.clone(), |(v, r)| refused(v, r));
    assert_eq!(reply, expect(first));
    let repeated = repeat_until_finished(&site, &key);
    assert_eq!(repeated, expect(second));
    assert_eq!(run_counts(&site).get(&key).copied().unwrap_or(0), expected_runs);
}

/// Repeats a call at another daemon until its run is no longer in progress, at most
/// `REQUEST_TIMEOUT`.
fn repeat_until_finished(site: &Site, key: &str) -> Reply {
    let started = Instant::now();
    loop {
        let reply = book(site.address("daemon-2"), "key-1", key, 2, REQUEST_TIMEOUT);
        if reply != refused("may_have_run", "run_in_progress")
            || started.elapsed() > REQUEST_TIMEOUT
        {
            return reply;
        }
    }
}

#[test]
fn daemon_deletes_the_records_of_expired_keys() {
    let site = start_site();
    let key = new_key("fresh");
    book(site.address("daemon-1"), "key-1", &key, 1, REQUEST_TIMEOUT);
    // The sweeper starts seven hours back, so it reaches a record of six hours ago.
    let span = (unix_time_ms() - 6 * 3_600_000) / 60_000;
    let record = format!("http://{}/objects/runs-{span}/old", site.store.address);
    let _: Value = put_json(&record, &json!({}), REQUEST_TIMEOUT).unwrap();
    let started = Instant::now();
    while get_json::<Value>(&record, REQUEST_TIMEOUT).is_ok() {
        assert!(
            started.elapsed() < Duration::from_secs(60),
            "the expired record is not deleted within 60 s"
        );
        thread::sleep(Duration::from_millis(20));
    }
    let reply = book(site.address("daemon-2"), "key-1", &key, 2, REQUEST_TIMEOUT);
    assert_eq!(reply, Reply::Outcome(json!({"ran": key, "run": 1})));
}

#[test]
fn repeatable_calls_succeed_while_the_store_is_down() {
    let site = start_site();
    set_faults(site.store.address, json!({"down": true}));
    set_faults(site.address("booking-1"), json!({"lose_answers": 1}));
    for run in 2..12 {
        let address = site.address(DAEMONS[run % 3]);
        let reply = call(address, ("key-1", "lookup"), "again", 1, REQUEST_TIMEOUT);
        assert_eq!(reply, Reply::Outcome(json!({"ran": "again", "run": run})));
    }
    let reply = book(site.address("daemon-1"), "key-1", &new_key("down"), 2, REQUEST_TIMEOUT);
    assert_eq!(reply, refused("may_have_run", "store_unavailable"));
}

#[rstest]
#[case::stated_length("Content-Length: 4000\r\n\r\n")]
#[case::chunk("Transfer-Encoding: chunked\r\n\r\nfa0\r\n")]
fn call_whose_body_was_cut_does_not_run(#[case] framing: &str) {
    let site = start_site();
    let key = new_key("cut-body");
    let mut caller = TcpStream::connect(site.address("daemon-1")).unwrap();
    caller.set_read_timeout(Some(REQUEST_TIMEOUT)).unwrap();
    write!(
        caller,
        "POST /v1/call HTTP/1.1\r\nHost: daemon\r\nAuthorization: Bearer key-1\r\n\
         X-Request-Class: booking\r\nIdempotency-Key: {key}\r\nIdempotency-Attempt: 1\r\n\
         Connection: close\r\n{framing}{}",
        "x".repeat(2_000)
    )
    .unwrap();
    caller.shutdown(Shutdown::Write).unwrap();
    let mut response = String::new();
    caller.read_to_string(&mut response).unwrap();
    assert!(response.contains("\"verdict\":\"not_run\""), "{response}");
    assert_eq!(run_counts(&site).get(&key), None);
}

#[test]
fn response_of_a_service_that_was_cut_is_not_delivered_as_complete() {
    let site = start_site();
    set_faults(site.address("booking-1"), json!({"cut_answers": 1}));
    let key = new_key("cut");
    let reply = book(site.address("daemon-1"), "key-1", &key, 1, REQUEST_TIMEOUT);
    assert_eq!(reply, refused("may_have_run", "endpoint_failed"));
    assert_eq!(run_counts(&site)[&key], 1);

    set_faults(site.address("booking-1"), json!({"cut_answers": 1}));
    let reply = call(site.address("daemon-1"), ("key-1", "lookup"), "cut", 1, REQUEST_TIMEOUT);
    assert_eq!(reply, Reply::Outcome(json!({"ran": "cut", "run": 2})));
}

#[test]
fn repeated_call_is_refused_when_a_restored_store_has_lost_its_record() {
    let site = start_site();
    let address = site.address("daemon-1");
    let url = format!("http://{}/objects/lists/current", site.store.address);
    let version = get_json::<Value>(&url, REQUEST_TIMEOUT).unwrap()["version"].clone();
    let keys: Vec<String> = (0..10).map(|i| new_key(&format!("restore-{i}"))).collect();
    for key in &keys {
        let reply = book(address, "key-1", key, 1, REQUEST_TIMEOUT);
        assert_eq!(reply, Reply::Outcome(json!({"ran": key, "run": 1})));
    }
    let restore = format!("http://{}/restore", site.store.address);
    let _: Value = post_json(&restore, &json!({"version": version}), REQUEST_TIMEOUT).unwrap();
    let reply = book(address, "key-1", &keys[0], 2, REQUEST_TIMEOUT);
    assert_eq!(reply, refused("may_have_run", "store_unavailable"));
    let reply = book(address, "key-1", &keys[1], 2, REQUEST_TIMEOUT);
    assert_eq!(reply, refused("may_have_run", "bad_idempotency_key"));
    assert!(run_counts(&site).values().all(|count| *count == 1));
}

fn signal(site: &Site, name: &str, signal: &str) {
    let id = site.process(name).id().to_string();
    assert!(Command::new("kill").args([signal, &id]).status().unwrap().success());
}

/// Repeats one booking at each daemon in turn, at most six times, until the reply is final: an
/// outcome or `not_run`.
fn book_until_final(addresses: &[SocketAddr], key: &str, start: usize) -> Vec<Reply> {
    let mut replies = Vec::new();
    for attempt in 1..=6 {
        let address = addresses[(start + attempt) % addresses.len()];
        let reply = book(address, "key-1", key, attempt, Duration::from_millis(500));
        let is_final = matches!(&reply, Reply::Outcome(_))
            || matches!(&reply, Reply::Refused(verdict, _) if verdict == "not_run");
        replies.push(reply);
        if is_final {
            break;
        }
    }
    replies
}

#[test]
fn booking_runs_at_most_once_while_daemons_are_killed_and_paused() {
    const BOOKINGS: usize = 240;
    let site = start_site();
    set_faults(site.store.address, json!({"slow_ms": 2}));
    let addresses: Vec<SocketAddr> = DAEMONS.iter().map(|name| site.address(name)).collect();
    let (next, all_replies) = (AtomicUsize::new(0), Mutex::new(BTreeMap::new()));
    let (tx, rx) = channel();
    thread::scope(|scope| {
        for _ in 0..6 {
            let tx = tx.clone();
            let (next, all_replies, addresses) = (&next, &all_replies, &addresses);
            scope.spawn(move || {
                loop {
                    let i = next.fetch_add(1, Ordering::Relaxed);
                    if i >= BOOKINGS {
                        return;
                    }
                    let key = new_key(&format!("flow-{i}"));
                    let replies = book_until_final(addresses, &key, i);
                    all_replies.lock().unwrap().insert(key, replies);
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
    // A daemon that continues after SIGSTOP completes its calls before it closes its listener.
    signal(&site, "daemon-2", "-TERM");
    let started = Instant::now();
    while get_json::<Value>(&format!("http://{}/healthz", addresses[1]), REQUEST_TIMEOUT)
        .is_err_and(|e| !e.is_unsent())
    {
        assert!(started.elapsed() < Duration::from_secs(60), "daemon-2 did not stop within 60 s");
    }
    let counts = run_counts(&site);
    let mut undecided = 0;
    for (key, replies) in all_replies.into_inner().unwrap() {
        let ran = counts.get(&key).copied().unwrap_or(0);
        assert!(ran <= 1, "{key} ran {ran} times: {replies:?}");
        match replies.last() {
            Some(Reply::Outcome(body)) => assert_eq!(*body, json!({"ran": key, "run": 1})),
            Some(Reply::Refused(verdict, _)) if verdict == "not_run" => {
                assert_eq!(ran, 0, "{replies:?}")
            }
            _ => undecided += 1,
        }
    }
    println!("{BOOKINGS} bookings, {undecided} without a final reply");
    assert!(counts.len() > BOOKINGS / 2);
}
