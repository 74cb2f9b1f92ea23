use crate::support::Site;
use fakes::{Behaviour, Client, StoreMode};
use std::net::SocketAddr;
use std::process::Command;
use std::time::{Duration, Instant};

fn get(address: SocketAddr, path: &str) -> (u16, String) {
    let mut client = Client::connect(address).unwrap();
    client.send(format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n").as_bytes()).unwrap();
    let response = client.read_response().unwrap().message;
    (response.status(), String::from_utf8_lossy(&response.body).into_owned())
}

#[test]
fn daemon_is_ready_until_a_store_outage() {
    let site = Site::start();
    assert_eq!(get(site.gateway.ready, "/readiness").0, 200);
    site.store.set_mode(StoreMode::Unavailable);
    let not_ready = || get(site.gateway.ready, "/readiness").0 == 503;
    site.gateway.wait_for(not_ready, "the gateway is not ready").unwrap();
}

#[test]
fn serves_metrics_with_counters_and_histograms() {
    let site = Site::start();
    site.send_request("/safe/", "r1");
    let (status, text) = get(site.gateway.metrics, "/metrics");
    assert_eq!(status, 200);
    for name in ["chervilspur_requests_total", "chervilspur_whole_answer_seconds_bucket"] {
        assert!(text.contains(name), "{name} in {text}");
    }
    assert_eq!(get(site.gateway.metrics, "/other").0, 404);
}

#[test]
fn each_refusal_is_explained_by_one_log_line() {
    let site = Site::start();
    site.runners.iter().for_each(|runner| runner.set_behaviour(Behaviour::Reject));
    let targets = ["/nowhere/", "/safe/", "/once/"];
    for (number, target) in targets.into_iter().enumerate() {
        let id = format!("refused-{number}");
        let status = site.send_request(target, &id).message.status();
        site.gateway.wait_for_log(&["\"event\":\"refused\"", &id]).unwrap();
        let lines = site.gateway.log_with(&["\"event\":\"refused\"", &id]);
        assert_eq!(lines.len(), 1, "{target}");
        for word in [&format!("\"status\":{status}"), "\"reason\":", "\"verdict\":\"not_run\""] {
            assert!(lines[0].contains(word), "{word} in {}", lines[0]);
        }
        assert!(lines[0].contains("\"text\":\""), "{}", lines[0]);
    }
}

#[test]
fn serves_requests_while_its_log_is_not_read() {
    let site = Site::start();
    let log_guard = site.gateway.pause_log();
    let started = Instant::now();
    // Two lines per request fill the 64 KiB pipe several times over.
    for number in 0..600 {
        let response = site.send_request("/safe/", &format!("unread-{number}"));
        assert_eq!(response.message.status(), 200);
    }
    assert!(started.elapsed() < Duration::from_secs(20), "{:?}", started.elapsed());
    drop(log_guard);
    site.gateway.wait_for_log(&["\"event\":\"finished\"", "unread-0\""]).unwrap();
}

#[test]
fn writes_queued_log_lines_before_exit() {
    let mut site = Site::start();
    site.gateway.signal("TERM").unwrap();
    assert!(site.gateway.wait().unwrap());
    site.gateway.wait_for_log(&["\"event\":\"stopped\""]).unwrap();
}

#[test]
fn settings_check_reports_all_problems() {
    fakes::build_programs().unwrap();
    let path = std::env::temp_dir().join(format!("chervilspur-wrong-{}", std::process::id()));
    std::fs::write(&path, "listen.front=here\n").unwrap();
    let program = fakes::binary("chervilspur-gateway").unwrap();
    let output = Command::new(program).arg("--settings").arg(&path).arg("--check").output();
    std::fs::remove_file(&path).unwrap();
    let output = output.unwrap();
    assert!(!output.status.success());
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(text.contains(&*path.to_string_lossy()), "{text}");
    for problem in ["listen.front=here", "node is missing", "platform.address is missing"] {
        assert!(text.contains(problem), "{problem} in {text}");
    }
}
