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

/// The outcome of a request, for the metrics of its class.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestOutcome {
    /// Time from arrival to the first token; `None` if there was none.
    pub first_token_ms: Option<u64>,
    /// Whether the response was complete.
    pub complete: bool,
    /// Whether the response was complete and met the targets of its class.
    pub attained: bool,
    /// Whether the request was refused with the verdict `not_run`.
    pub not_run: bool,
    /// Tokens of a complete response; 0 for others.
    pub tokens: u64,
    /// Tokens that were generated but are not part of a complete response.
    pub wasted_tokens: u64,
    /// Bytes that crossed the link between regions.
    pub link_bytes: u64,
}

/// The metrics of one class since the start of the process.
#[derive(Clone, Debug)]
pub struct ClassMetrics {
    /// Requests that ended, except those refused because of the limits of their client account.
    pub requests: u64,
    /// Requests with a complete response.
    pub complete: u64,
    /// Requests with a complete response that met the targets.
    pub attained: u64,
    /// Tokens of the responses that met the targets.
    pub attained_tokens: u64,
    /// Tokens of all complete responses.
    pub tokens: u64,
    /// Tokens that were generated but are not part of a complete response.
    pub wasted_tokens: u64,
    /// Bytes that crossed the link between regions.
    pub link_bytes: u64,
    /// The part of `requests` that was refused with the verdict `not_run`.
    pub not_run: u64,
    /// All refusals with the verdict `not_run`, including those because of the limits of a client
    /// account.
    pub refused_not_run: u64,
    /// Refusals by the name of their reason.
    pub refusals: BTreeMap<String, u64>,
    /// Times from arrival to the first token.
    pub first_token_ms: Histogram<u64>,
}

impl ClassMetrics {
    fn new() -> ClassMetrics {
        // Cannot fail: the library accepts 0 to 5 digits.
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

/// The metrics of a daemon by class, which are also sent to a statsd collector if there is one.
#[derive(Debug)]
pub struct Metrics {
    classes: Mutex<BTreeMap<String, ClassMetrics>>,
    statsd: StatsdClient,
}

impl Metrics {
    /// Opens the socket to the collector, if there is one.
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

    /// Records the end of a request, complete or not.
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

    /// Records a refusal, also of a request that was never accepted.
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

    /// Increments a counter that belongs to no class.
    pub fn increment(&self, name: &str) {
        self.statsd.incr_with_tags(name).send();
    }

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
