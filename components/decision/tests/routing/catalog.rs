use decision::routing::{Account, Caller, Catalog, Configuration, Destination, Route};
use rstest::rstest;

fn route(name: &str, path_prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: "Model.example".to_owned(),
        path_prefix: path_prefix.to_owned(),
        ..Route::default()
    }
}

fn catalog() -> Catalog {
    let account = |name: &str, key: &str| Account {
        name: name.to_owned(),
        keys: vec![key.to_owned()],
        ..Account::default()
    };
    Catalog::new(Configuration {
        version: 1,
        routes: vec![route("root", "/"), route("plan", "/plan/"), route("daily", "/plan/daily/")],
        accounts: Some(vec![account("north", "key-n"), account("south", "key-s")]),
        ..Configuration::default()
    })
}

#[rstest]
#[case("/", Some("root"))]
#[case("/plan", Some("root"))]
#[case("/plan/", Some("plan"))]
#[case("/plan/weekly/1", Some("plan"))]
#[case("/plan/daily/1", Some("daily"))]
#[case("/plans/1", Some("root"))]
fn can_choose_the_route_with_the_longest_prefix(#[case] path: &str, #[case] name: Option<&str>) {
    let catalog = catalog();
    let found = catalog.route("model.EXAMPLE", path).map(|route| route.name.as_str());
    assert_eq!(found, name);
}

#[test]
fn has_no_route_for_another_host() {
    assert!(catalog().route("other.example", "/plan/").is_none());
}

#[rstest]
#[case(Some("key-s"), Some("south"))]
#[case(Some("key-x"), None)]
#[case(None, None)]
fn can_find_the_client_account_of_a_key(#[case] key: Option<&str>, #[case] name: Option<&str>) {
    let catalog = catalog();
    let route = catalog.route("model.example", "/plan/").unwrap();
    match catalog.caller(route, key) {
        Caller::Known(account) => assert_eq!(Some(account.name.as_str()), name),
        Caller::Unknown => assert_eq!(name, None),
        Caller::Anonymous => panic!("the route asks for a key"),
    }
}

#[test]
fn asks_for_no_key_on_an_anonymous_route() {
    let open = Route { anonymous: true, ..route("open", "/open/") };
    assert_eq!(catalog().caller(&open, Some("key-x")), Caller::Anonymous);
}

#[test]
fn can_split_requests_by_weight() {
    let share = |service: &str, weight| Destination { service: service.to_owned(), weight };
    let split = Route { destinations: vec![share("a", 90), share("b", 10)], ..Route::default() };
    let to_b = (0..1_000).filter(|hash| split.destination(*hash) == Some("b")).count();
    assert_eq!(to_b, 100);
    assert_eq!(Route::default().destination(1), None);
}
