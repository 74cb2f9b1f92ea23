//! The listener that daemons and stand-ins share.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use tiny_http::Response;
use utils::{client, listen};

#[test]
fn can_listen_for_longer_than_the_read_timeout_of_its_connections() {
    let timeout = Duration::from_millis(100);
    let server = listen(SocketAddr::from(([127, 0, 0, 1], 0)), Some(timeout)).unwrap();
    let address = server.server_addr();
    thread::sleep(5 * timeout);
    let caller = thread::spawn(move || {
        client(attohttpc::get(format!("http://{address}/")), Duration::from_secs(5)).send()
    });
    let req = server.recv_timeout(Duration::from_secs(5));
    req.unwrap().respond(Response::empty(204)).unwrap();
    assert_eq!(caller.join().unwrap().unwrap().status(), 204);
}
