//! Responses that end before they are complete.

use rstest::rstest;
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Write};
use std::net::TcpListener;
use std::thread;
use std::time::Duration;
use utils::get_json;

const TIMEOUT: Duration = Duration::from_secs(5);
const LENGTH: &str = "HTTP/1.1 200 OK\r\nServer: s\r\nContent-Length: 14\r\n\r\n{\"whole\":true}";
const CHUNKS: &str = "HTTP/1.1 200 OK\r\nServer: s\r\nTransfer-Encoding: chunked\r\n\r\n\
                      4\r\n{\"wh\r\na\r\nole\":true}\r\n0\r\n\r\n";
const CONNECTION: &str =
    "HTTP/1.1 200 OK\r\nServer: s\r\nConnection: close\r\n\r\n{\"whole\":true}";

/// Serves one request, sends a part of a response, and closes the connection.
fn get_part(response: &str, bytes: usize) -> Result<Value, utils::HttpError> {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let url = format!("http://{}/", listener.local_addr().unwrap());
    let part = response.as_bytes()[..bytes].to_vec();
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut lines = BufReader::new(stream.try_clone().unwrap()).lines();
        while lines.next().is_some_and(|line| !line.unwrap().is_empty()) {}
        stream.write_all(&part).unwrap();
    });
    let result = get_json(&url, TIMEOUT);
    server.join().unwrap();
    result
}

#[rstest]
fn response_that_ends_before_it_is_complete_is_an_error(
    #[values(LENGTH, CHUNKS, CONNECTION)] response: &str,
) {
    for bytes in 0..response.len() {
        let result = get_part(response, bytes);
        assert!(result.is_err(), "{bytes} of {} bytes: {result:?}", response.len());
    }
    assert_eq!(get_part(response, response.len()).unwrap(), json!({ "whole": true }));
}
