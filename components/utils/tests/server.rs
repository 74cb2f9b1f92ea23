//! Tests of the HTTP server with a read timeout.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;
use utils::{get_json, listen, respond_json};

const READ_TIMEOUT: Duration = Duration::from_millis(50);
const CLIENT_TIMEOUT: Duration = Duration::from_secs(10);

fn start() -> SocketAddr {
    let server = listen(SocketAddr::from(([127, 0, 0, 1], 0)), Some(READ_TIMEOUT)).unwrap();
    let address = server.server_addr().to_ip().unwrap();
    thread::spawn(move || {
        for req in server.incoming_requests() {
            let _ = respond_json(req, 200, &"served");
        }
    });
    address
}

#[test]
fn server_accepts_connections_after_an_idle_time_longer_than_the_read_timeout() {
    let address = start();
    for _ in 0..3 {
        // The listener times out while there is no connection.
        thread::sleep(READ_TIMEOUT * 4);
        let served: String = get_json(&format!("http://{address}/"), CLIENT_TIMEOUT).unwrap();
        assert_eq!(served, "served");
    }
}

#[test]
fn server_closes_a_connection_whose_header_is_not_complete_in_time() {
    let mut connection = TcpStream::connect(start()).unwrap();
    connection.set_read_timeout(Some(CLIENT_TIMEOUT)).unwrap();
    connection.write_all(b"GET / HTTP/1.1\r\nHost").unwrap();
    let mut response = Vec::new();
    // The connection is closed, with or without a response.
    connection.read_to_end(&mut response).unwrap();
    assert!(!response.starts_with(b"HTTP/1.1 200"));
}
