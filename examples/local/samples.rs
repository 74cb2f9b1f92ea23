//! The sample requests and the checks of their responses.

use config::{Class, Target};
use fakes::{Caller, ChatResponse, InstanceKind, Site};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

const MAX_TOKENS: u64 = 64;
const MAX_SHOWN_CHARS: usize = 60;

type Text = &'static str;

/// A sample request.
pub struct Sample {
    pub account: Text,
    pub class: Text,
    /// The daemon that it is sent to.
    daemon: Text,
    /// The prompt of a chat, or the `text` field in the body of a call.
    text: Text,
}

/// One sample of each class.
pub const SAMPLES: [Sample; 4] = [
    sample("medellin-sur", "plan", "daemon-norte-1", "Plan the visits around the closed road."),
    sample("coast-range", "hazard-chat", "daemon-norte-2", "The bridge is gone. Which way down?"),
    sample("coast-range", "digest", "daemon-norte-1", "Sum up the season's logbook."),
    sample("medellin-sur", "booking", "daemon-rionegro-1", "household 118"),
];

const fn sample(account: Text, class: Text, daemon: Text, text: Text) -> Sample {
    Sample { account, class, daemon, text }
}

/// The result of a sample.
pub struct Outcome {
    /// The instances that handled the request.
    pub path: Vec<String>,
    /// The response, shortened for printing.
    pub response: String,
    /// The measured times, formatted for printing.
    pub timing: String,
    /// Whether the response was correct and within the target of its class.
    pub passed: bool,
}

/// Sends a sample and checks its response.
pub fn send(site: &Site, sample: &Sample, class: &Class) -> Outcome {
    let send = if class.service.is_empty() { chat } else { call };
    send(site, sample, &class.target)
}

fn chat(site: &Site, sample: &Sample, target: &Target) -> Outcome {
    let response = caller(site, sample).chat("", sample.text, MAX_TOKENS);
    let mut token_gaps = response.between_tokens.clone();
    token_gaps.sort();
    let gap_p95 = token_gaps.get(token_gaps.len() * 95 / 100).copied().unwrap_or_default();
    let within_target =
        response.first_token.is_some_and(|first| first <= ms(target.first_token_ms))
            && gap_p95 <= ms(target.between_tokens_ms)
            && response.finish <= ms(target.finish_ms);
    Outcome {
        path: path(site, sample, &response),
        response: shorten(&response),
        timing: format!(
            "first token {:.1?}, between tokens {gap_p95:.1?} for 95 in 100, all {:.1?}",
            response.first_token, response.finish
        ),
        passed: within_target && response.is_complete(MAX_TOKENS),
    }
}

fn call(site: &Site, sample: &Sample, target: &Target) -> Outcome {
    let start = Instant::now();
    let key = format!("{}-{:032x}", utils::unix_time_ms(), utils::random_id());
    let response = caller(site, sample).call(&key, &json!({"text": sample.text}));
    let took = start.elapsed();
    let runs_by_service = runs_by_service(site);
    let runs: u64 = runs_by_service.values().sum();
    let mut path = vec![sample.daemon.to_string()];
    path.extend(runs_by_service.into_keys());
    Outcome {
        path,
        response: format!("status {} {}", response.status, response.body),
        timing: format!("{took:.1?}, ran {runs} time(s)"),
        passed: response.status == 200 && runs == 1 && took <= ms(target.finish_ms),
    }
}

fn caller(site: &Site, sample: &Sample) -> Caller {
    let address = site.address(sample.daemon);
    Caller { address, key: format!("key-{}", sample.account), class: sample.class.to_string() }
}

/// The daemon that a request was sent to, the other daemons that know it and the engines that ran
/// it.
fn path(site: &Site, sample: &Sample, response: &ChatResponse) -> Vec<String> {
    let id = &response.request;
    let ran = |name: &&str| site.get(name, "/counts").is_ok_and(|counts| !counts[id].is_null());
    let knows = |name: &&str| site.get(name, &format!("/admin/explain/{id}")).is_ok();
    let daemons = site.names(InstanceKind::Daemon).into_iter();
    let others = daemons.filter(|name| *name != sample.daemon).filter(knows);
    let engines = site.names(InstanceKind::Engine).into_iter().filter(ran);
    [sample.daemon].into_iter().chain(others).chain(engines).map(str::to_string).collect()
}

/// Number of calls that each service ran; services without a call are left out.
fn runs_by_service(site: &Site) -> BTreeMap<String, u64> {
    let mut runs = BTreeMap::new();
    for name in site.names(InstanceKind::Service) {
        let counts = site.get(name, "/counts").unwrap_or_default();
        let total = counts.as_object().map(|c| c.values().filter_map(Value::as_u64).sum());
        runs.insert(name.to_string(), total.unwrap_or(0));
    }
    runs.into_iter().filter(|(_, total)| *total > 0).collect()
}

fn shorten(response: &ChatResponse) -> String {
    if let Some(refusal) = &response.refusal {
        return format!("status {} {refusal}", response.status);
    }
    let shown: String = response.text.chars().take(MAX_SHOWN_CHARS).collect();
    format!("{shown}... ({} tokens)", response.text.split_whitespace().count())
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}
