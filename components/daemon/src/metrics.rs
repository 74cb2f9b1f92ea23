use crate::tables::lock;
use cadence::{
    BufferedUdpMetricSink, Counted, CountedExt, NopMetricSink, QueuingMetricSink, StatsdClient,
    Timed,
};
use errors::{Refusal, Verdict};
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Mutex;

const METRIC_PREFIX: &str = "chervilspur";

/// Significant digits of the first-token histograms.
const HISTOGRAM_DIGITS: u8 = 2;

/// How a request ended, for the measures of its class.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestOutcome {
    /// From arrival to the first token, in milliseconds, when there was one.
    pub first_token_ms: Option<u64>,
    /// Whether the answer was whole.
    pub complete: bool,
    /// Whether the answer was whole and met the target of its class.
    pub attained: bool,
    /// Whether the request was refused as not run.
    pub not_run: bool,
    /// Tokens that the caller got.
    pub tokens: u64,
    /// Tokens that were generated and that no caller got.
    pub wasted_tokens: u64,
    /// Bytes that crossed the link between regions.
    pub link_bytes: u64,
}

/// The measures of one class since the start of the process.
#[derive(Clone, Debug)]
pub struct ClassMetrics {
    /// Requests that ended, but for those beyond their account's limits.
    pub requests: u64,
    /// Requests answered whole.
    pub complete: u64,
    /// Requests answered whole within the target.
    pub attained: u64,
    /// Tokens of answers that met their target.
    pub attained_tokens: u64,
    /// Tokens of all answers.
    pub tokens: u64,
    /// Tokens that no caller got.
    pub wasted_tokens: u64,
    /// Bytes that crossed the link between regions.
    pub link_bytes: u64,
    /// Requests refused as not run, among those that ended.
    pub not_run: u64,
    /// Requests refused as not run, also those beyond their account's limits.
    pub refused_not_run: u64,
    /// Refusals by reason.
    pub refusals: BTreeMap<String, u64>,
    /// Times from arrival to the first token, in milliseconds.
    pub first_token_ms: Histogram<u64>,
}

impl ClassMetrics {
    fn new() -> ClassMetrics {
        // The digits are a constant that the library takes.
        let first_token_ms = Histogram::new(HISTOGRAM_DIGITS).expect("digits from 0 to 5");
        ClassMetrics {
            requests: 0,
            complete: 0,
            attained: 0,
            attained_tokens: 0,
            tokens: 0,
            wasted_tokens: 0,
            link_bytes: 0,
            not_run: 0,
            refused_not_run: 0,
            refusals: BTreeMap::new(),
            first_token_ms,
        }
    }
}

/// The measures of a daemon, by class, and the way to the operators' collector.
#[derive(Debug)]
pub struct Metrics {
    classes: Mutex<BTreeMap<String, ClassMetrics>>,
    statsd: StatsdClient,
}

impl Metrics {
    /// Creates measures that are also sent to a statsd collector, if there is one.
    pub fn new(collector: Option<SocketAddr>) -> io::Result<Metrics> {
        let statsd = match collector {
            None => StatsdClient::from_sink(METRIC_PREFIX, NopMetricSink),
            Some(collector) => {
                let socket = UdpSocket::bind(("0.0.0.0", 0))?;
                let sink = BufferedUdpMetricSink::from(collector, socket);
                let sink = QueuingMetricSink::from(sink.map_err(io::Error::other)?);
                StatsdClient::from_sink(METRIC_PREFIX, sink)
            }
        };
        Ok(Metrics { classes: Mutex::default(), statsd })
    }

    /// Adds a request that was answered, whole or not.
    pub fn record_outcome(&self, class: &str, outcome: &RequestOutcome) {
        let mut classes = lock(&self.classes);
        let metrics = classes.entry(class.to_string()).or_insert_with(ClassMetrics::new);
        metrics.requests += 1;
        metrics.complete += u64::from(outcome.complete);
        metrics.attained += u64::from(outcome.attained);
        metrics.not_run += u64::from(outcome.not_run);
        metrics.tokens += outcome.tokens;
        metrics.wasted_tokens += outcome.wasted_tokens;
        metrics.link_bytes += outcome.link_bytes;
        if outcome.attained {
            metrics.attained_tokens += outcome.tokens;
        }
        if let Some(ms) = outcome.first_token_ms {
            metrics.first_token_ms.saturating_record(ms);
        }
        drop(classes);
        self.send_outcome(class, outcome);
    }

    /// Adds a refusal.
    pub fn record_refusal(&self, class: &str, refusal: &Refusal) {
        let reason = refusal.reason.as_str();
        self.statsd
            .incr_with_tags("refused")
            .with_tag("class", class)
            .with_tag("reason", reason)
            .send();
        let mut classes = lock(&self.classes);
        let metrics = classes.entry(class.to_string()).or_insert_with(ClassMetrics::new);
        metrics.refused_not_run += u64::from(refusal.verdict == Verdict::NotRun);
        *metrics.refusals.entry(reason.to_string()).or_default() += 1;
    }

    /// Counts an event of the daemon that belongs to no class.
    pub fn increment(&self, name: &str) {
        self.statsd.incr_with_tags(name).send();
    }

    /// Returns the measures by class.
    pub fn classes(&self) -> BTreeMap<String, ClassMetrics> {
        lock(&self.classes).clone()
    }

    fn send_outcome(&self, class: &str, outcome: &RequestOutcome) {
        let counts = [
            ("requests", 1),
            ("whole", u64::from(outcome.complete)),
            ("attained", u64::from(outcome.attained)),
            ("tokens", outcome.tokens),
            ("wasted_tokens", outcome.wasted_tokens),
            ("link_bytes", outcome.link_bytes),
        ];
        for (name, count) in counts {
            self.statsd.count_with_tags(name, count).with_tag("class", class).send();
        }
        if let Some(ms) = outcome.first_token_ms {
            self.statsd.time_with_tags("first_token", ms).with_tag("class", class).send();
        }
    }
}
