//! Generates the message and settings code of other crates, and `docs/SETTINGS.md`, from the JSON
//! Schema files in `schema/`. The output is committed.

mod message;
mod property;
mod settings;

pub use message::{GenerateError, MESSAGE_SCHEMAS, message_types};
pub use settings::{settings_code, settings_page};
