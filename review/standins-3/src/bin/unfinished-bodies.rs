//! Many clients send bodies of legal size at once, stop just short of their end and stay.

use standins_3::client::head;
use standins_3::memory_case::{Machine, SMALL_SITE_MEMORY_MB, run};
use standins_3::record::Record;
use std::io::{self, Write};
use std::net::TcpStream;
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

/// The size of a body: the `body_bytes` of the configuration.
const BODY_BYTES: usize = 4 << 20;
/// The clients of a round.
const CLIENTS: usize = 30;
/// How long they stay, which is less than the `idle_ms` of the configuration.
const STAY: Duration = Duration::from_secs(3);

fn main() -> ExitCode {
    run(SMALL_SITE_MEMORY_MB, send_bodies)
}

fn send_bodies(
    machine: &Machine,
    round: u64,
    record: &Record,
    has_trouble: bool,
) -> io::Result<()> {
    let clients =
        if has_trouble { "at once, without the last byte" } else { "one after the other" };
    record.line(&format!(
        "{} round {round}: {CLIENTS} clients send {BODY_BYTES} bytes each, {clients}",
        machine.name
    ));
    let body = vec![b'x'; BODY_BYTES];
    let mut open = Vec::new();
    for client in 0..CLIENTS {
        let id = format!("{}-body-{round}-{client}", machine.name);
        let mut stream = TcpStream::connect(machine.front)?;
        let head = head("/unsafe/1", &id, 5_000, &format!("Content-Length: {BODY_BYTES}\r\n"));
        stream.write_all(head.as_bytes())?;
        if has_trouble {
            stream.write_all(&body[1..])?;
            open.push(stream);
        } else {
            stream.write_all(&body)?;
            stream.set_read_timeout(Some(Duration::from_secs(6)))?;
            let mut reader = io::BufReader::new(stream);
            let answer = standins_3::http::read_message(&mut reader, true)?;
            record.quiet(&format!("{id}: {}", answer.map_or(String::new(), |a| a.start)));
        }
    }
    if has_trouble {
        thread::sleep(STAY);
    }
    Ok(())
}
