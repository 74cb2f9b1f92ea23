//! The settings of `chervilspurd` and `chervilspur`, read from flags and environment variables.
//!
//! `generated` is generated from `schema/settings.json`; run `cargo run -p schema --bin generate`
//! after changing the schema.

mod check;
mod flags;
#[allow(clippy::all)]
#[rustfmt::skip]
mod generated;
mod secret;
mod setting;

pub use check::label;
pub use flags::{BAD_SETTING_EXIT_CODE, process_flags};
pub use generated::{LogLevel, Output, Settings, SettingsFlags, ToolFlags, ToolSettings};
pub use secret::Secret;
pub use setting::{SettingError, process_variable};
