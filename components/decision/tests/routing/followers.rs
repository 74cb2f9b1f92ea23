use decision::Millis;
use decision::routing::{ChangeLog, DaemonRecord, LoadExchange, Members, sum_loads};
use messages::feed::EndpointLoad;
use std::collections::BTreeMap;

fn records(beat: u64) -> BTreeMap<String, DaemonRecord> {
    ["a", "b", "c", "d"]
        .into_iter()
        .map(|name| {
            let data_centre = if name == "d" { "nelson" } else { "squamish" };
            let address = format!("10.0.0.1:{}", name.len());
            (name.to_owned(), DaemonRecord { data_centre: data_centre.to_owned(), address, beat })
        })
        .collect()
}

#[test]
fn ranks_the_daemons_of_a_data_centre_without_a_circle() {
    let mut members = Members::default();
    members.observe(records(1), Millis(0));
    let mut ahead: Vec<usize> = ["a", "b", "c"]
        .into_iter()
        .map(|name| members.ranked_before(name, "squamish", Millis(1)).len())
        .collect();
    ahead.sort();
    assert_eq!(ahead, [0, 1, 2]);
    assert!(members.ranked_before("d", "nelson", Millis(1)).is_empty());
}

#[test]
fn follows_nobody_that_ranks_after_it_though_its_own_record_is_old() {
    let mut members = Members::default();
    members.observe(records(1), Millis(0));
    let first = members.ranked("squamish", Millis(1))[0].0.to_owned();
    let mut later = records(2);
    later.insert(first.clone(), records(1)[&first].clone());
    members.observe(later, Millis(20_000));
    assert!(members.ranked_before(&first, "squamish", Millis(26_000)).is_empty());
}

#[test]
fn counts_only_daemons_whose_records_change() {
    let mut members = Members::default();
    assert_eq!(members.count(Millis(0)), None);
    members.observe(records(1), Millis(0));
    let mut later = records(2);
    later.insert("a".to_owned(), records(1)["a"].clone());
    members.observe(later, Millis(20_000));
    assert_eq!(members.count(Millis(24_000)), Some(4));
    assert_eq!(members.count(Millis(26_000)), Some(3));
}

#[test]
fn tells_changes_since_a_position_while_they_are_kept() {
    let mut journal = ChangeLog::new(3);
    (1..=5).for_each(|change| journal.push(change));
    let since = |sequence| journal.since(sequence).map(|c| c.copied().collect::<Vec<_>>());
    assert_eq!(since(5), Some(vec![]));
    assert_eq!(since(3), Some(vec![4, 5]));
    assert_eq!(since(2), Some(vec![3, 4, 5]));
    assert_eq!(since(1), None);
    assert_eq!(since(6), None);
}

fn row(endpoint: &str, running: u32) -> EndpointLoad {
    EndpointLoad {
        endpoint: endpoint.to_owned(),
        priority: 1,
        running,
        unread_tokens: 100,
        held_tokens: 200,
        interactive: 0,
    }
}

#[test]
fn adds_up_the_loads_of_all_daemons_but_the_asker() {
    let mut exchange = LoadExchange::default();
    exchange.record_follower("b", vec![row("e", 2)], Millis(0));
    exchange.record_follower("c", vec![row("e", 3)], Millis(0));
    exchange.record_data_centre("nelson", vec![row("e", 5)], Millis(0));
    let own = [row("e", 1)];
    assert_eq!(exchange.fleet_loads(&own, "b")[0].running, 9);
    assert_eq!(exchange.data_centre_loads(&own)[0].running, 6);
    assert_eq!(sum_loads(own.iter())[0].unread_tokens, 100);
}

#[test]
fn forgets_loads_that_are_no_longer_told() {
    let mut exchange = LoadExchange::default();
    exchange.record_follower("b", vec![row("e", 2)], Millis(0));
    exchange.expire(Millis(10_000));
    assert!(exchange.fleet_loads(&[], "").is_empty());
}

#[test]
fn keeps_its_sums_as_daemons_report_again_and_go() {
    let mut exchange = LoadExchange::default();
    for round in 0..3 {
        exchange.record_follower("b", vec![row("e", 2), row("f", 1)], Millis(round));
        exchange.record_follower("c", vec![row("e", 3)], Millis(round));
        exchange.record_data_centre("nelson", vec![row("e", 5)], Millis(round));
    }
    let running = |rows: Vec<EndpointLoad>| rows.iter().map(|r| r.running).collect::<Vec<_>>();
    assert_eq!(running(exchange.fleet_loads(&[], "")), [10, 1]);
    assert_eq!(running(exchange.fleet_loads(&[row("f", 4)], "b")), [8, 4]);
    exchange.record_follower("b", Vec::new(), Millis(4));
    exchange.record_follower("c", vec![row("e", 1)], Millis(2_600));
    exchange.expire(Millis(3_000));
    assert_eq!(running(exchange.fleet_loads(&[], "")), [1]);
}

#[test]
fn tells_many_followers_the_most_loaded_endpoints_and_the_sum_of_the_rest() {
    let mut exchange = LoadExchange::default();
    for number in 0..100_u32 {
        let rows = (0..30).map(|n| row(&format!("e{}", number * 30 + n), 1 + n / 29)).collect();
        exchange.record_follower(&format!("d{number}"), rows, Millis(0));
    }
    let told = exchange.fleet_loads(&[], "d0");
    assert_eq!(told.len(), 161);
    let most_loaded = told.iter().filter(|row| row.running == 2).count();
    assert_eq!(most_loaded, 99);
    assert_eq!(told.iter().map(|row| row.running).sum::<u32>(), 99 * 31);
    assert_eq!(told.last().map(|row| &*row.endpoint), Some(""));
}
