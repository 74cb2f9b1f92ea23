use serde::Deserialize;

/// Statuses whose response must carry a retry-after time.
const RETRY_STATUSES: [u16; 2] = [429, 503];

/// The log line of a `refused` event.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(default)]
pub struct RefusalLine {
    /// The request id.
    pub request: String,
    /// The route, or a dash if none matched.
    pub route: String,
    /// The HTTP status of the response.
    pub status: u16,
    /// The reason, such as `overloaded`.
    pub reason: String,
    /// Whether the request may have run, such as `not_run`.
    pub verdict: String,
    /// The version of the active configuration.
    pub version: Option<u64>,
    /// The age of the freshness confirmation of the keys, in milliseconds.
    pub proof_age_ms: Option<u64>,
    /// The retry-after time, in seconds.
    pub retry_after_s: Option<f64>,
    /// Number of attempts that may have reached an endpoint.
    pub sends: Option<u32>,
    /// The time from arrival to refusal, in milliseconds.
    pub after_ms: Option<u64>,
    /// The cause, with its figures.
    pub text: String,
}

impl RefusalLine {
    /// Parses a log line, which may have other text before the JSON object. `None` for other events
    /// and for the truncated last line of a killed process.
    pub fn parse(line: &str) -> Option<RefusalLine> {
        let json = &line[line.find('{')?..];
        let is_refusal = json.contains("\"event\":\"refused\"");
        if is_refusal { serde_json::from_str(json).ok() } else { None }
    }

    /// The names of the fields that are missing to explain the refusal from this line alone.
    pub fn missing_fields(&self) -> Vec<&'static str> {
        let was_sent = self.sends.is_some_and(|sends| sends > 0);
        let needs_version = self.reason != "not_ready" && self.reason != "malformed_request";
        let needs_proof_age = self.reason == "store_unavailable" && !self.text.contains("never");
        let fields = [
            ("request", self.request.is_empty()),
            ("route", self.route.is_empty() || (was_sent && self.route == "-")),
            ("status", self.status == 0),
            ("reason", self.reason.is_empty()),
            ("verdict", self.verdict.is_empty()),
            ("version", needs_version && self.version.is_none()),
            ("proof_age_ms", needs_proof_age && self.proof_age_ms.is_none()),
            (
                "retry_after_s",
                RETRY_STATUSES.contains(&self.status) && self.retry_after_s.is_none(),
            ),
            ("sends", self.sends.is_none()),
            ("after_ms", self.after_ms.is_none()),
            ("text", self.text.is_empty()),
        ];
        fields.into_iter().filter(|(_, is_missing)| *is_missing).map(|(name, _)| name).collect()
    }
}
