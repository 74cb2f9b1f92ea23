//! One client sends a body of legal size in chunks of one byte.

use standins_3::client::head;
use standins_3::http::read_message;
use standins_3::memory_case::{Machine, SMALL_SITE_MEMORY_MB, run};
use standins_3::record::Record;
use std::io::{self, BufReader, Write};
use std::net::TcpStream;
use std::process::ExitCode;
use std::time::Duration;

/// The size of the body: the `body_bytes` of the configuration.
const BODY_BYTES: usize = 4 << 20;
/// The size of a chunk without the disruption.
const ORDINARY_CHUNK: usize = 16 << 10;

fn main() -> ExitCode {
    run(SMALL_SITE_MEMORY_MB, send_body)
}

fn send_body(machine: &Machine, round: u64, record: &Record, has_trouble: bool) -> io::Result<()> {
    let size = if has_trouble { 1 } else { ORDINARY_CHUNK };
    let id = format!("{}-chunked-{round}", machine.name);
    record.line(&format!("{id}: {BODY_BYTES} bytes in chunks of {size} bytes"));
    let mut stream = TcpStream::connect(machine.front)?;
    stream.set_read_timeout(Some(Duration::from_secs(6)))?;
    let head = head("/unsafe/1", &id, 5_000, "Transfer-Encoding: chunked\r\n");
    stream.write_all(head.as_bytes())?;
    let mut chunk = format!("{size:x}\r\n").into_bytes();
    chunk.extend(std::iter::repeat_n(b'x', size));
    chunk.extend(b"\r\n");
    let per_write = ORDINARY_CHUNK.div_ceil(size);
    let piece = chunk.repeat(per_write);
    for _ in 0..BODY_BYTES / (size * per_write) {
        stream.write_all(&piece)?;
    }
    stream.write_all(b"0\r\n\r\n")?;
    let answer = read_message(&mut BufReader::new(stream), true)?;
    let text = answer.map_or(String::from("channel closed without an answer"), |a| a.start);
    record.line(&format!("{id}: {text}"));
    Ok(())
}
