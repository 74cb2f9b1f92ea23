//! Reading settings from flags and environment variables.

use argh::FromArgs;
use config::{LogLevel, SettingError, Settings, SettingsFlags};
use rstest::rstest;
use std::collections::BTreeMap;

const REQUIRED: [(&str, &str); 3] = [
    ("CHERVILSPUR_STORE", "127.0.0.1:7001"),
    ("CHERVILSPUR_INSTANCES", "127.0.0.1:7002"),
    ("CHERVILSPUR_PEER_KEY", "0123456789abcdef"),
];

fn read(args: &[&str], variables: &[(&str, &str)]) -> Result<Settings, SettingError> {
    let flags = SettingsFlags::from_args(&["chervilspurd"], args).unwrap();
    let given = REQUIRED.iter().chain(variables);
    let given: BTreeMap<String, String> =
        given.map(|(name, value)| (name.to_string(), value.to_string())).collect();
    Settings::read(&flags, |name| given.get(name).cloned())
}

#[test]
fn flag_overrides_variable_and_variable_overrides_default() {
    let cfg = read(&[], &[]).unwrap();
    assert_eq!((cfg.callers, cfg.log_level), (512, LogLevel::Info));
    let cfg = read(&[], &[("CHERVILSPUR_CALLERS", "7"), ("CHERVILSPUR_LOG_LEVEL", "warn")]);
    assert_eq!(cfg.map(|c| (c.callers, c.log_level)), Ok((7, LogLevel::Warn)));
    let cfg = read(&["--callers", "9"], &[("CHERVILSPUR_CALLERS", "7")]).unwrap();
    assert_eq!(cfg.callers, 9);
    let cfg = read(&["--check-invariants", "false"], &[("CHERVILSPUR_CHECK_INVARIANTS", "true")]);
    assert_eq!(cfg.map(|c| c.check_invariants), Ok(false));
}

#[rstest]
#[case("listen", "localhost:80", "an IP address and a port")]
#[case("store", "store.example:80", "an IP address and a port")]
#[case("instances", "127.0.0.1", "an IP address and a port")]
#[case("metrics", "statsd:8125", "an IP address and a port")]
#[case("spans", "http://127.0.0.1:4318", "an IP address and a port")]
#[case("name", "", "1 to 63 lower-case letters, digits and inner hyphens")]
#[case("data-centre", "Aburra Norte", "1 to 63 lower-case letters, digits and inner hyphens")]
#[case("region", "-oriente", "1 to 63 lower-case letters, digits and inner hyphens")]
#[case("callers", "0", "1 to 4096")]
#[case("callers", "4097", "1 to 4096")]
#[case("queue-limit", "-1", "1 to 65536")]
#[case("body-limit-bytes", "1023", "1024 to 16777216")]
#[case("stream-window-ms", "600001", "0 to 600000")]
#[case("stream-buffer-tokens", "15", "16 to 65536")]
#[case("stop-timeout-ms", "soon", "0 to 3600000")]
#[case("silence-limit-ms", "499", "500 to 600000")]
#[case("link-bytes-per-second", "1e6", "0 to 1000000000")]
#[case("store-calls-per-minute", "5", "6 to 60000")]
#[case("log-level", "loud", "error, warn, info, debug, trace")]
#[case("check-invariants", "yes", "true, false")]
fn settings_reject_a_value_that_is_not_allowed(
    #[case] flag: &str,
    #[case] value: &str,
    #[case] allowed: &str,
) {
    let variable = format!("CHERVILSPUR_{}", flag.replace('-', "_").to_uppercase());
    let text = format!("--{flag} ({variable}): {value:?} is not allowed; allowed is {allowed}");
    let by_flag = read(&[&format!("--{flag}"), value], &[]).unwrap_err();
    let by_variable = read(&[], &[(&variable, value)]).unwrap_err();
    assert_eq!(by_flag.to_string(), text);
    assert_eq!(by_variable, by_flag);
}

#[rstest]
#[case("store")]
#[case("instances")]
#[case("peer-key")]
fn settings_reject_a_missing_required_setting(#[case] flag: &str) {
    let variable = format!("CHERVILSPUR_{}", flag.replace('-', "_").to_uppercase());
    let flags = SettingsFlags::from_args(&["chervilspurd"], &[]).unwrap();
    let others: BTreeMap<&str, &str> =
        REQUIRED.into_iter().filter(|(name, _)| *name != variable).collect();
    let found = Settings::read(&flags, |name| others.get(name).map(|v| v.to_string()));
    let text = found.unwrap_err().to_string();
    assert!(text.starts_with(&format!("--{flag} ({variable}) is missing; allowed is ")), "{text}");
}

#[test]
fn peer_key_appears_in_no_debug_or_error_text() {
    let cfg = read(&[], &[]).unwrap();
    assert_eq!(cfg.peer_key.reveal(), "0123456789abcdef");
    assert!(!format!("{cfg:?}").contains("0123456789abcdef"));
    let rejected = read(&["--peer-key", "too-short"], &[]).unwrap_err();
    assert!(!format!("{rejected:?}{rejected}").contains("too-short"));
}

#[test]
fn error_names_all_wrong_and_missing_settings() {
    let flags = ["--listen", "not-an-address", "--callers", "0"];
    let flags = SettingsFlags::from_args(&["chervilspurd"], &flags).unwrap();
    let text = Settings::read(&flags, |_| None).unwrap_err().to_string();
    for name in ["--listen", "--callers", "--store", "--instances", "--peer-key"] {
        assert!(text.contains(name), "{name} in {text}");
    }
}
