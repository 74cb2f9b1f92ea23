//! The committed code is what the schemas generate.

use schema::message_types;
use std::fs;
use std::path::Path;

#[test]
fn can_generate_the_committed_messages() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let schema = fs::read_to_string(root.join("schema/messages.json")).unwrap();
    let committed = root.join("components/messages/src/generated.rs");
    let committed = fs::read_to_string(committed).unwrap();
    assert_eq!(message_types(&schema).unwrap(), committed);
}
