use crate::streams::{complete_stream, send_until_resumed};
use crate::support::{Site, text};
use fakes::{Behaviour, UnframedEnd};
use rstest::rstest;

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
