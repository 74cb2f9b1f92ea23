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
fn route_with_the_longest_matching_prefix_is_chosen(
    #[case] path: &str,
    #[case] name: Option<&str>,
) {
    let catalog = catalog();
    let found = catalog.route("model.EXAMPLE", path).map(|route| route.name.as_str());
    assert_eq!(found, name);
}

#[test]
fn unknown_host_has_no_route() {
    assert!(catalog().route("other.example", "/plan/").is_none());
}

#[rstest]
#[case(Some("key-s"), Some("south"))]
#[case(Some("key-x"), None)]
#[case(None, None)]
fn client_account_is_found_by_its_key(#[case] key: Option<&str>, #[case] name: Option<&str>) {
    let catalog = catalog();
    let route = catalog.route("model.example", "/plan/").unwrap();
    match catalog.caller(route, key) {
        Caller::Known(account) => assert_eq!(Some(account.name.as_str()), name),
        Caller::Unknown => assert_eq!(name, None),
        Caller::Anonymous => panic!("the route requires a key, but the caller is anonymous"),
    }
}

#[test]
fn anonymous_route_requires_no_key() {
    let open = Route { anonymous: true, ..route("open", "/open/") };
    assert_eq!(catalog().caller(&open, Some("key-x")), Caller::Anonymous);
}

#[test]
fn requests_are_divided_among_destinations_by_weight() {
    let destination = |service: &str, weight| Destination { service: service.to_owned(), weight };
    let split = Route {
        destinations: vec![destination("a", 90), destination("b", 10)],
        ..Route::default()
    };
    let to_b = (0..1_000).filter(|hash| split.destination(*hash) == Some("b")).count();
    assert_eq!(to_b, 100);
    assert_eq!(Route::default().destination(1), None);
}
