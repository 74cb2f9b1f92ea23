//! Writes the generated code; run it from the root of the repository.

use schema::{MESSAGE_SCHEMAS, message_types};
use std::error::Error;
use std::fs;

fn main() -> Result<(), Box<dyn Error>> {
    for name in MESSAGE_SCHEMAS {
        let schema = fs::read_to_string(format!("schema/{name}.json"))?;
        fs::write(format!("components/messages/src/{name}.rs"), message_types(&schema)?)?;
    }
    Ok(())
}
