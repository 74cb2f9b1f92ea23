//! Spans of requests and their attempts, kept for `explain` and exported by OTLP.

mod export;
mod table;
mod trace;

pub use export::export_spans;
pub use table::{ExportQueue, Span, SpanTable};
pub use trace::Trace;
