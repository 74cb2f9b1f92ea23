//! Streams that broke off, and endpoints that respond wrongly to the request to go on with them.

use crate::streams::{complete_stream, send_until_resumed};
use crate::support::{KEY, Site, text};
use fakes::{BadContinuation, Behaviour, ClientResponse};
use rstest::rstest;

/// A response holds the events after `last` in their order, each once, and nothing else. It only looks
/// complete if it holds all of them.
fn assert_in_order(response: &ClientResponse, last: usize) {
    let body = text(response);
    let complete = complete_stream(5);
    let events: Vec<&str> = complete.split_inclusive("\n\n").skip(last).collect();
    let expected = events.concat();
    assert!(expected.starts_with(&body), "{body:?}");
    assert!((0..=events.len()).any(|n| events[..n].concat() == body), "{body:?}");
    assert!(!response.is_complete || body == expected, "looks complete: {body:?}");
}

#[rstest]
fn wrong_response_to_a_resumed_stream_is_not_spliced_into_it(
    #[values(
        BadContinuation::Status(500),
        BadContinuation::Status(503),
        BadContinuation::Status(404),
        BadContinuation::ErrorEvent,
        BadContinuation::FromStart,
        BadContinuation::Gap,
        BadContinuation::OtherType,
        BadContinuation::Untyped
    )]
    bad: BadContinuation,
) {
    let site = Site::start();
    site.runners[0].set_behaviour(Behaviour::Truncate);
    site.runners[1].set_behaviour(Behaviour::GoOnWrongly(bad));
    send_until_resumed(&site, |response| assert_in_order(response, 0));
}

/// The client has the first two events from an earlier response.
#[rstest]
fn wrong_response_to_a_stream_that_a_client_continues_is_not_spliced_into_it(
    #[values(BadContinuation::ErrorEvent, BadContinuation::FromStart, BadContinuation::Untyped)]
    bad: BadContinuation,
) {
    let site = Site::start();
    site.runners.iter().for_each(|runner| runner.set_behaviour(Behaviour::GoOnWrongly(bad)));
    let mut client = site.client();
    client.send_request_with("/stream/", "r1", KEY, "", "Last-Event-Id: 2\r\n").unwrap();
    assert_in_order(&client.read_response().unwrap(), 2);
}
