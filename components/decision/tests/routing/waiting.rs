use decision::Millis;
use decision::routing::{Lane, WaitQueues, refusal_time};

#[test]
fn serves_the_more_urgent_request_first_and_then_the_older_one() {
    let mut room = WaitQueues::default();
    let key = ("pool".to_owned(), Lane::Bulk);
    let digest = room.enqueue(&key, 5);
    let plan = room.enqueue(&key, 3);
    let second_plan = room.enqueue(&key, 3);
    assert!(room.is_first(&key, plan));
    room.remove(&key, plan);
    assert!(room.is_first(&key, second_plan));
    room.remove(&key, second_plan);
    assert!(room.is_first(&key, digest));
    room.remove(&key, digest);
    assert!(room.is_empty());
}

#[test]
fn keeps_queues_of_other_engines_apart() {
    let mut room = WaitQueues::default();
    let bulk = ("pool".to_owned(), Lane::Bulk);
    let interactive = ("pool".to_owned(), Lane::Interactive);
    let plan = room.enqueue(&bulk, 0);
    let chat = room.enqueue(&interactive, 9);
    assert!(room.is_first(&bulk, plan) && room.is_first(&interactive, chat));
    assert_eq!(room.len(&bulk), 1);
}

#[test]
fn refuses_while_the_client_can_still_come_back() {
    assert_eq!(refusal_time(Millis(1_000), Millis(3_000)), Millis(1_500));
    assert_eq!(refusal_time(Millis(1_000), Millis(500)), Millis(1_000));
}
