//! The two lists of the operators and the settings of both programs.

mod lists;
mod settings;

pub use lists::{Account, Class, Grant, Grants, Lists, Plan, Plans, Target};
pub use settings::{
    LogLevel, Output, Secret, SettingError, Settings, SettingsFlags, ToolFlags, ToolSettings,
    process_variable,
};
