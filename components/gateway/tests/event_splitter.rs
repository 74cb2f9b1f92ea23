//! Splitting a stream at event boundaries.

use gateway::{EventSplitter, has_event};
use rstest::rstest;

/// Adds the bytes in pieces of `size` and returns the events, joined.
fn push_in_pieces(splitter: &mut EventSplitter, bytes: &[u8], size: usize) -> Vec<u8> {
    bytes.chunks(size).filter_map(|piece| splitter.push(piece)).flatten().collect()
}

#[rstest]
#[case::line_feeds("id: 1\ndata: a\n\nid: 2\ndata: b\n\n")]
#[case::carriage_returns_and_line_feeds("id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n")]
#[case::carriage_returns("id: 1\rdata: a\r\rid: 2\rdata: b\r\r")]
#[case::further_line_feeds("\nid: 1\ndata: a\n\n\nid: 2\ndata: b\n\n\n")]
#[case::further_line_ends("id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n\r\n\r\n")]
#[case::different_line_ends("id: 1\ndata: a\n\n\rid: 2\rdata: b\r\r\n")]
fn events_are_complete_after_an_empty_line(#[case] stream: &str) {
    for size in 1..=stream.len() {
        let mut splitter = EventSplitter::default();
        let events = push_in_pieces(&mut splitter, stream.as_bytes(), size);
        assert_eq!(String::from_utf8_lossy(&events), stream, "pieces of {size} bytes");
        assert_eq!(splitter.partial_bytes(), 0, "pieces of {size} bytes");
        assert_eq!(splitter.last_id(), Some("2"), "pieces of {size} bytes");
    }
}

#[rstest]
#[case("id: 1\ndata: a\n\n", "id: 2\ndata: b\n")]
#[case("id: 1\r\ndata: a\r\n\r\n", "id: 2\r\ndata: b\r\n")]
#[case("id: 1\rdata: a\r\r", "id: 2\rdata: b\r")]
#[case("id: 1\ndata: a\n\n", "i")]
#[case("", "id: 2\n")]
fn bytes_after_the_last_empty_line_are_not_an_event(#[case] events: &str, #[case] partial: &str) {
    let mut splitter = EventSplitter::default();
    let stream = format!("{events}{partial}");
    let forwarded = push_in_pieces(&mut splitter, stream.as_bytes(), 1);
    assert_eq!(String::from_utf8_lossy(&forwarded), events);
    assert_eq!(splitter.partial_bytes(), partial.len());
    assert_eq!(splitter.last_id(), (!events.is_empty()).then_some("1"));
    assert_eq!(splitter.take_partial(), partial);
    assert_eq!(splitter.partial_bytes(), 0);
}

#[rstest]
#[case("data: a\n\n", true)]
#[case(": waiting\n\nid: 1\r\n\r\n", true)]
#[case(": waiting\n\n", false)]
#[case(": waiting\r\r\r", false)]
#[case("\n", false)]
fn comments_and_empty_lines_are_not_events(#[case] text: &str, #[case] expected: bool) {
    assert_eq!(has_event(text.as_bytes()), expected);
}
