use crate::faults::{Fault, ScheduledFault};
use fakes::{BadContinuation, Behaviour, RepeatedRefusal};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};

/// The duration of a changed behaviour of an endpoint, and the time to the next change.
const BEHAVIOUR_MS: std::ops::Range<u64> = 200..1_500;
const INTERVAL_MS: std::ops::Range<u64> = 150..700;
/// Routes that are added at a time.
const ADDED_ROUTES: usize = 1_400;
/// The kinds of objects in which other writers leave entries.
const KINDS: [&str; 5] =
    ["servers", "config", "chervilspur-readers", "chervilspur-versions", "chervilspur-streams"];
/// Wrong continuations that the ids of events show, however many events came before.
const CONTINUATIONS: [BadContinuation; 6] = [
    BadContinuation::Status(500),
    BadContinuation::Status(503),
    BadContinuation::ErrorEvent,
    BadContinuation::FromStart,
    BadContinuation::OtherType,
    BadContinuation::Untyped,
];
/// Not within a response: bytes within the stated length are its body, whoever meant them.
const REFUSALS: [RepeatedRefusal; 4] = [
    RepeatedRefusal::BeforeResponse,
    RepeatedRefusal::BeforeResponseWithoutId,
    RepeatedRefusal::InPlaceOfResponse,
    RepeatedRefusal::AtRest,
];

/// Generates odd entries of other writers, endpoints that respond wrongly on kept connections or go on
/// wrongly with streams, and changes by thousands of routes, sorted by time.
pub fn generate_odd(rng: &mut Pcg64Mcg, duration_ms: u64, endpoints: usize) -> Vec<ScheduledFault> {
    let mut faults = Vec::new();
    let mut at_ms = rng.random_range(INTERVAL_MS);
    while at_ms < duration_ms {
        let endpoint = rng.random_range(0..endpoints);
        let number = rng.random_range(0..usize::MAX);
        let behaviour = match rng.random_range(0..4) {
            0 => {
                faults.push((at_ms, Fault::OddEntry(number)));
                None
            }
            1 => {
                faults.push((at_ms, Fault::AddRoutes));
                None
            }
            2 => Some(Behaviour::RepeatRefusal(REFUSALS[number % REFUSALS.len()])),
            _ => Some(Behaviour::GoOnWrongly(CONTINUATIONS[number % CONTINUATIONS.len()])),
        };
        if let Some(behaviour) = behaviour {
            let end_ms = at_ms + rng.random_range(BEHAVIOUR_MS);
            faults.push((at_ms, Fault::Endpoint(endpoint, behaviour)));
            faults.push((end_ms, Fault::Endpoint(endpoint, Behaviour::Succeed)));
        }
        at_ms += rng.random_range(INTERVAL_MS);
    }
    faults.sort_by_key(|(at_ms, _)| *at_ms);
    faults
}

/// The kind, the name and the text of an odd object.
pub fn odd_entry(number: usize) -> (&'static str, String, Vec<u8>) {
    let name = format!("z-odd-{number}");
    let nested = format!("{}{}", "[".repeat(5_000), "]".repeat(5_000));
    let specifications: [&[u8]; 6] = [
        nested.as_bytes(),
        b"7e99999999",
        b"{\"slots\":-7e99999999}",
        b"{\"address\":\"127.0.0.1:99999\"}",
        b"\"\\ud800\"",
        b"\"\xff\"",
    ];
    let specification = specifications[number % specifications.len()];
    let head = format!("{{\"metadata\":{{\"name\":\"{name}\",\"revision\":1}},\"specification\":");
    let text = [head.as_bytes(), specification, b"}"].concat();
    (KINDS[number / specifications.len() % KINDS.len()], name, text)
}

/// Adds routes to a configuration.
pub fn add_routes(configuration: &mut Value) {
    let template = configuration["routes"][1].clone();
    let added = (0..ADDED_ROUTES).map(|number| {
        let mut route = template.clone();
        route["name"] = json!(format!("added-{number}"));
        route["path_prefix"] = json!(format!("/added-{number}/"));
        route
    });
    if let Some(routes) = configuration["routes"].as_array_mut() {
        routes.extend(added);
    }
}
