use decision::Millis;
use decision::routing::{Peer, Relays};
use std::collections::BTreeSet;

fn peer(name: &str) -> Peer {
    Peer { name: name.to_owned(), address: format!("{name}:7340") }
}

fn names(peers: &[Peer]) -> Vec<&str> {
    peers.iter().map(|peer| peer.name.as_str()).collect()
}

#[test]
fn daemon_that_reaches_no_endpoint_is_not_named() {
    let mut relays = Relays::default();
    relays.report(peer("a"), true, Millis(0));
    relays.report(peer("b"), true, Millis(0));
    relays.report(peer("b"), false, Millis(100));
    assert_eq!(names(&relays.offered("c", 1, Millis(100))), ["a"]);
    assert!(relays.offered("a", 1, Millis(100)).is_empty(), "it is not named to itself");
}

#[test]
fn daemons_named_by_others_are_known_until_they_are_not_named_again() {
    let mut relays = Relays::default();
    relays.learn("east", vec![peer("e"), peer("f")], Millis(0));
    relays.learn("west", vec![peer("w"), peer("own")], Millis(0));
    let known: BTreeSet<String> =
        relays.shuffled("own", 7, Millis(100)).into_iter().map(|peer| peer.name).collect();
    assert_eq!(known, ["e", "f", "w"].map(String::from).into());
    relays.learn("east", vec![peer("e")], Millis(200));
    assert_eq!(relays.shuffled("own", 7, Millis(200)).len(), 2);
    assert!(relays.shuffled("own", 7, Millis(3_200)).is_empty());
    relays.expire(Millis(3_200));
}

#[test]
fn each_daemon_is_named_others() {
    let mut relays = Relays::default();
    for number in 0..300 {
        relays.report(peer(&format!("front-{number}")), true, Millis(0));
    }
    let mut first = BTreeSet::new();
    for seed in 0..300 {
        let offered = relays.offered("front-x", seed, Millis(0));
        assert_eq!(offered.len(), 8);
        first.extend(offered.into_iter().take(1).map(|peer| peer.name));
    }
    assert!(first.len() > 100, "{} of 300 are named first", first.len());
}
