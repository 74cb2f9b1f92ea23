//! What the system allows a daemon.

use fakes::{binary, build_programs};
use rstest::rstest;
use std::process::Command;

#[rstest]
#[case::too_few(
    "512",
    "--callers 512 (CHERVILSPUR_CALLERS) needs 2176 open files, the limit is 300"
)]
#[case::enough("40", "cannot listen on")]
fn errors_when_the_system_allows_too_few_open_files(#[case] callers: &str, #[case] told: &str) {
    build_programs().unwrap();
    let daemon = binary("chervilspurd").unwrap();
    // A documentation address cannot be listened on, so that the second case ends too.
    let flags = "--listen 192.0.2.1:1 --store 127.0.0.1:1 --instances 127.0.0.1:1";
    let key = "--peer-key key-of-the-test-daemons";
    let script =
        format!("ulimit -n 300 && exec {} {flags} {key} --callers {callers}", daemon.display());
    let output = Command::new("bash").args(["-c", &script]).output().unwrap();
    let text = String::from_utf8(output.stderr).unwrap();
    assert!(!output.status.success());
    assert!(text.contains(told), "{text}");
}
