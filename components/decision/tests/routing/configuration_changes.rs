use decision::routing::{
    Account, AccountsChange, Configuration, ConfigurationChange, Route, SequenceChange,
};
use proptest::prelude::*;

proptest! {
    #[test]
    fn sequence_results_from_its_difference_to_any_other(
        before in prop::collection::vec((0_u8..20, 0_u8..3), 0..40),
        after in prop::collection::vec((0_u8..20, 0_u8..3), 0..40),
    ) {
        let change = SequenceChange::between(&before, &after, |(key, _)| *key);
        prop_assert_eq!(change.apply(&before), Some(after));
    }

    #[test]
    fn difference_that_does_not_fit_its_base_is_not_applied(
        before in prop::collection::vec(0_u8..20, 1..40),
    ) {
        let change = SequenceChange::between(&before, &before, |key| *key);
        prop_assert_eq!(change.apply(&before[1..]), None);
    }
}

fn route(number: usize) -> Route {
    Route {
        name: format!("r-{number}"),
        host: String::from("model.example"),
        path_prefix: format!("/{number}/"),
        ..Route::default()
    }
}

fn configuration(version: u64, routes: impl Iterator<Item = usize>) -> Configuration {
    let account = Account {
        name: String::from("north"),
        keys: vec![String::from("key-of-north")],
        ..Account::default()
    };
    Configuration {
        version,
        routes: routes.map(route).collect(),
        accounts: Some(vec![account]),
        ..Configuration::default()
    }
}

fn encoded_bytes(change: &ConfigurationChange) -> usize {
    rmp_serde::to_vec_named(change).unwrap().len()
}

#[test]
fn difference_from_no_configuration_holds_all() {
    let after = configuration(3, 0..5);
    let change = ConfigurationChange::between(None, &after, 3);
    assert_eq!(change.accounts_version(), Some(3));
    assert_eq!(change.apply(None), Some(after));
}

#[test]
fn difference_of_one_route_does_not_grow_with_the_others() {
    let size = |routes: usize| {
        let before = configuration(1, 0..routes);
        let mut after = configuration(2, 0..routes);
        after.routes[routes / 2].attempts = 7;
        encoded_bytes(&ConfigurationChange::between(Some(&before), &after, 2))
    };
    assert!(size(3_000) < size(30) + 20, "{} and {} bytes", size(3_000), size(30));
}

#[test]
fn routes_that_are_removed_from_the_middle_cost_little() {
    let before = configuration(1, 0..3_000);
    let after = configuration(2, (0..1_000).chain(2_400..3_000));
    let change = ConfigurationChange::between(Some(&before), &after, 2);
    assert!(encoded_bytes(&change) < 400, "{} bytes", encoded_bytes(&change));
    assert_eq!(change.apply(Some(&before)), Some(after));
}

#[test]
fn accounts_are_dropped_when_requests_need_no_key_any_longer() {
    let before = configuration(1, 0..2);
    let after = Configuration { version: 2, accounts: None, ..before.clone() };
    let change = AccountsChange::between(Some(&before), &after, 2);
    assert_eq!(change.apply(Some(&before)), Some(None));
}

#[test]
fn difference_of_one_account_does_not_grow_with_the_others() {
    let account = |number: usize| Account {
        name: format!("account-{number}"),
        keys: vec![format!("key-{number}")],
        ..Account::default()
    };
    let before = Configuration {
        accounts: Some((0..7_800).map(account).collect()),
        ..Configuration::default()
    };
    let mut after = before.clone();
    after.accounts.as_mut().unwrap()[4_000].keys.clear();
    let change = AccountsChange::between(Some(&before), &after, 2);
    assert!(rmp_serde::to_vec_named(&change).unwrap().len() < 200);
    assert_eq!(change.apply(Some(&before)), Some(after.accounts));
}
