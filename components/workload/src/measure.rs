use crate::call::Call;
use crate::scenario::Scenario;

/// What callers of one class got.
#[derive(Clone, Debug, Default)]
pub struct ClassMeasure {
    /// Requests.
    pub requests: u64,
    /// Requests answered whole within the target.
    pub attained: u64,
    /// Requests answered whole, in time or not.
    pub finished: u64,
    /// Finish windows in which the class had requests open.
    pub windows: u64,
    /// Those of them in which it finished at least one.
    pub served_windows: u64,
    /// Bytes sent over the link.
    pub link_bytes: u64,
}

/// What one run measured.
#[derive(Clone, Debug, Default)]
pub struct Measure {
    /// By class.
    pub classes: Vec<ClassMeasure>,
    /// Tokens of answers within their target.
    pub good_tokens: u64,
    /// Tokens that engines generated.
    pub generated: u64,
    /// Tokens that no caller got as part of an answer.
    pub wasted: u64,
    /// Bytes over the link.
    pub link_bytes: u64,
    /// Bytes over the link for requests without an answer.
    pub wasted_link_bytes: u64,
    /// Cases of a higher tier refused while lower-tier work that could give way was known.
    pub violations: u64,
    /// Requests with neither an answer nor a refusal at the end.
    pub open: u64,
    /// Seconds of load.
    pub seconds: f64,
    /// The attainment of the accounts apart from the largest three, all classes.
    pub small_attained: u64,
    /// Requests of those accounts.
    pub small_requests: u64,
}

impl Measure {
    /// Adds up the calls of a run.
    pub fn of(scenario: &Scenario, calls: &[Call]) -> Measure {
        let classes = vec![ClassMeasure::default(); scenario.site.classes.len()];
        let last = scenario.phases.iter().map(|p| p.until).max().unwrap_or(1);
        let mut measure = Measure { classes, seconds: last as f64 / 1_000.0, ..Measure::default() };
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
        let attained = call.attained(&scenario.site.classes[call.request.class]);
        class.requests += 1;
        class.attained += u64::from(attained);
        class.finished += u64::from(call.done_at.is_some());
        class.link_bytes += call.link_bytes;
        if call.request.account >= 3 {
            self.small_requests += 1;
            self.small_attained += u64::from(attained);
        }
        self.open += u64::from(!call.refused && call.done_at.is_none());
        self.generated += call.generated;
        self.link_bytes += call.link_bytes;
        if attained {
            self.good_tokens += u64::from(call.request.answer);
        }
        if call.done_at.is_some() {
            self.wasted += call.generated - u64::from(call.request.answer).min(call.generated);
        } else {
            self.wasted += call.generated;
            self.wasted_link_bytes += call.link_bytes;
        }
    }

    fn count_windows(&mut self, scenario: &Scenario, calls: &[Call], class: usize) {
        let length = scenario.site.classes[class].finish;
        let of_class = || calls.iter().filter(|c| c.request.class == class);
        let Some(first) = of_class().map(|c| c.request.at).min() else { return };
        let last = of_class().map(|c| c.request.at).max().unwrap_or(first);
        let mut from = first;
        while from + length <= last {
            let window = from..from + length;
            let served = of_class().any(|c| c.done_at.is_some_and(|at| window.contains(&at)));
            self.classes[class].windows += 1;
            self.classes[class].served_windows += u64::from(served);
            from += length;
        }
    }

    /// Returns the attainment of a class, 0 to 1.
    pub fn attainment(&self, class: usize) -> f64 {
        ratio(self.classes[class].attained, self.classes[class].requests)
    }

    /// Returns tokens a second of answers within their target.
    pub fn goodput(&self) -> f64 {
        self.good_tokens as f64 / self.seconds
    }

    /// Returns wasted tokens as a part of all.
    pub fn waste(&self) -> f64 {
        ratio(self.wasted, self.generated)
    }

    /// Returns the attainment of the small accounts.
    pub fn small_attainment(&self) -> f64 {
        ratio(self.small_attained, self.small_requests)
    }
}

fn ratio(part: u64, all: u64) -> f64 {
    if all == 0 { 1.0 } else { part as f64 / all as f64 }
}
