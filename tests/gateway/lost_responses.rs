//! Requests whose endpoint received them, and whose response was lost.

use crate::scripted_site::{SIGNED_HEAD, ScriptedSite, response};
use fakes::Step;
use rstest::rstest;

const TIME_LIMIT_MS: u64 = 20_000;
const BODY: &[u8] = b"body";
/// A body of which the kernel of the gateway takes only a part before the endpoint reads.
const LONG_BODY_BYTES: usize = 8_000_000;

/// What of the response arrives before the connection ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Lost {
    All,
    /// All but a part of the head.
    RestOfHead,
    /// All but the head.
    Body,
    /// All, while the request is on its way.
    AllDuringUpload,
}

/// Guards against running such a request again where its route forbids that, and against telling its
/// client that it has not run.
#[rstest]
fn request_whose_response_was_lost_runs_once_and_is_not_reported_as_not_run(
    #[values("/once/", "/fixed/")] target: &str,
    #[values(false, true)] is_reused: bool,
) {
    let mut site = ScriptedSite::start(TIME_LIMIT_MS);
    if is_reused {
        site.keep_one();
    }
    let mut number = 0;
    for lost in [Lost::All, Lost::RestOfHead, Lost::Body, Lost::AllDuringUpload] {
        for is_reset in [false, true] {
            number += 1;
            let mut steps = vec![];
            if is_reused {
                steps.extend([Step::ReadHead, Step::ReadBody(BODY.len())]);
                steps.push(response(SIGNED_HEAD, "ok"));
            }
            steps.push(Step::ReadHead);
            if lost != Lost::AllDuringUpload {
                steps.push(Step::ReadBody(BODY.len()));
            }
            match lost {
                Lost::RestOfHead => steps.push(Step::Write(SIGNED_HEAD.to_owned())),
                Lost::Body => {
                    let head = format!("{SIGNED_HEAD}Content-Length: 10\r\n\r\n");
                    steps.push(Step::Write(head));
                }
                Lost::All | Lost::AllDuringUpload => {}
            }
            steps.extend(is_reset.then_some(Step::Reset));
            site.set(&steps);
            if is_reused {
                assert_eq!(site.send("/safe/", &format!("a{number}"), BODY).0, 200);
            }
            let body = match lost {
                Lost::AllDuringUpload => vec![b'x'; LONG_BODY_BYTES],
                _ => BODY.to_vec(),
            };
            let id = format!("r{number}");
            let (status, is_complete, text) = site.send(target, &id, &body);
            match (status, target, lost) {
                (200, "/fixed/", Lost::Body) => assert!(!is_complete, "{lost:?}"),
                _ => {
                    assert_eq!(status, 502, "{lost:?}, reset: {is_reset}, {text}");
                    assert!(text.contains("\"verdict\":\"may_have_run\""), "{lost:?}: {text}");
                }
            }
            assert_eq!(site.sends(&id), 1, "{lost:?}, reset: {is_reset}");
        }
    }
}
