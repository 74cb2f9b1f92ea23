use super::trace::random_span;
use crate::spans::Trace;
use crate::tables::lock;
use crossbeam::channel::{Receiver, Sender, bounded};
use std::collections::{BTreeMap, VecDeque};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime};

/// Requests whose spans are kept for `explain`.
const REQUESTS_KEPT: usize = 2_048;

/// Spans that wait for export.
const EXPORT_QUEUE: usize = 8_192;

/// One hop of a request, from its start to its end.
#[derive(Clone, Debug)]
pub struct Span {
    /// The name of the hop.
    pub name: &'static str,
    /// The trace.
    pub trace_id: u128,
    /// The id of the span.
    pub id: u64,
    /// The span that it belongs to, or 0.
    pub parent: u64,
    /// When it started.
    pub start: SystemTime,
    /// How long it took.
    pub duration: Duration,
    /// What is known of the hop.
    pub attributes: BTreeMap<&'static str, String>,
}

impl Span {
    /// Starts a span below the span of the request in this daemon.
    pub fn start(name: &'static str, trace: &Trace) -> Span {
        Span {
            name,
            trace_id: trace.trace_id,
            id: random_span(),
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

    /// Adds an attribute.
    pub fn set(&mut self, name: &'static str, value: impl ToString) {
        self.attributes.insert(name, value.to_string());
    }

    /// Ends the span.
    pub fn close(self, table: &SpanTable, request: &str) {
        let duration = self.start.elapsed().unwrap_or_default();
        table.add(request, Span { duration, ..self });
    }
}

#[derive(Debug, Default)]
struct Kept {
    by_request: BTreeMap<String, Vec<Span>>,
    oldest: VecDeque<String>,
}

/// The spans that wait for export.
#[derive(Debug)]
pub struct ExportQueue {
    /// The spans.
    pub rx: Receiver<Span>,
    /// Spans that were lost.
    pub unexported: Arc<AtomicU64>,
}

/// The spans of the newest requests, and the way to the exporter.
#[derive(Debug)]
pub struct SpanTable {
    kept: Mutex<Kept>,
    tx: Sender<Span>,
    rx: Receiver<Span>,
    unexported: Arc<AtomicU64>,
}

impl Default for SpanTable {
    fn default() -> SpanTable {
        let (tx, rx) = bounded(EXPORT_QUEUE);
        SpanTable { kept: Mutex::default(), tx, rx, unexported: Arc::default() }
    }
}

impl SpanTable {
    /// Returns the spans of a request in the order of their ends.
    pub fn of_request(&self, request: &str) -> Vec<Span> {
        lock(&self.kept).by_request.get(request).cloned().unwrap_or_default()
    }

    /// Returns the queue of the exporter.
    pub fn queue(&self) -> ExportQueue {
        ExportQueue { rx: self.rx.clone(), unexported: Arc::clone(&self.unexported) }
    }

    /// Returns how many spans found the exporter's queue full or the collector failing.
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
        kept.oldest.push_back(request.to_string());
        if kept.oldest.len() > REQUESTS_KEPT {
            let oldest = kept.oldest.pop_front().unwrap_or_default();
            kept.by_request.remove(&oldest);
        }
    }
}
