//! Requests that arrive while a gateway that stops sends its last report to the holder of the duties.

use crate::support::{KEY, Site};
use fakes::{Client, ClientResponse, GatewayConfig, Room};
use serde_json::json;
use std::io::{self, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::{sleep, spawn};
use std::time::Duration;

/// Longer than a gateway that stops waits for the response to its last report.
const WORK: Duration = Duration::from_millis(400);
/// The time from the stop signal to the kill (`grace_s`).
const GRACE_TIME: Duration = Duration::from_secs(8);
/// The field of a report that says that it is the last one, as it is encoded.
const IS_LAST: &[u8] = b"is_last\xc3";

/// A holder of the duties that takes reports and never responds.
struct SilentHolder {
    address: SocketAddr,
    last_reports: Receiver<()>,
}

impl SilentHolder {
    fn start() -> SilentHolder {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (tx, last_reports) = channel();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let tx = tx.clone();
                // An I/O error ends only the thread of this connection.
                spawn(move || read_reports(stream, &tx).unwrap_or_default());
            }
        });
        SilentHolder { address, last_reports }
    }

    fn wait_for_last_report(&self) {
        self.last_reports.recv_timeout(GRACE_TIME).expect("the gateway sends no last report");
    }
}

fn read_reports(mut stream: TcpStream, last_reports: &Sender<()>) -> io::Result<()> {
    let (mut received, mut buf) = (Vec::new(), [0; 4_096]);
    loop {
        let len = stream.read(&mut buf)?;
        if len == 0 {
            return Ok(());
        }
        received.extend_from_slice(&buf[..len]);
        if received.windows(IS_LAST.len()).any(|bytes| bytes == IS_LAST) {
            received.clear();
            // The test has ended if nobody receives it.
            let _ = last_reports.send(());
        }
    }
}

/// Starts a site with the duty of usage reports, whose holder is a stand-in with a lease of a minute.
fn site(holder: &SilentHolder) -> Site {
    let cfg = GatewayConfig {
        further_settings: String::from(
            "cloud.address=127.0.0.1:9\ncloud.duties=usage_reporting\nbounds.lease_ms=60000\n\
             bounds.report_window_s=5\nbounds.usage_late_s=10\n",
        ),
        ..GatewayConfig::default()
    };
    let record = json!({
        "holder": { "name": "front-9", "address": holder.address.to_string() },
        "incarnation": 9,
        "token": 9,
        "renewal": 1,
    });
    let site = Site::with_store(&cfg, 5, Duration::from_millis(5), |store| {
        store.put("chervilspur-duties", "main", record);
    });
    site.gateway.wait_for_log(&["duty_holder_known", "front-9"]).unwrap();
    for endpoint in &site.runners {
        let room =
            Room { slots: 100, work: WORK, max_rejections: None, restart_after: Duration::ZERO };
        endpoint.set_room(Some(room));
    }
    site
}

/// A request in two pieces, the first of which ends within the head.
fn request_pieces(further_headers: &str) -> (String, String) {
    let first = String::from("POST /once/ HTTP/1.1\r\nHost: model.example\r\n");
    let second = format!(
        "X-Chervilspur-Attempt-Id: r1\r\nX-Chervilspur-Deadline-Remaining: 1000\r\n\
         Api-Key: {KEY}\r\n{further_headers}Content-Length: 4\r\n\r\nbody"
    );
    (first, second)
}

/// Checks that a request ran if it was answered with success, and otherwise did not.
fn check(site: &Site, response: io::Result<ClientResponse>) {
    sleep(WORK);
    let runs = site.runs("r1");
    match response.map(|response| response.message.status()) {
        Ok(200) => assert_eq!(runs, 1),
        Ok(status) => assert_eq!((status, runs), (503, 0), "it was refused as not run"),
        Err(e) => assert_eq!(runs, 0, "it ran and got no answer: {e}"),
    }
}

/// Guards against a gateway that takes requests of clients after its last look at them, and exits before
/// these have ended.
#[test]
fn request_on_a_new_connection_during_the_last_report_does_not_run_without_an_answer() {
    let holder = SilentHolder::start();
    let mut site = site(&holder);
    site.gateway.signal("TERM").unwrap();
    holder.wait_for_last_report();
    let response = Client::connect(site.gateway.address).and_then(|mut client| {
        let (first, second) = request_pieces("");
        client.send((first + &second).as_bytes())?;
        client.read_response()
    });
    assert!(site.gateway.wait().unwrap());
    check(&site, response);
}

/// Guards against the same on a connection of another gateway, which is not counted before its head is read.
#[test]
fn request_that_another_gateway_passes_on_during_the_last_report_is_refused_as_not_run() {
    let holder = SilentHolder::start();
    let mut site = site(&holder);
    let mut peer = Client::connect(site.gateway.peers).unwrap();
    let (first, second) = request_pieces("chervilspur-relayed: 1\r\n");
    peer.send(first.as_bytes()).unwrap();
    site.gateway.signal("TERM").unwrap();
    holder.wait_for_last_report();
    let sent = peer.send(second.as_bytes());
    let response = sent.and_then(|()| peer.read_response());
    assert!(site.gateway.wait().unwrap());
    let status = response.as_ref().map(|response| response.message.status()).ok();
    check(&site, response);
    assert_eq!(status, Some(503));
}

/// Guards against a last report that is sent before the last request is counted.
#[test]
fn last_report_is_sent_after_the_last_response() {
    let holder = SilentHolder::start();
    let mut site = site(&holder);
    let mut client = site.client();
    client.send_request("/once/", "r1", KEY, "body").unwrap();
    site.gateway.signal("TERM").unwrap();
    assert_eq!(client.read_response().unwrap().message.status(), 200);
    holder.wait_for_last_report();
    assert!(site.gateway.wait().unwrap());
}
