use super::{
    Arrival, DaemonLoad, Effect, Endpoint, EndpointInfo, EndpointReport, EndpointState, Outcome,
};
use crate::Millis;
use errors::{Reason, Refusal, Verdict};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Settings of the scheduler.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct SchedulerConfig {
    /// The name of this daemon.
    pub name: String,
    /// The data centre of this daemon.
    pub data_centre: String,
    /// The region of this daemon.
    pub region: String,
    /// The seed of the choices that are drawn.
    pub seed: u64,
    /// Requests that wait in this daemon at most.
    pub queue_limit: usize,
    /// Attempts for one request at most.
    pub attempt_limit: u32,
    /// The time for which an endpoint rests after a failure.
    pub rest_after_failure: Millis,
}

impl Default for SchedulerConfig {
    fn default() -> SchedulerConfig {
        SchedulerConfig {
            name: String::new(),
            data_centre: String::new(),
            region: String::new(),
            seed: 0,
            queue_limit: 1024,
            attempt_limit: 3,
            rest_after_failure: Millis(1_000),
        }
    }
}

#[derive(Clone, Debug)]
struct Entry {
    arrival: Arrival,
    attempt: u32,
    endpoint: Option<String>,
    verdict: Verdict,
}

/// The queue and the endpoints of one daemon.
#[derive(Clone, Debug, Default)]
pub struct Scheduler {
    cfg: SchedulerConfig,
    endpoints: BTreeMap<String, Endpoint>,
    entries: BTreeMap<u64, Entry>,
    /// Waiting requests by tier, then by number.
    queue: BTreeMap<(u8, u64), ()>,
}

impl Scheduler {
    /// Creates a scheduler that knows no endpoint.
    pub fn new(cfg: SchedulerConfig) -> Scheduler {
        Scheduler { cfg, ..Scheduler::default() }
    }

    /// Returns the endpoints by name.
    pub fn endpoints(&self) -> &BTreeMap<String, Endpoint> {
        &self.endpoints
    }

    /// Returns how many requests wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Takes in a request.
    pub fn arrive(&mut self, arrival: Arrival, now: Millis) -> Vec<Effect> {
        let request = arrival.request;
        if !self.endpoints.values().any(|e| e.info.serves.contains(&arrival.serves)) {
            let text = format!("no endpoint serves {}", arrival.serves);
            let refusal = Refusal::not_run(Reason::NoEndpoint, text).retry_after(1_000);
            return vec![Effect::Refuse { request, refusal }];
        }
        if self.queue.len() >= self.cfg.queue_limit {
            let text = format!("class {} has no room", arrival.class);
            let refusal = Refusal::not_run(Reason::Overloaded, text).retry_after(1_000);
            return vec![Effect::Refuse { request, refusal }];
        }
        self.queue.insert((arrival.tier, request), ());
        let entry = Entry { arrival, attempt: 0, endpoint: None, verdict: Verdict::NotRun };
        self.entries.insert(request, entry);
        self.dispatch(now)
    }

    /// Notes that `tokens` more tokens of an attempt have arrived.
    pub fn progress(&mut self, _request: u64, _tokens: u32, _now: Millis) -> Vec<Effect> {
        Vec::new()
    }

    /// Notes how an attempt ended.
    pub fn finish(&mut self, request: u64, outcome: Outcome, now: Millis) -> Vec<Effect> {
        let Some(entry) = self.entries.get_mut(&request) else { return Vec::new() };
        let endpoint = entry.endpoint.take().and_then(|name| self.endpoints.get_mut(&name));
        if let Some(endpoint) = endpoint {
            endpoint.outstanding = endpoint.outstanding.saturating_sub(1);
            match outcome {
                Outcome::Failed(_) => {
                    endpoint.failures += 1;
                    endpoint.resting_until = now + self.cfg.rest_after_failure;
                }
                Outcome::Done => endpoint.failures = 0,
                Outcome::Abandoned => {}
            }
        }
        let mut effects = Vec::new();
        if let Outcome::Failed(verdict) = outcome {
            entry.verdict = entry.verdict.combine(verdict);
            let retryable = entry.arrival.repeatable || verdict == Verdict::NotRun;
            if retryable && entry.attempt < self.cfg.attempt_limit {
                self.queue.insert((entry.arrival.tier, request), ());
                return self.dispatch(now);
            }
            let text = format!("{} attempts failed", entry.attempt);
            let refusal = Refusal {
                verdict: entry.verdict,
                ..Refusal::not_run(Reason::EndpointFailed, text).retry_after(1_000)
            };
            effects.push(Effect::Refuse { request, refusal });
        }
        self.entries.remove(&request);
        effects.append(&mut self.dispatch(now));
        effects
    }

    /// Drops a request that waits, because its caller left.
    pub fn abandon(&mut self, request: u64, now: Millis) -> Vec<Effect> {
        if let Some(entry) = self.entries.get(&request) {
            self.queue.remove(&(entry.arrival.tier, request));
        }
        self.finish(request, Outcome::Abandoned, now)
    }

    /// Takes in the description and state of an endpoint.
    pub fn set_endpoint(
        &mut self,
        info: EndpointInfo,
        state: EndpointState,
        now: Millis,
    ) -> Vec<Effect> {
        let endpoint = self.endpoints.entry(info.name.clone()).or_default();
        endpoint.info = info;
        endpoint.state = endpoint.state.max(state);
        self.dispatch(now)
    }

    /// Forgets an endpoint that is gone.
    pub fn remove_endpoint(&mut self, name: &str, now: Millis) -> Vec<Effect> {
        self.endpoints.remove(name);
        self.dispatch(now)
    }

    /// Takes in a load report of an endpoint.
    pub fn report(&mut self, name: &str, report: EndpointReport, now: Millis) -> Vec<Effect> {
        if let Some(endpoint) = self.endpoints.get_mut(name) {
            endpoint.report = Some((report, now));
        }
        self.dispatch(now)
    }

    /// Looks at what has become due.
    pub fn tick(&mut self, now: Millis) -> Vec<Effect> {
        self.dispatch(now)
    }

    /// Returns what this daemon spreads to the others.
    pub fn own_load(&mut self, _now: Millis) -> DaemonLoad {
        DaemonLoad::default()
    }

    /// Takes in what another daemon spreads.
    pub fn peer_load(&mut self, _load: &DaemonLoad, now: Millis) -> Vec<Effect> {
        self.tick(now)
    }

    fn dispatch(&mut self, now: Millis) -> Vec<Effect> {
        let mut effects = Vec::new();
        let waiting: Vec<(u8, u64)> = self.queue.keys().copied().collect();
        for key in waiting {
            let Some(entry) = self.entries.get_mut(&key.1) else { continue };
            let chosen = self
                .endpoints
                .values_mut()
                .filter(|e| e.state == EndpointState::Live && e.resting_until <= now)
                .filter(|e| e.info.serves.contains(&entry.arrival.serves))
                .filter(|e| e.outstanding < e.info.slots)
                .min_by_key(|e| e.outstanding);
            let Some(endpoint) = chosen else { continue };
            endpoint.outstanding += 1;
            entry.attempt += 1;
            entry.endpoint = Some(endpoint.info.name.clone());
            self.queue.remove(&key);
            effects.push(Effect::Dispatch {
                request: key.1,
                attempt: entry.attempt,
                endpoint: endpoint.info.name.clone(),
            });
        }
        effects
    }
}
