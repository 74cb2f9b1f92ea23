use decision::Millis;
use decision::routing::{Lane, QueueKey, WaitLimits, WaitQueues};

#[test]
fn wait_queue_serves_higher_priorities_first_and_then_older_requests() {
    let mut queues = WaitQueues::default();
    let key = QueueKey { service: "pool".to_owned(), lane: Lane::Bulk, ..QueueKey::default() };
    let low_priority = queues.enqueue(&key, 5);
    let high_priority = queues.enqueue(&key, 3);
    let second_high_priority = queues.enqueue(&key, 3);
    assert!(queues.is_first(&key, high_priority));
    queues.remove(&key, high_priority);
    assert!(queues.is_first(&key, second_high_priority));
    queues.remove(&key, second_high_priority);
    assert!(queues.is_first(&key, low_priority));
    queues.remove(&key, low_priority);
    assert!(queues.is_empty());
}

#[test]
fn queues_of_different_lanes_are_independent() {
    let mut queues = WaitQueues::default();
    let bulk = QueueKey { service: "pool".to_owned(), lane: Lane::Bulk, ..QueueKey::default() };
    let interactive =
        QueueKey { service: "pool".to_owned(), lane: Lane::Interactive, ..QueueKey::default() };
    let plan = queues.enqueue(&bulk, 0);
    let chat = queues.enqueue(&interactive, 9);
    assert!(queues.is_first(&bulk, plan) && queues.is_first(&interactive, chat));
    assert_eq!(queues.len(&bulk), 1);
}

#[test]
fn waiting_request_is_refused_while_its_client_can_still_retry() {
    let limits = WaitLimits::first_attempt(Millis(1_000), Millis(3_000));
    assert_eq!(limits, WaitLimits { due: Millis(3_000), refused_at: Millis(1_500) });
    assert_eq!(limits.budget(Millis(1_200)), Millis(1_800));
    let without_time = WaitLimits::first_attempt(Millis(1_000), Millis(500));
    assert_eq!(without_time.refused_at, Millis(1_000));
}

#[test]
fn further_attempt_may_start_until_the_deadline() {
    let limits = WaitLimits::further_attempt(Millis(5_000), Millis(13_000));
    assert_eq!(limits, WaitLimits { due: Millis(13_000), refused_at: Millis(7_000) });
}
