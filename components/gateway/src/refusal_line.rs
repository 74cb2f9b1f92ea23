use serde::Deserialize;

/// Statuses with which a client is told when to come back.
const RETRY_STATUSES: [u16; 2] = [429, 503];

/// The log line of a refused request.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(default)]
pub struct RefusalLine {
    /// The request's id.
    pub request: String,
    /// The route, or a dash if none was found.
    pub route: String,
    /// The status of the answer.
    pub status: u16,
    /// Why it was refused.
    pub reason: String,
    /// Whether it has run.
    pub verdict: String,
    /// The version of the configuration that decided.
    pub version: Option<u64>,
    /// The age of the proof that no key was taken away, in milliseconds.
    pub proof_age_ms: Option<u64>,
    /// When the client may come back, in seconds.
    pub retry_after_s: Option<f64>,
    /// How often it was sent to an endpoint.
    pub sends: Option<u32>,
    /// The time from its arrival to the refusal, in milliseconds.
    pub after_ms: Option<u64>,
    /// What decided.
    pub text: String,
}

impl RefusalLine {
    /// Reads a line of the log, which may stand behind other text; nothing for other events and
    /// for the torn last line of a process that was killed.
    pub fn parse(line: &str) -> Option<RefusalLine> {
        let json = &line[line.find('{')?..];
        let is_refusal = json.contains("\"event\":\"refused\"");
        if is_refusal { serde_json::from_str(json).ok() } else { None }
    }

    /// Returns the fields that are missing to tell from this line alone why the request was
    /// refused.
    pub fn missing_fields(&self) -> Vec<&'static str> {
        let is_sent = self.sends.is_some_and(|sends| sends > 0);
        let needs_version = self.reason != "not_ready" && self.reason != "malformed_request";
        let needs_proof_age = self.reason == "store_unavailable" && !self.text.contains("never");
        let fields = [
            ("request", self.request.is_empty()),
            ("route", self.route.is_empty() || (is_sent && self.route == "-")),
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
