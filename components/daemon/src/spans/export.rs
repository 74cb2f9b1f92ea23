use super::{ExportQueue, Span};
use async_trait::async_trait;
use bytes::Bytes;
use futures_executor::block_on;
use http::{Request, Response};
use opentelemetry::trace::{
    SpanContext, SpanId, SpanKind, Status, TraceFlags, TraceId, TraceState,
};
use opentelemetry::{InstrumentationScope, KeyValue};
use opentelemetry_http::{HttpClient, HttpError};
use opentelemetry_otlp::{ExporterBuildError, SpanExporter, WithExportConfig, WithHttpConfig};
use opentelemetry_sdk::trace::{SpanData, SpanEvents, SpanExporter as Export, SpanLinks};
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;
use utils::prepare_request;

const EXPORT_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum number of spans per export.
const MAX_BATCH_SPANS: usize = 512;

/// The HTTP client of the exporter.
#[derive(Debug)]
struct ExportClient;

#[async_trait]
impl HttpClient for ExportClient {
    async fn send_bytes(&self, req: Request<Bytes>) -> Result<Response<Bytes>, HttpError> {
        let (parts, body) = req.into_parts();
        let mut sent = prepare_request(attohttpc::post(parts.uri.to_string()), EXPORT_TIMEOUT);
        for (name, value) in &parts.headers {
            sent = sent.header(name, value);
        }
        let res = sent.bytes(body).send()?;
        let status = res.status();
        Ok(Response::builder().status(status).body(Bytes::from(res.bytes()?))?)
    }
}

/// Exports queued spans to a collector until the queue is closed; a failed batch is counted and
/// dropped.
pub fn export_spans(queue: ExportQueue, collector: SocketAddr) -> Result<(), ExporterBuildError> {
    let exporter = SpanExporter::builder()
        .with_http()
        .with_http_client(ExportClient)
        .with_endpoint(format!("http://{collector}/v1/traces"))
        .build()?;
    while let Ok(span) = queue.rx.recv() {
        let mut batch = vec![span_data(span)];
        batch.extend(queue.rx.try_iter().take(MAX_BATCH_SPANS - 1).map(span_data));
        let len = batch.len() as u64;
        if let Err(e) = block_on(exporter.export(batch)) {
            queue.unexported.fetch_add(len, Ordering::Relaxed);
            log::warn!("cannot export {len} spans to {collector}; they are dropped: {e}");
        }
    }
    Ok(())
}

fn span_data(span: Span) -> SpanData {
    let attributes = span.attributes.into_iter().map(|(name, value)| KeyValue::new(name, value));
    SpanData {
        span_context: SpanContext::new(
            TraceId::from(span.trace_id),
            SpanId::from(span.id),
            TraceFlags::SAMPLED,
            false,
            TraceState::default(),
        ),
        parent_span_id: SpanId::from(span.parent),
        parent_span_is_remote: span.name == "request",
        span_kind: if span.name == "request" { SpanKind::Server } else { SpanKind::Client },
        name: span.name.into(),
        start_time: span.start,
        end_time: span.start + span.duration,
        attributes: attributes.collect(),
        dropped_attributes_count: 0,
        events: SpanEvents::default(),
        links: SpanLinks::default(),
        status: Status::Unset,
        instrumentation_scope: InstrumentationScope::builder("chervilspur").build(),
    }
}
