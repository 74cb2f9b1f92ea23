use crate::streams::{complete_stream, send_until_resumed};
use crate::support::{KEY, Site, text};
use fakes::{Behaviour, UnframedEnd};
use rstest::rstest;
use std::io::{self, ErrorKind, Read, Write};
use std::net::TcpStream;

fn set(site: &Site, end: UnframedEnd) {
    site.runners.iter().for_each(|runner| runner.set_behaviour(Behaviour::Unframed(end)));
}

/// The endpoint's connection ends in the ordinary way, so that only its last event shows that the
/// stream was cut.
#[rstest]
#[case("/fixed/stream/")]
#[case("/stream/")]
fn stream_cut_within_an_event_is_not_completed(#[case] target: &str) {
    let site = Site::start();
    set(&site, UnframedEnd::WithinEvent);
    let response = site.send_request(target, "r1");
    assert!(!response.is_complete, "{:?}", site.gateway.log_with(&["finished", "r1"]));
    assert!(text(&response).starts_with(&complete_stream(2)), "{}", text(&response));
    assert!(text(&response).ends_with("\n\n"), "{}", text(&response));
}

/// Without chunks, an empty stream cannot be told from one that was cut.
#[rstest]
#[case("/fixed/stream/")]
#[case("/stream/")]
fn stream_cut_before_its_first_event_is_not_completed(#[case] target: &str) {
    let site = Site::start();
    set(&site, UnframedEnd::AfterHead);
    let response = site.send_request(target, "r1");
    assert!(!response.is_complete, "{:?}", site.gateway.log_with(&["finished", "r1"]));
}

/// HTTP/1.0 has no chunks: the response ends with the connection, and only a reset tells that it was
/// cut.
#[test]
fn stream_cut_for_an_http_1_0_client_ends_with_a_reset() {
    let site = Site::start();
    let complete = read_http_1_0_stream(&site, "r1").unwrap();
    assert!(complete.ends_with(&complete_stream(5)), "{complete}");
    site.runners.iter().for_each(|runner| runner.set_behaviour(Behaviour::Truncate));
    let error = read_http_1_0_stream(&site, "r2").unwrap_err();
    assert_eq!(error.kind(), ErrorKind::ConnectionReset);
}

fn read_http_1_0_stream(site: &Site, id: &str) -> io::Result<String> {
    let mut client = TcpStream::connect(site.gateway.address)?;
    write!(
        client,
        "POST /fixed/stream/ HTTP/1.0\r\nhost: model.example\r\napi-key: {KEY}\r\n\
         x-chervilspur-attempt-id: {id}\r\ncontent-length: 0\r\n\r\n"
    )?;
    let mut text = String::new();
    client.read_to_string(&mut text)?;
    Ok(text)
}

#[test]
fn stream_without_a_length_is_resumed_after_it_was_cut_within_an_event() {
    let site = Site::start();
    site.runners[0].set_behaviour(Behaviour::Unframed(UnframedEnd::WithinEvent));
    send_until_resumed(&site, |response| {
        assert!(response.is_complete);
        assert_eq!(text(response), complete_stream(5));
    });
}

#[rstest]
#[case("/safe/")]
#[case("/once/")]
#[case("/fixed/stream/")]
#[case("/stream/")]
fn response_without_a_length_is_complete_when_its_connection_is_closed(#[case] target: &str) {
    let site = Site::start();
    set(&site, UnframedEnd::Complete);
    let response = site.send_request(target, "r1");
    assert_eq!(response.message.status(), 200);
    assert!(response.is_complete);
    assert!(["to r1", "piece 5\n\n"].iter().any(|end| text(&response).ends_with(end)));
}

#[rstest]
#[case("/safe/")]
#[case("/once/")]
#[case("/fixed/stream/")]
#[case("/stream/")]
fn response_without_a_length_is_not_completed_when_its_connection_is_reset(#[case] target: &str) {
    let site = Site::start();
    set(&site, UnframedEnd::Reset);
    let response = site.send_request(target, "r1");
    assert!(response.message.status() == 502 || !response.is_complete);
}
