use super::wire::Message;
use std::io::{self, Write};
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

/// How far an endpoint gets with its response before it crashes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrashStage {
    /// It sends nothing.
    BeforeHead,
    /// It has sent a part of a response with a length.
    WithinBody,
    /// It has sent a part of an event.
    WithinEvent,
    /// It has sent one event.
    AfterEvent,
}

impl CrashStage {
    /// Sends what is sent before the crash, with `pause` before and after it.
    pub(super) fn send(
        self,
        id: &str,
        seal: &str,
        pause: Duration,
        writer: &mut TcpStream,
    ) -> io::Result<()> {
        thread::sleep(pause);
        let headers =
            format!("x-chervilspur-attempt-id: {id}\r\nx-chervilspur-server-seal: {seal}\r\n");
        let stream_headers = format!(
            "{headers}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
        );
        match self {
            CrashStage::BeforeHead => {}
            CrashStage::WithinBody => {
                write!(writer, "HTTP/1.1 200 X\r\n{headers}content-length: 100\r\n\r\npart")?;
            }
            CrashStage::WithinEvent => {
                write!(writer, "HTTP/1.1 200 X\r\n{stream_headers}3\r\nid:\r\n")?;
            }
            CrashStage::AfterEvent => {
                let event = "id: 1\ndata: piece 1\n\n";
                let len = event.len();
                write!(writer, "HTTP/1.1 200 X\r\n{stream_headers}{len:x}\r\n{event}\r\n")?;
            }
        }
        thread::sleep(pause);
        Ok(())
    }
}

/// The request body that crashes an endpoint, and how.
#[derive(Clone, Debug, PartialEq)]
pub struct CrashingBody {
    /// The complete body.
    pub body: String,
    /// When it crashes.
    pub stage: CrashStage,
    /// The time from a crash to the restart.
    pub restart_after: Duration,
}

impl CrashingBody {
    pub(super) fn is_in(&self, message: &Message) -> bool {
        message.body == self.body.as_bytes()
    }
}
