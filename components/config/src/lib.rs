//! The two lists of the operators and the settings of both programs.

mod check;
mod floors;
mod lists;
mod problem;
mod settings;
mod source;

pub use check::check_lists;
pub use lists::{Account, Class, Grant, Grants, Lists, Plan, Plans, Pool, Target};
pub use problem::{ListError, Problem};
pub use settings::{
    LogLevel, Output, Secret, SettingError, Settings, SettingsFlags, ToolFlags, ToolSettings,
    process_variable,
};
pub use source::Source;
