//! The limit on open files of the operating system, checked at the start of a daemon.

use fakes::{binary, build_programs};
use rstest::rstest;
use std::process::Command;

#[rstest]
#[case::too_few(
    "512",
    "--callers 512 (CHERVILSPUR_CALLERS) needs 2176 open files, the limit is 300"
)]
#[case::enough("40", "cannot listen on")]
fn daemon_refuses_to_start_when_the_limit_on_open_files_is_too_low(
    #[case] callers: &str,
    #[case] expected_error: &str,
) {
    build_programs().unwrap();
    let daemon = binary("chervilspurd").unwrap();
    // Listening on a documentation address fails, so the daemon exits in the second case too.
    let flags = "--listen 192.0.2.1:1 --store 127.0.0.1:1 --instances 127.0.0.1:1";
    let key = "--peer-key key-of-the-test-daemons";
    let script =
        format!("ulimit -n 300 && exec {} {flags} {key} --callers {callers}", daemon.display());
    let output = Command::new("bash").args(["-c", &script]).output().unwrap();
    let text = String::from_utf8(output.stderr).unwrap();
    assert!(!output.status.success());
    assert!(text.contains(expected_error), "{text}");
}
