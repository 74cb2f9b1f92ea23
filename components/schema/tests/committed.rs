//! The committed code is what the schemas generate.

use schema::{MESSAGE_SCHEMAS, message_types};
use std::fs;
use std::path::Path;

#[test]
fn can_generate_the_committed_messages() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    for name in MESSAGE_SCHEMAS {
        let schema = fs::read_to_string(root.join(format!("schema/{name}.json"))).unwrap();
        let committed = root.join(format!("components/messages/src/{name}.rs"));
        let committed = fs::read_to_string(committed).unwrap();
        assert_eq!(message_types(&schema).unwrap(), committed, "{name}");
    }
}
