//! Copies of a response that arrive on its connection after it, when the connection carries the next
//! request.

use crate::scripted_site::{SIGNED_HEAD, ScriptedSite, response};
use fakes::Step;
use rstest::rstest;
use std::time::Duration;

const TIME_LIMIT_MS: u64 = 20_000;
/// A body of which the endpoint leaves a part in the gateway while the copy arrives.
const LONG_BODY_BYTES: usize = 8_000_000;
const BODY: &[u8] = b"body";
const ANSWER: &str = "id: 1\ndata: answer to {id}\n\n";
const COPY: &str = "HTTP/1.1 200 OK\r\nX-Chervilspur-Attempt-Id: {first}\r\n\
                    X-Chervilspur-Server-Seal: {seal}\r\nContent-Length: 28\r\n\r\n\
                    id: 1\ndata: answer to {first}\n\n";

/// When the copy arrives, in one or two pieces.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Arrival {
    /// With the response.
    Together,
    /// While the connection carries no request.
    Idle,
    /// When the endpoint has received the next request.
    NextRequest,
    /// While the gateway sends the next request.
    NextUpload,
}

/// The pieces of the copy, cut before one of its parts.
fn pieces(cut: &str) -> (String, String) {
    let bytes = if cut.is_empty() { 0 } else { COPY.find(cut).unwrap() };
    (COPY[..bytes].to_owned(), COPY[bytes..].to_owned())
}

fn steps(arrival: Arrival, cut: &str) -> Vec<Step> {
    let (first, rest) = pieces(cut);
    let answer = response(SIGNED_HEAD, ANSWER);
    let Step::Write(answer_text) = &answer else { unreachable!() };
    let read = |bytes| [Step::ReadHead, Step::ReadBody(bytes)];
    let pause = Step::Pause(Duration::from_millis(5));
    let mut steps = read(BODY.len()).to_vec();
    match arrival {
        Arrival::Together => {
            // The answer's placeholders are filled before the next request is read.
            steps.push(Step::Write(format!("{answer_text}{first}")));
            steps.extend(read(BODY.len()));
            steps.push(Step::Write(rest));
        }
        Arrival::Idle => {
            steps.extend([answer.clone(), pause, Step::Write(first)]);
            steps.extend(read(BODY.len()));
            steps.push(Step::Write(rest));
        }
        Arrival::NextRequest => {
            steps.push(answer.clone());
            steps.extend(read(BODY.len()));
            steps.extend([Step::Write(first), pause, Step::Write(rest)]);
        }
        Arrival::NextUpload => {
            steps.extend([answer.clone(), Step::ReadHead]);
            steps.extend([Step::Write(first), pause, Step::Write(rest)]);
            steps.push(Step::ReadBody(LONG_BODY_BYTES));
        }
    }
    steps.extend([answer, Step::ReadHead]);
    steps
}

/// Guards against the copy being taken for the response to the next request. The ids have as
/// many characters as `{id}`, so that the stated lengths are right.
#[rstest]
fn late_copy_of_a_response_is_not_passed_on(
    #[values("/safe/", "/once/", "/stream/")] target: &str,
    #[values(Arrival::Together, Arrival::Idle, Arrival::NextRequest, Arrival::NextUpload)]
    arrival: Arrival,
) {
    let mut site = ScriptedSite::start(TIME_LIMIT_MS);
    site.keep_one();
    let cuts = ["", "1.1", "X-Chervilspur-Attempt", "X-Chervilspur-Server", "\r\nid", "answer"];
    for (number, cut) in cuts.iter().enumerate() {
        site.set(&steps(arrival, cut));
        let (first, next) = (format!("a00{number}"), format!("b00{number}"));
        let (status, _, text) = site.send("/safe/", &first, BODY);
        assert_eq!((status, text), (200, ANSWER.replace("{id}", &first)));
        let body = match arrival {
            Arrival::NextUpload => vec![b'x'; LONG_BODY_BYTES],
            _ => BODY.to_vec(),
        };
        let (status, _, text) = site.send(target, &next, &body);
        let is_own = text == ANSWER.replace("{id}", &next);
        assert!(status == 502 || (status == 200 && is_own), "cut before {cut:?}: {status} {text}");
        assert!(!text.contains("not_run"), "cut before {cut:?}: {text}");
        assert_eq!(site.sends(&next), 1, "cut before {cut:?}");
    }
}
