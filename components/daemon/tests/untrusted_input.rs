//! Feeds arbitrary bytes to every parser of external input, which must return an error and not
//! panic.

use config::{Lists, Manifest, Source};
use daemon::wire::{
    ChatBody, StreamChunk, StreamEnd, Trace, mac_hex, read_frame, read_line, verify_mac,
};
use decision::execution::IdempotencyKey;
use errors::Refusal;
use messages::forward::{ForwardFrame, ForwardRequest};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::io::Read;

const CASES: u32 = 512;
const SEED: u64 = 20_261_203;

/// Equal to the private `LINE_LIMIT_BYTES` of the daemon.
const LINE_LIMIT_BYTES: usize = 1 << 20;

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: CASES,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Replaces up to 3 bytes of a valid text and may cut off up to half of it, so that most of it
/// still parses.
fn mutated(text: &'static str) -> impl Strategy<Value = Vec<u8>> {
    let edits = vec((0..text.len(), any::<u8>()), 0..4);
    (edits, 0..=text.len()).prop_map(move |(edits, len)| {
        let mut bytes = text.as_bytes().to_vec();
        edits.into_iter().for_each(|(i, byte)| bytes[i] = byte);
        bytes.truncate(len.max(text.len() / 2));
        bytes
    })
}

fn frame(body: &[u8]) -> Vec<u8> {
    [&(body.len() as u32).to_be_bytes(), body].concat()
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn parsers_of_frames_and_packets_accept_or_reject_any_bytes(
        bytes in vec(any::<u8>(), 0..4_096),
    ) {
        let _ = read_frame(&mut &bytes[..]);
        let _ = read_frame(&mut &frame(&bytes)[..]);
        let _ = rmp_serde::from_slice::<ForwardRequest>(&bytes);
        let _ = messages::decode_signed(b"key", &bytes);
    }

    #[test]
    fn read_frame_returns_each_written_frame_and_rejects_it_truncated(
        tokens in vec("\\PC{0,8}", 0..8), ended in any::<bool>(), cut in 1usize..64,
    ) {
        let sent = ForwardFrame { tokens: tokens.clone(), ended, refusal: String::new() };
        let bytes = frame(&rmp_serde::to_vec(&sent).unwrap());
        let (chunk, len) = read_frame(&mut &bytes[..]).unwrap();
        prop_assert_eq!(chunk, StreamChunk { tokens, end: ended.then_some(StreamEnd::Complete) });
        prop_assert_eq!(len, bytes.len() as u64);
        let truncated_len = bytes.len().saturating_sub(cut);
        prop_assert!(read_frame(&mut &bytes[..truncated_len]).is_err(), "truncated frame accepted");
    }

    #[test]
    fn verify_mac_accepts_only_the_mac_of_the_same_key_and_body(
        bytes in vec(any::<u8>(), 0..2_048),
    ) {
        let mac = mac_hex("key", "/peer/forward", &bytes);
        prop_assert!(verify_mac("key", "/peer/forward", &bytes, &mac));
        prop_assert!(!verify_mac("other", "/peer/forward", &bytes, &mac));
        prop_assert!(!verify_mac("key", "/peer/forward", &bytes, &mac[1..]));
    }

    #[test]
    fn verify_mac_rejects_any_text_that_is_not_the_mac(mac in "\\PC{0,80}") {
        prop_assert!(!verify_mac("key", "/peer/forward", b"", &mac));
    }

    #[test]
    fn trace_continues_a_valid_traceparent_and_replaces_any_other(
        any in "\\PC{0,80}",
        edited in mutated("00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"),
    ) {
        for text in [any, String::from_utf8_lossy(&edited).to_string()] {
            let trace = Trace::from_header(Some(&text));
            let header = trace.header(1);
            prop_assert_eq!(header.len(), 55);
            prop_assert_ne!(trace.trace_id, 0);
            let is_continued = trace.parent != 0;
            prop_assert!(!is_continued || text.get(3..35) == header.get(3..35), "{}", text);
        }
    }

    #[test]
    fn read_line_strips_the_line_break_from_any_line(bytes in vec(any::<u8>(), 0..4_096)) {
        let mut reader = &bytes[..];
        while let Ok(Some(line)) = read_line(&mut reader) {
            prop_assert!(!line.ends_with(['\r', '\n']));
        }
    }

    #[test]
    fn parsers_of_caller_input_accept_or_reject_any_text(
        any in "\\PC{0,200}",
        chat in mutated(r#"{"messages":[{"role":"user","content":"route"}],"stream":true}"#),
        key in mutated("1764800000000-abc"),
        refusal in mutated(r#"{"verdict":"not_run","reason":"overloaded","message":"m"}"#),
    ) {
        let _ = serde_json::from_str::<ChatBody>(&any);
        let _ = serde_json::from_slice::<ChatBody>(&chat).map(|body| body.prompt());
        let _ = any.parse::<IdempotencyKey>();
        let _ = String::from_utf8_lossy(&key).parse::<IdempotencyKey>();
        let _ = serde_json::from_slice::<Refusal>(&refusal);
    }

    #[test]
    fn parsers_of_lists_accept_or_reject_any_text(
        any in "\\PC{0,200}",
        plans in mutated("[accounts.campo]\nplan = \"gold\"\nkey_sha256 = \"00\"\n"),
        manifest in mutated(r#"{"revision":1,"digest":"00","parts":["00"]}"#),
    ) {
        for text in [any, String::from_utf8_lossy(&plans).to_string()] {
            let _ = Source { file: "plans.toml", text: &text }.parse::<config::Plans>().is_ok();
            let _ = Source { file: "grants.toml", text: &text }.parse::<config::Grants>().is_ok();
            let _ = serde_json::from_str::<Lists>(&text);
        }
        let _ = serde_json::from_slice::<Manifest>(&manifest);
    }
}

#[test]
fn read_line_rejects_lines_that_reach_the_length_limit() {
    let mut endless = std::io::BufReader::new(std::io::repeat(b'x'));
    assert!(read_line(&mut endless).is_err());
    let mut longest = std::io::repeat(b'x').take(LINE_LIMIT_BYTES as u64 - 1).chain(&b"\n"[..]);
    let mut buffered = std::io::BufReader::new(&mut longest);
    assert!(read_line(&mut buffered).is_err());
}

#[test]
fn read_frame_rejects_announced_lengths_above_the_limit() {
    for length in [u32::MAX, (4 << 20) + 1] {
        assert!(
            read_frame(&mut std::io::repeat(0xff).take(8).chain(&length.to_be_bytes()[..]))
                .is_err()
        );
        assert!(read_frame(&mut &length.to_be_bytes()[..]).is_err());
    }
}
