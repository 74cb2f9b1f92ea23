use utils::random_id;

/// The W3C trace context of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Trace {
    /// Never 0.
    pub trace_id: u128,
    /// The span of the caller, or 0 if the trace starts here.
    pub parent: u64,
    /// The span of the request in this daemon.
    pub root: u64,
}

impl Trace {
    /// Continues the trace of a caller's `traceparent`, or starts a new one if that is missing or
    /// invalid.
    pub fn from_header(traceparent: Option<&str>) -> Trace {
        let (trace_id, parent) = traceparent.and_then(parse).unwrap_or((random_id(), 0));
        Trace { trace_id, parent, root: random_span_id() }
    }

    /// The `traceparent` for a request whose parent span is `span`.
    pub fn header(&self, span: u64) -> String {
        format!("00-{:032x}-{span:016x}-01", self.trace_id)
    }
}

/// A random span id; never 0.
pub fn random_span_id() -> u64 {
    (random_id() as u64).max(1)
}

fn parse(traceparent: &str) -> Option<(u128, u64)> {
    let mut parts = traceparent.split('-');
    let version = parts.next()?;
    let (trace_id, parent) = (parts.next()?, parts.next()?);
    let lengths = [version.len(), trace_id.len(), parent.len()];
    let is_hex = |part: &str| part.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
    let all_hex = [version, trace_id, parent].into_iter().all(is_hex);
    if lengths != [2, 32, 16] || !all_hex || version == "ff" {
        return None;
    }
    let trace_id = u128::from_str_radix(trace_id, 16).ok()?;
    let parent = u64::from_str_radix(parent, 16).ok()?;
    if trace_id == 0 || parent == 0 { None } else { Some((trace_id, parent)) }
}
