//! The sample requests and what has to hold of their answers.

use config::{Class, Target};
use fakes::{Caller, ChatResponse, InstanceKind, Site};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

const MAX_TOKENS: u64 = 64;
const SHOWN_CHARACTERS: usize = 60;
type Text = &'static str;
/// A sample request.
pub struct Sample {
    /// The client account.
    pub account: Text,
    /// The request class.
    pub class: Text,
    /// The daemon that it enters at.
    daemon: Text,
    /// The prompt, or the body of a call.
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

/// What became of a sample.
pub struct Outcome {
    /// The instances on the way of the request.
    pub path: Vec<String>,
    /// The answer, shortened.
    pub answer: String,
    /// The times.
    pub took: String,
    /// Whether the answer was right and within the target of its class.
    pub held: bool,
}

/// Sends a sample and checks its answer.
pub fn send(site: &Site, sample: &Sample, class: &Class) -> Outcome {
    let send = if class.service.is_empty() { chat } else { call };
    send(site, sample, &class.target)
}

fn chat(site: &Site, sample: &Sample, target: &Target) -> Outcome {
    let answer = caller(site, sample).chat("", sample.text, MAX_TOKENS);
    let mut between = answer.between_tokens.clone();
    between.sort();
    let usual = between.get(between.len() * 95 / 100).copied().unwrap_or_default();
    let within = answer.first_token.is_some_and(|first| first <= ms(target.first_token_ms))
        && usual <= ms(target.between_tokens_ms)
        && answer.finish <= ms(target.finish_ms);
    Outcome {
        path: path(site, sample, &answer),
        answer: shorten(&answer),
        took: format!(
            "first token {:.1?}, between tokens {usual:.1?} for 95 in 100, all {:.1?}",
            answer.first_token, answer.finish
        ),
        held: within && answer.is_complete(MAX_TOKENS),
    }
}

fn call(site: &Site, sample: &Sample, target: &Target) -> Outcome {
    let started = Instant::now();
    let key = format!("{}-{:032x}", utils::unix_time_ms(), utils::random_id());
    let reply = caller(site, sample).call(&key, &json!({"text": sample.text}));
    let took = started.elapsed();
    let ran = runs(site);
    let runs: u64 = ran.values().sum();
    let mut path = vec![sample.daemon.to_string()];
    path.extend(ran.into_keys());
    Outcome {
        path,
        answer: format!("status {} {}", reply.status, reply.body),
        took: format!("{took:.1?}, ran {runs} time(s)"),
        held: reply.status == 200 && runs == 1 && took <= ms(target.finish_ms),
    }
}

fn caller(site: &Site, sample: &Sample) -> Caller {
    let address = site.address(sample.daemon);
    Caller { address, key: format!("key-{}", sample.account), class: sample.class.to_string() }
}

/// Finds the other daemons that know a request and the engines that ran it.
fn path(site: &Site, sample: &Sample, answer: &ChatResponse) -> Vec<String> {
    let id = &answer.request;
    let ran = |name: &&str| site.get(name, "/counts").is_ok_and(|counts| !counts[id].is_null());
    let knows = |name: &&str| site.get(name, &format!("/admin/explain/{id}")).is_ok();
    let daemons = site.names(InstanceKind::Daemon).into_iter();
    let others = daemons.filter(|name| *name != sample.daemon).filter(knows);
    let engines = site.names(InstanceKind::Engine).into_iter().filter(ran);
    [sample.daemon].into_iter().chain(others).chain(engines).map(str::to_string).collect()
}

/// Returns how many calls each service ran.
fn runs(site: &Site) -> BTreeMap<String, u64> {
    let mut runs = BTreeMap::new();
    for name in site.names(InstanceKind::Service) {
        let counts = site.get(name, "/counts").unwrap_or_default();
        let total = counts.as_object().map(|c| c.values().filter_map(Value::as_u64).sum());
        runs.insert(name.to_string(), total.unwrap_or(0));
    }
    runs.into_iter().filter(|(_, total)| *total > 0).collect()
}

fn shorten(answer: &ChatResponse) -> String {
    if let Some(refusal) = &answer.refusal {
        return format!("status {} {refusal}", answer.status);
    }
    let shown: String = answer.text.chars().take(SHOWN_CHARACTERS).collect();
    format!("{shown}... ({} tokens)", answer.text.split_whitespace().count())
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}
