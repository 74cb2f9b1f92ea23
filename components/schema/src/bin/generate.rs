//! Writes the generated code; run it from the root of the repository.

use schema::message_types;
use std::error::Error;
use std::fs;

fn main() -> Result<(), Box<dyn Error>> {
    let schema = fs::read_to_string("schema/messages.json")?;
    fs::write("components/messages/src/generated.rs", message_types(&schema)?)?;
    Ok(())
}
