//! Checks that the committed code and settings page are up to date with the schemas.

use schema::{MESSAGE_SCHEMAS, message_types, settings_code, settings_page};
use std::fs;
use std::path::Path;

#[test]
fn committed_messages_match_their_schemas() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    for name in MESSAGE_SCHEMAS {
        let schema = fs::read_to_string(root.join(format!("schema/{name}.json"))).unwrap();
        let committed = root.join(format!("components/messages/src/{name}.rs"));
        let committed = fs::read_to_string(committed).unwrap();
        assert_eq!(message_types(&schema).unwrap(), committed, "{name}");
    }
}

#[test]
fn committed_settings_and_page_match_their_schema() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let read = |path: &str| fs::read_to_string(root.join(path)).unwrap();
    let schema = read("schema/settings.json");
    let code = read("components/config/src/settings/generated.rs");
    assert_eq!(settings_code(&schema).unwrap(), code);
    assert_eq!(settings_page(&schema).unwrap(), read("docs/SETTINGS.md"));
}
