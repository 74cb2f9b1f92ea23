//! Whether the events of another endpoint go on after those that were forwarded.

use gateway::EventOrder;
use rstest::rstest;

#[rstest]
#[case::next("id: 4\ndata: d\n\n", true)]
#[case::next_after_a_comment(": wait\n\nretry: 5\n\nid: 4\r\ndata: d\r\n\r\n", true)]
#[case::repeated("id: 3\ndata: c\n\n", false)]
#[case::from_the_start("id: 1\ndata: a\n\nid: 4\ndata: d\n\n", false)]
#[case::gap("id: 5\ndata: e\n\n", false)]
#[case::without_an_id("event: error\ndata: overloaded\n\n", false)]
#[case::other_id("id: x\ndata: d\n\n", false)]
fn events_in_steps_of_one_are_continued_by(#[case] events: &str, #[case] expected: bool) {
    let mut order = EventOrder::default();
    order.record(b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    order.record(b"id: 3\ndata: c\n\n");
    assert_eq!(order.is_continued_by(events.as_bytes()), Some(expected));
}

#[rstest]
#[case::uneven_steps("id: 1\n\nid: 5\n\nid: 7\n\n", "id: 20\ndata: d\n\n", true)]
#[case::uneven_steps_back("id: 1\n\nid: 5\n\nid: 7\n\n", "id: 6\ndata: d\n\n", false)]
#[case::one_event("id: 1\n\n", "id: 9\ndata: d\n\n", true)]
#[case::no_ids("data: a\n\n", "data: b\n\n", true)]
#[case::ids_that_are_no_numbers("id: a\n\nid: b\n\n", "id: c\ndata: d\n\n", true)]
fn unknown_steps_show_less(#[case] before: &str, #[case] after: &str, #[case] expected: bool) {
    let mut order = EventOrder::default();
    order.record(before.as_bytes());
    assert_eq!(order.is_continued_by(after.as_bytes()), Some(expected));
}

#[test]
fn comments_show_nothing() {
    assert_eq!(EventOrder::after(Some("3")).is_continued_by(b": wait\n\n"), None);
}
