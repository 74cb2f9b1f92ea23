use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

/// Bucket bounds of the latency histograms: 5 ms to 10.24 s, doubling.
const LATENCY_BUCKETS_SECONDS: [f64; 12] =
    [0.005, 0.01, 0.02, 0.04, 0.08, 0.16, 0.32, 0.64, 1.28, 2.56, 5.12, 10.24];

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct RouteLabels {
    pub(crate) route: String,
    pub(crate) result: String,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct ServiceLabels {
    pub(crate) service: String,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct AttemptLabels {
    pub(crate) service: String,
    pub(crate) outcome: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct StreamEndLabels {
    pub(crate) framing: &'static str,
    pub(crate) end: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct ContinuationLabels {
    pub(crate) result: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct StoreLabels {
    pub(crate) kind: &'static str,
    pub(crate) result: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct FeedLabels {
    pub(crate) content: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct PeerLossLabels {
    pub(crate) fault: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct ClaimLabels {
    pub(crate) outcome: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct CapacityLabels {
    pub(crate) service: String,
    pub(crate) data_centre: String,
    pub(crate) kind: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct OrderLabels {
    pub(crate) outcome: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct DutyCallLabels {
    pub(crate) duty: &'static str,
    pub(crate) outcome: &'static str,
}

fn latencies() -> Histogram {
    Histogram::new(LATENCY_BUCKETS_SECONDS)
}

/// The metrics of a gateway.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    pub(crate) requests: Family<RouteLabels, Counter>,
    pub(crate) attempts: Family<AttemptLabels, Counter>,
    pub(crate) stream_ends: Family<StreamEndLabels, Counter>,
    pub(crate) continuations: Family<ContinuationLabels, Counter>,
    pub(crate) store_calls: Family<StoreLabels, Counter>,
    pub(crate) feed_bytes: Family<FeedLabels, Counter>,
    pub(crate) feed_request_bytes: Counter,
    pub(crate) peer_losses: Family<PeerLossLabels, Counter>,
    pub(crate) reader_claims: Family<ClaimLabels, Counter>,
    pub(crate) connections_opened: Counter,
    pub(crate) clients: Gauge,
    pub(crate) idle_connections: Gauge,
    pub(crate) configuration_version: Gauge,
    pub(crate) condemned_parts: Gauge,
    pub(crate) limited_endpoints: Gauge,
    pub(crate) brittle_services: Gauge,
    pub(crate) leaving_endpoints: Gauge,
    pub(crate) recorded_streams: Gauge,
    pub(crate) ordered_endpoints: Family<CapacityLabels, Gauge>,
    pub(crate) orders: Family<OrderLabels, Counter>,
    pub(crate) store_era: Gauge,
    pub(crate) duty_holder: Gauge,
    pub(crate) duty_calls: Family<DutyCallLabels, Counter>,
    pub(crate) usage_windows_reported: Counter,
    pub(crate) usage_reports_late: Counter,
    pub(crate) first_byte_seconds: Family<ServiceLabels, Histogram, fn() -> Histogram>,
    pub(crate) complete_response_seconds: Family<ServiceLabels, Histogram, fn() -> Histogram>,
}

impl Default for Metrics {
    fn default() -> Metrics {
        let mut metrics = Metrics {
            registry: Registry::with_prefix("chervilspur"),
            requests: Family::default(),
            attempts: Family::default(),
            stream_ends: Family::default(),
            continuations: Family::default(),
            store_calls: Family::default(),
            feed_bytes: Family::default(),
            feed_request_bytes: Counter::default(),
            peer_losses: Family::default(),
            reader_claims: Family::default(),
            connections_opened: Counter::default(),
            clients: Gauge::default(),
            idle_connections: Gauge::default(),
            configuration_version: Gauge::default(),
            condemned_parts: Gauge::default(),
            limited_endpoints: Gauge::default(),
            brittle_services: Gauge::default(),
            leaving_endpoints: Gauge::default(),
            recorded_streams: Gauge::default(),
            ordered_endpoints: Family::default(),
            orders: Family::default(),
            store_era: Gauge::default(),
            duty_holder: Gauge::default(),
            duty_calls: Family::default(),
            usage_windows_reported: Counter::default(),
            usage_reports_late: Counter::default(),
            first_byte_seconds: Family::new_with_constructor(latencies as fn() -> Histogram),
            complete_response_seconds: Family::new_with_constructor(latencies as fn() -> Histogram),
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    fn register(&mut self) {
        let r = &mut self.registry;
        r.register("requests", "Requests of clients by result", self.requests.clone());
        r.register("attempts", "Sends to endpoints by outcome", self.attempts.clone());
        r.register(
            "stream_ends",
            "Streams of endpoints by framing and end",
            self.stream_ends.clone(),
        );
        r.register(
            "continuations",
            "Streams that clients continue, by what is known of their software version",
            self.continuations.clone(),
        );
        r.register("store_calls", "Calls to the store by result", self.store_calls.clone());
        r.register(
            "feed_bytes",
            "Bytes of responses to other daemons by their largest content",
            self.feed_bytes.clone(),
        );
        r.register(
            "feed_request_bytes",
            "Bytes of requests of other daemons",
            self.feed_request_bytes.clone(),
        );
        r.register(
            "peer_losses",
            "Followed daemons that were left, by fault",
            self.peer_losses.clone(),
        );
        r.register(
            "reader_claims",
            "Attempts to become the store reader, by outcome",
            self.reader_claims.clone(),
        );
        r.register(
            "connections_opened",
            "Connections opened to endpoints",
            self.connections_opened.clone(),
        );
        r.register("clients", "Open connections of clients", self.clients.clone());
        r.register(
            "idle_connections",
            "Kept connections to endpoints",
            self.idle_connections.clone(),
        );
        r.register(
            "configuration_version",
            "Version of the configuration in force",
            self.configuration_version.clone(),
        );
        r.register(
            "condemned_parts",
            "Prompt parts that are kept from endpoints",
            self.condemned_parts.clone(),
        );
        r.register(
            "limited_endpoints",
            "Endpoints that state a limit",
            self.limited_endpoints.clone(),
        );
        r.register(
            "brittle_services",
            "Services whose endpoints fall over from rejections",
            self.brittle_services.clone(),
        );
        r.register(
            "leaving_endpoints",
            "Registered endpoints that leave",
            self.leaving_endpoints.clone(),
        );
        r.register(
            "recorded_streams",
            "Streams whose software version is kept",
            self.recorded_streams.clone(),
        );
        r.register(
            "ordered_endpoints",
            "Endpoints that this daemon has ordered as the holder of the duty",
            self.ordered_endpoints.clone(),
        );
        r.register("orders", "Orders of endpoints by outcome", self.orders.clone());
        r.register(
            "store_era",
            "The latest era of the store, which rises when it comes back as an older copy",
            self.store_era.clone(),
        );
        r.register(
            "duty_holder",
            "Whether this daemon makes the calls to the platform that one makes for all",
            self.duty_holder.clone(),
        );
        r.register(
            "duty_calls",
            "Such calls of this daemon by duty and outcome",
            self.duty_calls.clone(),
        );
        r.register(
            "usage_windows_reported",
            "Windows whose usage report the platform has accepted",
            self.usage_windows_reported.clone(),
        );
        r.register(
            "usage_reports_late",
            "Usage reports that were accepted later than they were due",
            self.usage_reports_late.clone(),
        );
        r.register(
            "first_byte_seconds",
            "Time from a request to the head of its answer",
            self.first_byte_seconds.clone(),
        );
        r.register(
            "whole_answer_seconds",
            "Time from a request to the end of its answer",
            self.complete_response_seconds.clone(),
        );
    }

    /// Encodes the metrics in the OpenMetrics text format.
    pub(crate) fn text(&self) -> Result<String, std::fmt::Error> {
        let mut text = String::new();
        encode(&mut text, &self.registry)?;
        Ok(text)
    }
}
