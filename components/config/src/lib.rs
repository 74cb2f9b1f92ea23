//! Configuration: the two lists that operators edit (plans and grants), how they are stored and
//! published, and the settings of the daemon and the tool.

mod check;
mod difference;
mod floors;
mod lists;
mod manifest;
mod object_store;
mod problem;
mod publish;
mod reader;
mod settings;
mod source;

pub use check::check_lists;
pub use difference::{Difference, differences};
pub use lists::{Account, Class, Grant, Grants, Lists, Plan, Plans, Pool, Target};
pub use manifest::{Bundle, INLINE_LIMIT_BYTES, LISTS_KIND, LISTS_NAME, Manifest, PART_KIND};
pub use object_store::ObjectStore;
pub use problem::{ListError, Problem};
pub use publish::{Accepted, Edit, PublishError};
pub use reader::{PublishedLists, ReadError, Reader};
pub use settings::{
    BAD_SETTING_EXIT_CODE, LogLevel, Output, Secret, SettingError, Settings, SettingsFlags,
    ToolFlags, ToolSettings, process_flags, process_variable,
};
pub use source::Source;
