use messages::duties::UsageWindow;
use serde::{Deserialize, Serialize};

/// What the holder of the duties keeps in the store about the usage reports.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct UsageState {
    /// The last window whose report has begun.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub last_window: Option<u64>,
    /// The report of that window while it may not have been accepted. Its counts never change.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub report: Option<UsageWindow>,
}
