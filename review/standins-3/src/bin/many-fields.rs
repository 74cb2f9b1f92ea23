//! A crowd of clients sends heads of legal size with many short fields, stops one byte before the end of
//! the request and stays.

use standins_3::client::head;
use standins_3::gateway::open_files_limit;
use standins_3::http::read_message;
use standins_3::memory_case::{Machine, run};
use standins_3::record::Record;
use std::io::{self, BufReader, Write};
use std::net::TcpStream;
use std::process::ExitCode;
use std::thread;
use std::time::{Duration, Instant};

/// The clients of a round. A machine has 4,100 descriptors, and its process admits 3,200 clients.
const CLIENTS: usize = 3_000;
/// The fields of a head beside the usual ones, and the size of their values. Together they are less than
/// the `header_bytes` of the configuration.
const FIELDS: usize = 90;
const VALUE_BYTES: usize = 160;
/// How long the clients stay after the last one has come, less than the `header_ms` of the
/// configuration.
const STAY: Duration = Duration::from_millis(1_500);
/// Time limits of a client, which a killed process does not meet.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// The descriptors that this process and a gateway need.
const MIN_FILES: u64 = 4_100;

fn main() -> ExitCode {
    if open_files_limit().is_none_or(|limit| limit < MIN_FILES) {
        eprintln!("the case needs a limit of {MIN_FILES} open files");
        return ExitCode::from(2);
    }
    run(send_heads)
}

fn send_heads(machine: &Machine, round: u64, record: &Record, has_trouble: bool) -> io::Result<()> {
    let what = if has_trouble {
        "send a request but for its last byte and stay"
    } else {
        "send a request and leave"
    };
    record.line(&format!("{} round {round}: {CLIENTS} clients {what}", machine.name));
    let value = "y".repeat(VALUE_BYTES);
    let fields: String = (0..FIELDS).map(|field| format!("X-{field:03}: {value}\r\n")).collect();
    let mut open = Vec::with_capacity(CLIENTS);
    let (started, mut bytes) = (Instant::now(), 0);
    for client in 0..CLIENTS {
        let id = format!("{}-head-{round}-{client}", machine.name);
        // A crowd comes within about a second, and a client that is not accepted in time tries again.
        if client % 10 == 0 {
            thread::sleep(Duration::from_millis(2));
        }
        let connect = || TcpStream::connect_timeout(&machine.front, CONNECT_TIMEOUT);
        let mut stream = connect().or_else(|_| connect())?;
        stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
        if has_trouble {
            let head = head("/unsafe/1", &id, 5_000, &format!("Content-Length: 1\r\n{fields}"));
            stream.write_all(head.as_bytes())?;
            bytes += head.len();
            if client % 500 == 499 {
                let ms = started.elapsed().as_millis();
                record.quiet(&format!("{} clients have sent {bytes} bytes in {ms} ms", client + 1));
            }
        } else {
            let head = head("/none/1", &id, 5_000, "Content-Length: 0\r\n");
            stream.write_all(head.as_bytes())?;
            stream.set_read_timeout(Some(Duration::from_secs(6)))?;
            let answer = read_message(&mut BufReader::new(stream), false)?;
            if client % 100 == 0 {
                record.quiet(&format!("{id}: {}", answer.map_or(String::new(), |a| a.start)));
            }
            continue;
        }
        open.push(stream);
    }
    thread::sleep(STAY);
    record.quiet(&format!("{} round {round}: all clients have come", machine.name));
    Ok(())
}
