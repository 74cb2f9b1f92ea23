//! Responses with a status that HTTP does not have.

use crate::scripted_site::{ScriptedSite, response};
use fakes::Step;
use rstest::rstest;

const BODY: &[u8] = b"body";
const TIME_LIMIT_MS: u64 = 20_000;
const STATUSES: [&str; 11] =
    ["000", "099", "99", "1000", "2000", "abc", "20x", "-20", "600", "999", "101"];

/// The head of a response with a status, without its framing.
fn head(status: &str) -> String {
    format!(
        "HTTP/1.1 {status} OK\r\nX-Chervilspur-Attempt-Id: {{id}}\r\n\
         X-Chervilspur-Server-Seal: {{seal}}\r\n"
    )
}

/// Guards against a response whose status clients cannot read. It tells nothing about whether the
/// request ran, so it is repeated only where the route allows that.
#[rstest]
fn response_with_an_invalid_status_is_not_passed_on(
    #[values(("/safe/", 2), ("/once/", 1), ("/stream/", 2), ("/fixed/", 1))] case: (&str, usize),
    #[values(false, true)] is_reused: bool,
) {
    let (target, sends) = case;
    let mut site = ScriptedSite::start(TIME_LIMIT_MS);
    if is_reused {
        site.keep_one();
    }
    for status in STATUSES {
        let mut steps = vec![Step::ReadHead, Step::ReadBody(BODY.len())];
        if is_reused {
            steps.push(response(&head("200"), "ok"));
            steps.extend([Step::ReadHead, Step::ReadBody(BODY.len())]);
        }
        steps.push(response(&head(status), "id: 1\ndata: a\n\n"));
        site.set(&steps);
        if is_reused {
            assert_eq!(site.send("/safe/", &format!("a{status}"), BODY).0, 200);
        }
        let id = format!("r{status}");
        let (got, _, text) = site.send(target, &id, BODY);
        assert_eq!(got, 502, "status {status}: {text}");
        assert!(text.contains("\"verdict\":\"may_have_run\""), "status {status}: {text}");
        let sends = if is_reused { 1 } else { sends };
        assert_eq!(site.sends(&id), sends, "status {status}");
    }
}
