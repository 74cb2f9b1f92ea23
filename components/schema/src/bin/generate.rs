//! Writes the generated code and `docs/SETTINGS.md`. Run it from the root of the repository.

use schema::{MESSAGE_SCHEMAS, message_types, settings_code, settings_page};
use std::error::Error;
use std::fs;

fn main() -> Result<(), Box<dyn Error>> {
    for name in MESSAGE_SCHEMAS {
        let schema = fs::read_to_string(format!("schema/{name}.json"))?;
        fs::write(format!("components/messages/src/{name}.rs"), message_types(&schema)?)?;
    }
    let settings = fs::read_to_string("schema/settings.json")?;
    fs::write("components/config/src/settings/generated.rs", settings_code(&settings)?)?;
    fs::write("docs/SETTINGS.md", settings_page(&settings)?)?;
    Ok(())
}
