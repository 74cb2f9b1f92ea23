//! Responses that begin before the endpoint has received the whole request, and break off.

use crate::scripted_site::{SIGNED_HEAD, ScriptedSite};
use fakes::{ClientResponse, Step};
use rstest::rstest;
use std::io;
use std::time::Duration;

/// Uploads of which the kernel takes all, and of which it takes a part, before the endpoint reads.
const UPLOAD_BYTES: [usize; 2] = [1_000_000, 8_000_000];
const BODY_PIECE_BYTES: usize = 256 << 10;
const EVENTS: &str = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n";
const TIME_LIMIT_MS: u64 = 20_000;

/// How a client states the length of its upload.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Framing {
    Length,
    Chunks,
}

/// Sends an upload in pieces, and reads the response.
fn upload(
    site: &ScriptedSite,
    target: &str,
    id: &str,
    bytes: usize,
    framing: Framing,
) -> io::Result<ClientResponse> {
    let stated = match framing {
        Framing::Length => format!("Content-Length: {bytes}"),
        Framing::Chunks => String::from("Transfer-Encoding: chunked"),
    };
    let mut client = site.send_head(target, id, &stated)?;
    let body = vec![b'x'; bytes];
    for piece in body.chunks(BODY_PIECE_BYTES) {
        match framing {
            Framing::Length => client.send(piece)?,
            Framing::Chunks => {
                client.send(format!("{:x}\r\n", piece.len()).as_bytes())?;
                client.send(piece)?;
                client.send(b"\r\n")?;
            }
        }
    }
    if framing == Framing::Chunks {
        client.send(b"0\r\n\r\n")?;
    }
    client.read_response()
}

/// The response has no length, so only the reset tells that it is a part. Guards against a reset that
/// the write of the upload sees, after which the response appears to end in the ordinary way.
#[rstest]
fn response_that_is_reset_during_the_upload_is_not_completed(
    #[values("/safe/", "/once/", "/fixed/")] target: &str,
    #[values(Framing::Length, Framing::Chunks)] framing: Framing,
) {
    let mut site = ScriptedSite::start(TIME_LIMIT_MS);
    site.keep_one();
    let media_type = if target == "/fixed/" { "Content-Type: text/event-stream\r\n" } else { "" };
    let ends = [
        Step::Pause(Duration::ZERO),
        Step::Pause(Duration::from_millis(5)),
        Step::ReadBody(100_000),
        Step::ReadBody(900_000),
    ];
    let mut completed = Vec::new();
    for (number, end) in ends.iter().enumerate() {
        for (repeats, bytes) in [1, 5_000].into_iter().zip(UPLOAD_BYTES.into_iter().rev()) {
            let part = EVENTS.repeat(repeats);
            let head = format!("{SIGNED_HEAD}{media_type}\r\n{part}");
            site.set(&[Step::ReadHead, Step::Write(head), end.clone(), Step::Reset]);
            let id = format!("r{number}-{bytes}");
            let response = upload(&site, target, &id, bytes, framing).unwrap();
            if response.message.status() != 502 && response.is_complete {
                completed.push((id.clone(), response.message.start, response.message.body.len()));
            }
            assert_eq!(site.sends(&id), 1, "{id}");
        }
    }
    assert!(completed.is_empty(), "parts passed on as complete responses: {completed:?}");
}
