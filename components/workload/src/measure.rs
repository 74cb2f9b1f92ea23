use crate::call::Call;
use crate::scenario::Scenario;

/// Results of one request class.
#[derive(Clone, Debug, Default)]
pub struct ClassMeasure {
    /// Requests sent.
    pub requests: u64,
    /// Requests that met the targets for the first token and the complete response.
    pub attained: u64,
    /// Requests with a complete response, whether or not it met the targets.
    pub finished: u64,
    /// Windows of the length of the finish target, from the first request of the class to its last.
    pub windows: u64,
    /// Windows in which at least one request of the class finished.
    pub served_windows: u64,
    /// Bytes sent between regions.
    pub link_bytes: u64,
}

/// Results of one run.
#[derive(Clone, Debug, Default)]
pub struct Measure {
    /// Results by index of the class.
    pub classes: Vec<ClassMeasure>,
    /// Tokens of responses that met their targets.
    pub good_tokens: u64,
    /// Tokens that engines generated over all attempts.
    pub generated_tokens: u64,
    /// Generated tokens that are not part of a complete response.
    pub wasted_tokens: u64,
    /// Bytes sent between regions.
    pub link_bytes: u64,
    /// Bytes sent between regions for requests that did not finish.
    pub wasted_link_bytes: u64,
    /// Requests that a daemon refused although it knew of preemptible work of a lower tier.
    pub violations: u64,
    /// Requests that had neither finished nor been refused at the end of the run.
    pub open: u64,
    /// Time from the start of the run to the end of the last phase.
    pub seconds: f64,
    /// Requests of all client accounts but the three largest that met their targets, all classes.
    pub small_attained: u64,
    /// Requests of all client accounts but the three largest.
    pub small_requests: u64,
}

impl Measure {
    /// Sums the calls of a run.
    pub fn from_calls(scenario: &Scenario, calls: &[Call]) -> Measure {
        let classes = vec![ClassMeasure::default(); scenario.site.classes.len()];
        let load_end_ms = scenario.phases.iter().map(|p| p.until_ms).max().unwrap_or(1);
        let mut measure =
            Measure { classes, seconds: load_end_ms as f64 / 1_000.0, ..Measure::default() };
        for call in calls {
            measure.add(scenario, call);
        }
        for class in 0..measure.classes.len() {
            measure.count_windows(scenario, calls, class);
        }
        measure
    }

    fn add(&mut self, scenario: &Scenario, call: &Call) {
        let class = &mut self.classes[call.request.class];
        let met_target = call.met_target(&scenario.site.classes[call.request.class]);
        class.requests += 1;
        class.attained += u64::from(met_target);
        class.finished += u64::from(call.finished_at.is_some());
        class.link_bytes += call.link_bytes;
        if call.request.account >= 3 {
            self.small_requests += 1;
            self.small_attained += u64::from(met_target);
        }
        self.open += u64::from(!call.refused && call.finished_at.is_none());
        self.generated_tokens += call.generated_tokens;
        self.link_bytes += call.link_bytes;
        if met_target {
            self.good_tokens += u64::from(call.request.response_tokens);
        }
        if call.finished_at.is_some() {
            self.wasted_tokens += call.generated_tokens
                - u64::from(call.request.response_tokens).min(call.generated_tokens);
        } else {
            self.wasted_tokens += call.generated_tokens;
            self.wasted_link_bytes += call.link_bytes;
        }
    }

    fn count_windows(&mut self, scenario: &Scenario, calls: &[Call], class: usize) {
        let window_ms = scenario.site.classes[class].finish_ms;
        let of_class = || calls.iter().filter(|c| c.request.class == class);
        let Some(first) = of_class().map(|c| c.request.sent_at_ms).min() else { return };
        let last = of_class().map(|c| c.request.sent_at_ms).max().unwrap_or(first);
        let mut from = first;
        while from + window_ms <= last {
            let window = from..from + window_ms;
            let served = of_class().any(|c| c.finished_at.is_some_and(|at| window.contains(&at)));
            self.classes[class].windows += 1;
            self.classes[class].served_windows += u64::from(served);
            from += window_ms;
        }
    }

    /// Fraction of the requests of a class that met their targets; 1 without requests.
    pub fn attainment(&self, class: usize) -> f64 {
        ratio(self.classes[class].attained, self.classes[class].requests)
    }

    /// Tokens per second of responses that met their targets.
    pub fn goodput(&self) -> f64 {
        self.good_tokens as f64 / self.seconds
    }

    /// Wasted tokens as a fraction of the generated ones.
    pub fn waste(&self) -> f64 {
        ratio(self.wasted_tokens, self.generated_tokens)
    }

    /// Fraction of the requests of all client accounts but the three largest that met their
    /// targets.
    pub fn small_attainment(&self) -> f64 {
        ratio(self.small_attained, self.small_requests)
    }
}

fn ratio(part: u64, total: u64) -> f64 {
    if total == 0 { 1.0 } else { part as f64 / total as f64 }
}
