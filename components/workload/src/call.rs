use crate::site::ClassSpec;
use crate::traffic::Request;

/// One request of a caller and what became of it.
#[derive(Clone, Debug)]
pub struct Call {
    /// The request.
    pub request: Request,
    /// The daemon that the caller reached.
    pub daemon: usize,
    /// The daemon of another data centre that works on it.
    pub remote: Option<usize>,
    /// Tokens that the caller has.
    pub received: u32,
    /// Tokens that engines generated for it.
    pub generated: u64,
    /// When the first token came.
    pub first_at: Option<u64>,
    /// When the answer was whole.
    pub done_at: Option<u64>,
    /// Whether it was refused.
    pub refused: bool,
    /// Bytes over the link.
    pub link_bytes: u64,
}

impl Call {
    /// Returns whether the answer came whole within the target of its class.
    pub fn attained(&self, class: &ClassSpec) -> bool {
        let at = self.request.at;
        let first = self.first_at.is_some_and(|first| first <= at + class.first_token);
        first && self.done_at.is_some_and(|done| done <= at + class.finish)
    }

    pub(crate) fn ended(&self) -> bool {
        self.refused || self.done_at.is_some()
    }
}
