//! What marks the end of a response body.

use gateway::Framing;
use http::{HeaderMap, HeaderName, HeaderValue};
use rstest::rstest;

#[rstest]
#[case(&[("content-length", "5")], Framing::Length)]
#[case(&[("transfer-encoding", "chunked")], Framing::Chunks)]
#[case(&[("transfer-encoding", "gzip, Chunked")], Framing::Chunks)]
#[case(&[("transfer-encoding", "gzip"), ("transfer-encoding", "chunked")], Framing::Chunks)]
#[case(&[("transfer-encoding", "chunked"), ("content-length", "5")], Framing::Chunks)]
#[case(&[("transfer-encoding", "gzip")], Framing::Connection)]
#[case(&[], Framing::Connection)]
fn framing_follows_from_the_response_head(
    #[case] lines: &[(&'static str, &'static str)],
    #[case] expected: Framing,
) {
    let mut headers = HeaderMap::new();
    for (name, value) in lines {
        headers.append(HeaderName::from_static(name), HeaderValue::from_static(value));
    }
    assert_eq!(Framing::of(&headers), expected);
}
