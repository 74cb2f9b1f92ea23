use decision::Millis;
use decision::routing::{Registration, Scaling, Service};

/// Daemons of earlier builds compare digests of the encoded configuration and registry.
#[test]
fn encoding_without_scaling_is_that_of_earlier_builds() {
    let service = serde_json::to_string(&Service::default()).unwrap();
    assert_eq!(service, r#"{"name":"","connection_limit":0,"engine":null}"#);
    let registration = serde_json::to_string(&Registration::default()).unwrap();
    assert!(registration.ends_with(r#""heartbeats":0}"#), "{registration}");
}

#[test]
fn encodings_of_earlier_builds_are_read() {
    let service: Service = serde_json::from_str(r#"{"name":"a","engine":null}"#).unwrap();
    assert_eq!(service.scaling, None);
    let registration: Registration = serde_json::from_str(r#"{"heartbeats":3}"#).unwrap();
    assert_eq!((registration.spot, registration.leaves_ms), (false, None));
}

#[test]
fn scaling_reaches_other_daemons() {
    let scaling = Scaling { maximum: 30, boot: Millis(4_000), ..Scaling::default() };
    let service = Service { scaling: Some(scaling), ..Service::default() };
    let encoded = rmp_serde::to_vec_named(&service).unwrap();
    assert_eq!(rmp_serde::from_slice::<Service>(&encoded).unwrap(), service);
}
