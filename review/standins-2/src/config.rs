//! Configs of the operator.

use crate::client::{HOST, KEY};

/// A route to a service.
#[derive(Clone, Copy, Debug)]
pub struct Route<'a> {
    pub name: &'a str,
    pub path_prefix: &'a str,
    /// `safe` or `unsafe`.
    pub kind: &'a str,
    pub service: &'a str,
    pub timeout_ms: u64,
    pub objective_ms: u64,
    pub attempts: u32,
}

/// The text of a config, with the limits that the example of the pages has.
pub fn config(version: u64, routes: &[Route<'_>], services: &[&str]) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|route| {
            let Route { name, path_prefix, kind, service, timeout_ms, objective_ms, attempts } =
                route;
            format!(
                "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"{path_prefix}\",\
                 \"kind\":\"{kind}\",\"timeout_ms\":{timeout_ms},\"objective_ms\":{objective_ms},\
                 \"priority\":1,\"service\":\"{service}\",\"attempts\":{attempts},\
                 \"anonymous\":false}}"
            )
        })
        .collect();
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!(
                "{{\"name\":\"{name}\",\"health_path\":\"/health\",\"connection_limit\":360,\
                 \"protocol\":\"h1\",\"transport_security\":false}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\
         \"limits\":{{\"header_bytes\":16384,\"body_bytes\":4194304,\"header_ms\":3000,\
         \"idle_ms\":15000}},\"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[\"{KEY}\"],\
         \"priority\":1}}]}}",
        routes.join(","),
        services.join(",")
    )
}
