//! Generates the committed code from the JSON Schema files in `schema/`.

mod message;

pub use message::{GenerateError, MESSAGE_SCHEMAS, message_types};
