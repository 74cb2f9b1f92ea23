use super::closing::set_reset_on_close;
use std::io::{self, Write};
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

/// Bytes that are sent of a part in which a response breaks off.
const BROKEN_PART_BYTES: usize = 9;
/// Events of a stream before it breaks off.
const WHOLE_EVENTS: usize = 2;

/// How a response with neither a length nor chunks ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UnframedEnd {
    /// The connection is closed after the whole response.
    Complete,
    /// The connection is closed within the third event of a stream; reset within another response.
    WithinEvent,
    /// The connection is closed after the head of a stream; reset after another head.
    AfterHead,
    /// The connection is reset after two events of a stream, or within another response.
    Reset,
}

/// A response with neither a length nor chunks.
#[derive(Debug)]
pub(super) struct UnframedResponse {
    /// The headers, each ended by CR LF.
    pub(super) headers: String,
    pub(super) is_stream: bool,
    /// The events of a stream, or the body of another response in one piece.
    pub(super) parts: Vec<String>,
    /// The pause after each part.
    pub(super) interval: Duration,
}

impl UnframedResponse {
    /// Sends the response. The caller closes the connection, which is reset if that is its end.
    pub(super) fn send(&self, end: UnframedEnd, writer: &mut TcpStream) -> io::Result<()> {
        write!(writer, "HTTP/1.1 200 X\r\n{}\r\n", self.headers)?;
        for part in &self.parts[..self.whole_parts(end)] {
            writer.write_all(part.as_bytes())?;
            thread::sleep(self.interval);
        }
        let breaks_part = match end {
            UnframedEnd::Complete | UnframedEnd::AfterHead => false,
            UnframedEnd::WithinEvent => true,
            UnframedEnd::Reset => !self.is_stream,
        };
        if breaks_part && let Some(part) = self.parts.get(self.whole_parts(end)) {
            writer.write_all(&part.as_bytes()[..BROKEN_PART_BYTES])?;
            thread::sleep(self.interval);
        }
        // Only a reset tells that a response which is not a stream is incomplete.
        if end == UnframedEnd::Reset || (end != UnframedEnd::Complete && !self.is_stream) {
            set_reset_on_close(writer)?;
        }
        Ok(())
    }

    fn whole_parts(&self, end: UnframedEnd) -> usize {
        match end {
            UnframedEnd::Complete => self.parts.len(),
            UnframedEnd::WithinEvent | UnframedEnd::Reset if self.is_stream => {
                WHOLE_EVENTS.min(self.parts.len())
            }
            _ => 0,
        }
    }
}
