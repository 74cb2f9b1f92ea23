//! Objects in the store that another writer left and that cannot be read.

use crate::support::{KEY, Site, configuration, registration};
use fakes::{GatewayConfig, GatewayProcess, PlatformStore};
use rstest::rstest;
use std::time::Duration;

/// An object whose specification has one odd field beside the usual ones of an endpoint.
fn object_with(name: &str, field: &str) -> Vec<u8> {
    let object = format!(
        r#"{{"metadata":{{"name":"{name}","revision":3}},"specification":{{"service":"pool",{field}}}}}"#
    );
    object.into_bytes()
}

/// Texts of odd objects named `name`.
fn odd_object(what: &str, name: &str) -> Vec<u8> {
    match what {
        "nested" => {
            let nested = format!("{}{}", "[".repeat(5_000), "]".repeat(5_000));
            object_with(name, &format!(r#""extra":{nested}"#))
        }
        "number" => object_with(name, r#""slots":7e99999999"#),
        "unused number" => object_with(name, r#""extra":-7e99999999"#),
        "port" => object_with(name, r#""address":"127.0.0.1:99999""#),
        "bytes" => {
            let mut text = object_with(name, r#""zone":"?""#);
            let at = text.iter().rposition(|byte| *byte == b'?').unwrap();
            text[at] = 0xff;
            text
        }
        "surrogate" => object_with(name, r#""zone":"\ud800""#),
        "revision" => {
            let text = r#"{"metadata":{"name":"NAME","revision":1e400},"specification":{}}"#;
            text.replace("NAME", name).into_bytes()
        }
        "no specification" => {
            format!(r#"{{"metadata":{{"name":"{name}","revision":3}}}}"#).into_bytes()
        }
        "no name" => br#"{"metadata":{},"specification":{}}"#.to_vec(),
        "no object" => b"17".to_vec(),
        _ => panic!("no such object: {what}"),
    }
}

/// The kinds of objects that a gateway reads.
const KINDS: [&str; 5] =
    ["servers", "config", "chervilspur-readers", "chervilspur-versions", "chervilspur-streams"];

/// Changes that are made after an odd entry reach the gateway, and requests are served.
fn assert_follows(store: &PlatformStore, site: &Site) {
    store.put("config", "main", configuration(7, &[KEY]));
    site.gateway.wait_for_log(&["configuration_in_force", "\"version\":7"]).unwrap();
    store.put("servers", "i-2", registration(&site.runners[1], "draining", 2));
    site.gateway.wait_for_log(&["endpoint_left", "i-2"]).unwrap();
    let response = site.send_request("/safe/", "after");
    assert_eq!(response.message.status(), 200, "{}", site.gateway.log().join("\n"));
}

#[rstest]
fn odd_entry_that_is_added_costs_only_itself(
    #[values(
        "nested",
        "number",
        "unused number",
        "port",
        "bytes",
        "surrogate",
        "revision",
        "no specification",
        "no name",
        "no object"
    )]
    what: &str,
) {
    let site = Site::start();
    for kind in KINDS {
        // The name sorts after all others, so the entry is the last of its page.
        site.store.put_raw(kind, "z-odd", &odd_object(what, "z-odd"));
    }
    assert_follows(&site.store, &site);
}

#[rstest]
fn odd_entry_that_is_there_at_the_start_costs_only_itself(
    #[values("nested", "number", "bytes", "revision", "no name", "no object")] what: &str,
    #[values("a-odd", "z-odd")] name: &str,
) {
    let mut site = Site::with(&GatewayConfig::default(), 1, Duration::ZERO);
    for kind in KINDS {
        site.store.put_raw(kind, name, &odd_object(what, name));
    }
    let cfg = GatewayConfig { name: String::from("front-2"), ..GatewayConfig::default() };
    let started = GatewayProcess::start(site.store.address, &cfg).unwrap();
    site.gateway = started;
    assert_follows(&site.store, &site);
}
