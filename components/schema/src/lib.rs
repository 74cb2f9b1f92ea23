//! Generates the committed code from the JSON Schema files in `schema/`.

mod message;
mod property;
mod settings;

pub use message::{GenerateError, MESSAGE_SCHEMAS, message_types};
pub use settings::{settings_code, settings_page};
