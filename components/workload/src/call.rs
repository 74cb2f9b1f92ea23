use crate::site::ClassSpec;
use crate::traffic::Request;

/// A request and its progress through the simulation.
#[derive(Clone, Debug)]
pub struct Call {
    pub request: Request,
    /// The daemon that the caller is connected to.
    pub daemon: usize,
    /// The daemon of another data centre that the call was forwarded to.
    pub forwarded_to: Option<usize>,
    /// Tokens that the caller has received.
    pub received_tokens: u32,
    /// Tokens that engines generated over all attempts.
    pub generated_tokens: u64,
    /// Time of the first token, in milliseconds.
    pub first_token_at: Option<u64>,
    /// Time at which the response was complete, in milliseconds.
    pub finished_at: Option<u64>,
    pub refused: bool,
    /// Bytes sent between regions.
    pub link_bytes: u64,
}

impl Call {
    /// Whether the first token and the complete response met the targets of the class.
    pub fn met_target(&self, class: &ClassSpec) -> bool {
        let sent_at = self.request.sent_at_ms;
        let first =
            self.first_token_at.is_some_and(|first| first <= sent_at + class.first_token_ms);
        first && self.finished_at.is_some_and(|done| done <= sent_at + class.finish_ms)
    }

    pub(crate) fn has_ended(&self) -> bool {
        self.refused || self.finished_at.is_some()
    }
}
