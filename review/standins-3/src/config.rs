//! Objects of the operator and of runners, and settings of gateways.

use std::net::SocketAddr;

/// The key of the only client account.
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";
/// The host of all routes.
pub const HOST: &str = "ficu95.example";

/// A configuration with one route for each kind; `body_bytes` as in the site file of agenda-campo.
pub fn configuration(version: u64) -> String {
    configuration_with(version, "pool")
}

/// The same configuration, with the service to which the route `unsafe` leads.
pub fn configuration_with(version: u64, service: &str) -> String {
    let route = |name: &str, kind: &str, attempts: u32, resumable: bool, timeout_ms: u32| {
        let service = if name == "unsafe" { service } else { "pool" };
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"/{name}/\",\
             \"kind\":\"{kind}\",\"timeout_ms\":{timeout_ms},\"objective_ms\":1000,\
             \"priority\":1,\"service\":\"{service}\",\"attempts\":{attempts},\"anonymous\":false,\
             \"sticky\":false,\"resumable\":{resumable}}}"
        )
    };
    let routes = [
        route("safe", "safe", 2, false, 5000),
        route("unsafe", "unsafe", 1, false, 5000),
        route("stream", "stream", 2, true, 12000),
        route("fixed", "stream", 1, false, 12000),
    ];
    format!(
        "{{\"version\":{version},\"routes\":[{}],\
         \"services\":[{},{}],\
         \"limits\":{{\"header_bytes\":16384,\"body_bytes\":4194304,\"header_ms\":3000,\
         \"idle_ms\":15000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[\"{KEY}\"]}}]}}",
        routes.join(","),
        service_of("pool"),
        service_of("other")
    )
}

fn service_of(name: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"health_path\":\"/health\",\"connection_limit\":360,\
         \"protocol\":\"h1\",\"transport_security\":false}}"
    )
}

/// The registry entry of a runner.
pub fn registration(service: &str, address: SocketAddr, sequence: u64) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"aburra-norte\",\
         \"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"cold_remaining_ms\":0,\
         \"sequence\":{sequence},\"born\":1}}"
    )
}
