//! Spans, metrics and what operators are told.
