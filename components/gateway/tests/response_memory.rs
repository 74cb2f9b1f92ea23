//! Memory for the bytes of responses that are kept.

use gateway::{Reservation, ResponseMemory};
use rstest::rstest;

const LIMIT: usize = 20_000_000;
/// A sound response, and the steps in which endless ones grow.
const SMALL: usize = 1_000;

/// Lets responses grow in turn until none gets more.
fn grow_without_end(memory: &ResponseMemory, responses: usize) -> Vec<Reservation> {
    let mut reservations: Vec<Reservation> = (0..responses).map(|_| memory.reservation()).collect();
    for bytes in (SMALL..).step_by(SMALL) {
        let grown = reservations.iter_mut().filter_map(|r| r.resize(bytes).then_some(())).count();
        if grown == 0 {
            return reservations;
        }
    }
    unreachable!("a response grew without end")
}

#[rstest]
fn responses_without_end_leave_as_much_to_others_as_each_of_them_gets(
    #[values(1, 10, 100, 1_000)] responses: usize,
) {
    let memory = ResponseMemory::new(LIMIT);
    let _endless = grow_without_end(&memory, responses);
    let free = LIMIT - memory.used();
    let part = LIMIT / (responses + 1);
    assert!(free + SMALL * responses >= part, "{free} bytes free, {part} expected");
    assert!(memory.reservation().resize(SMALL), "a sound response does not fit");
}

#[test]
fn memory_of_a_response_is_free_again_once_it_is_dropped() {
    let memory = ResponseMemory::new(LIMIT);
    let endless = grow_without_end(&memory, 3);
    drop(endless);
    assert_eq!(memory.used(), 0);
    let mut next = memory.reservation();
    assert!(next.resize(LIMIT / 2));
    assert!(next.resize(SMALL), "less always fits");
    assert_eq!(memory.used(), SMALL);
}

#[test]
fn response_that_does_not_fit_keeps_what_it_has() {
    let memory = ResponseMemory::new(LIMIT);
    let mut response = memory.reservation();
    assert!(response.resize(SMALL));
    assert!(!response.resize(LIMIT));
    assert_eq!(memory.used(), SMALL);
}
