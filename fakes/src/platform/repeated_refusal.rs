use std::io::{self, Write};

/// When an endpoint writes the refusal of an earlier request on a connection again, while it runs a
/// later one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RepeatedRefusal {
    /// Before the response.
    BeforeResponse,
    /// Before the response and without the id of a request.
    BeforeResponseWithoutId,
    /// In place of the response.
    InPlaceOfResponse,
    /// After the response, while the connection is idle.
    AtRest,
    /// After the head of the response and a part of its body.
    WithinResponse,
}

/// The requests of one connection to an endpoint that repeats refusals: it refuses the first one.
#[derive(Debug, Default)]
pub(super) struct RefusalMemory {
    refused_id: Option<String>,
}

impl RefusalMemory {
    /// Whether the next request on the connection is run.
    pub(super) fn runs_next(&self) -> bool {
        self.refused_id.is_some()
    }

    /// Responds to the request `id`, which was run if an earlier one was refused.
    pub(super) fn respond(
        &mut self,
        when: RepeatedRefusal,
        id: &str,
        signed_headers: &str,
        to: &mut impl Write,
    ) -> io::Result<()> {
        let Some(refused_id) = &self.refused_id else {
            self.refused_id = Some(id.to_owned());
            return to.write_all(refusal(id).as_bytes());
        };
        let again = match when {
            RepeatedRefusal::BeforeResponseWithoutId => refusal(""),
            _ => refusal(refused_id),
        };
        let body = format!("answer to {id}");
        let length = body.len();
        let head = format!("HTTP/1.1 200 X\r\n{signed_headers}content-length: {length}\r\n\r\n");
        let (first, second) = body.split_at(3);
        let text = match when {
            RepeatedRefusal::BeforeResponse | RepeatedRefusal::BeforeResponseWithoutId => {
                format!("{again}{head}{body}")
            }
            RepeatedRefusal::InPlaceOfResponse => again,
            RepeatedRefusal::AtRest => format!("{head}{body}{again}"),
            RepeatedRefusal::WithinResponse => format!("{head}{first}{again}{second}"),
        };
        to.write_all(text.as_bytes())
    }
}

/// The text of a refusal that states that the request was not run.
fn refusal(id: &str) -> String {
    let id = match id {
        "" => String::new(),
        id => format!("x-chervilspur-attempt-id: {id}\r\n"),
    };
    format!("HTTP/1.1 503 X\r\n{id}x-chervilspur-not-executed: 1\r\ncontent-length: 0\r\n\r\n")
}
