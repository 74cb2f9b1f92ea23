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
fn ranking_of_daemons_lets_no_two_follow_each_other() {
    let mut members = Members::default();
    members.observe(records(1), Millis(0));
    let mut ranked_before: Vec<usize> = ["a", "b", "c"]
        .into_iter()
        .map(|name| members.ranked_before(name, "squamish", Millis(1)).len())
        .collect();
    ranked_before.sort();
    assert_eq!(ranked_before, [0, 1, 2]);
    assert!(members.ranked_before("d", "nelson", Millis(1)).is_empty());
}

#[test]
fn first_ranked_daemon_follows_nobody_when_its_own_record_is_stale() {
    let mut members = Members::default();
    members.observe(records(1), Millis(0));
    let first = members.ranked("squamish", Millis(1))[0].0.to_owned();
    let mut later = records(2);
    later.insert(first.clone(), records(1)[&first].clone());
    members.observe(later, Millis(20_000));
    assert!(members.ranked_before(&first, "squamish", Millis(26_000)).is_empty());
}

#[test]
fn member_count_includes_only_daemons_whose_records_change() {
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
fn change_log_returns_changes_since_a_sequence_number_while_they_are_kept() {
    let mut change_log = ChangeLog::new(3);
    (1..=5).for_each(|change| change_log.push(change));
    let since = |sequence| change_log.since(sequence).map(|c| c.copied().collect::<Vec<_>>());
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
fn fleet_loads_sum_all_daemons_except_the_requester() {
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
fn load_exchange_discards_reports_that_are_not_renewed() {
    let mut exchange = LoadExchange::default();
    exchange.record_follower("b", vec![row("e", 2)], Millis(0));
    exchange.expire(Millis(10_000));
    assert!(exchange.fleet_loads(&[], "").is_empty());
}

#[test]
fn load_sums_stay_correct_when_reports_are_replaced_or_expire() {
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
fn fleet_loads_for_many_followers_are_the_most_loaded_endpoints_and_the_sum_of_all_others() {
    let mut exchange = LoadExchange::default();
    for number in 0..100_u32 {
        let rows = (0..30).map(|n| row(&format!("e{}", number * 30 + n), 1 + n / 29)).collect();
        exchange.record_follower(&format!("d{number}"), rows, Millis(0));
    }
    let rows = exchange.fleet_loads(&[], "d0");
    assert_eq!(rows.len(), 161);
    let most_loaded = rows.iter().filter(|row| row.running == 2).count();
    assert_eq!(most_loaded, 99);
    assert_eq!(rows.iter().map(|row| row.running).sum::<u32>(), 99 * 31);
    assert_eq!(rows.last().map(|row| &*row.endpoint), Some(""));
}
