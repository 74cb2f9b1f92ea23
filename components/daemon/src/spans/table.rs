use super::trace::random_span_id;
use crate::spans::Trace;
use crate::tables::lock;
use crossbeam::channel::{Receiver, Sender, bounded};
use std::collections::{BTreeMap, VecDeque};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime};

/// Number of requests whose spans are kept for `explain`.
const MAX_KEPT_REQUESTS: usize = 2_048;

/// Capacity of the export queue; further spans are dropped.
const EXPORT_QUEUE_SPANS: usize = 8_192;

/// One operation on a request, such as an attempt.
#[derive(Clone, Debug)]
pub struct Span {
    /// The name of the operation.
    pub name: &'static str,
    pub trace_id: u128,
    pub id: u64,
    /// The id of the parent span, or 0.
    pub parent: u64,
    pub start: SystemTime,
    /// Zero until the span is closed.
    pub duration: Duration,
    pub attributes: BTreeMap<&'static str, String>,
}

impl Span {
    /// Starts a span whose parent is the span of the request in this daemon.
    pub fn start(name: &'static str, trace: &Trace) -> Span {
        Span {
            name,
            trace_id: trace.trace_id,
            id: random_span_id(),
            parent: trace.root,
            start: SystemTime::now(),
            duration: Duration::ZERO,
            attributes: BTreeMap::new(),
        }
    }

    /// Starts the span of the request in this daemon.
    pub fn root(trace: &Trace) -> Span {
        Span { id: trace.root, parent: trace.parent, ..Span::start("request", trace) }
    }

    /// Sets an attribute to the text of a value.
    pub fn set(&mut self, name: &'static str, value: impl ToString) {
        self.attributes.insert(name, value.to_string());
    }

    /// Ends the span, keeps it and queues it for export.
    pub fn close(self, table: &SpanTable, request: &str) {
        let duration = self.start.elapsed().unwrap_or_default();
        table.add(request, Span { duration, ..self });
    }
}

#[derive(Debug, Default)]
struct KeptSpans {
    by_request: BTreeMap<String, Vec<Span>>,
    /// The ids of the requests in `by_request`, oldest first.
    ids_by_age: VecDeque<String>,
}

/// The receiving end of the export queue.
#[derive(Debug)]
pub struct ExportQueue {
    pub rx: Receiver<Span>,
    /// Counts the spans that were not exported.
    pub unexported: Arc<AtomicU64>,
}

/// The spans of the newest requests, and the sending end of the export queue.
#[derive(Debug)]
pub struct SpanTable {
    kept: Mutex<KeptSpans>,
    tx: Sender<Span>,
    rx: Receiver<Span>,
    unexported: Arc<AtomicU64>,
}

impl Default for SpanTable {
    fn default() -> SpanTable {
        let (tx, rx) = bounded(EXPORT_QUEUE_SPANS);
        SpanTable { kept: Mutex::default(), tx, rx, unexported: Arc::default() }
    }
}

impl SpanTable {
    /// The spans of a request in the order in which they ended.
    pub fn of_request(&self, request: &str) -> Vec<Span> {
        lock(&self.kept).by_request.get(request).cloned().unwrap_or_default()
    }

    /// The receiving end of the export queue.
    pub fn export_queue(&self) -> ExportQueue {
        ExportQueue { rx: self.rx.clone(), unexported: Arc::clone(&self.unexported) }
    }

    /// The number of spans that were dropped because the queue was full or the collector failed.
    pub fn unexported(&self) -> u64 {
        self.unexported.load(Ordering::Relaxed)
    }

    fn add(&self, request: &str, span: Span) {
        if self.tx.try_send(span.clone()).is_err() {
            self.unexported.fetch_add(1, Ordering::Relaxed);
        }
        let mut kept = lock(&self.kept);
        if let Some(spans) = kept.by_request.get_mut(request) {
            spans.push(span);
            return;
        }
        kept.by_request.insert(request.to_string(), vec![span]);
        kept.ids_by_age.push_back(request.to_string());
        if kept.ids_by_age.len() > MAX_KEPT_REQUESTS {
            let oldest = kept.ids_by_age.pop_front().unwrap_or_default();
            kept.by_request.remove(&oldest);
        }
    }
}
