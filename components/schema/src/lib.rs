//! Generates the committed code from the JSON Schema files in `schema/`.

mod message;

pub use message::{GenerateError, message_types};
