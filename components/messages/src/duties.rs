///The requests that a daemon has in flight at the endpoints of a service in a data centre.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct DataCentreUse {
    ///The data centre of the endpoints.
    pub data_centre: ::std::string::String,
    ///The number of requests in flight.
    pub requests: u64,
    ///Tokens that these requests occupy in the memory of the endpoints.
    pub tokens: u64,
}
///The response of a daemon to a DutyReport.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct DutyReply {
    ///The address at which other daemons reach the holder.
    #[serde(default)]
    pub address: ::std::string::String,
    ///The name of the instance that holds the duties with this token, as far as the daemon knows.
    #[serde(default)]
    pub holder: ::std::string::String,
    ///Whether the daemon holds the duties and has taken the report.
    pub is_holder: bool,
    ///The last window whose report has begun. It and lower windows need not be reported again.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub last_window: ::std::option::Option<u64>,
    ///The fencing token of the holder, or the highest that the daemon knows of; 0 if it knows none.
    pub token: u64,
}
///What a daemon reports to the holder of the platform duties.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct DutyReport {
    ///The time since the previous report of the incarnation, in milliseconds, which the services cover.
    #[serde(default)]
    pub covered_ms: u64,
    ///The window that includes the time of the report. Counts of lower windows are final.
    pub current_window: u64,
    ///The data centre of the daemon.
    pub data_centre: ::std::string::String,
    ///Distinguishes this process from earlier ones of the same name, whose counts are added to its own.
    pub incarnation: u64,
    ///Whether the daemon stops and reports no more.
    #[serde(default)]
    pub is_last: bool,
    ///The last window whose report has begun, as far as the daemon knows.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub last_window: ::std::option::Option<u64>,
    ///The name of the reporting instance.
    pub name: ::std::string::String,
    ///Counts the reports of the incarnation. A report with a number that was received before is a repetition.
    pub sequence: u64,
    ///The demand for the services whose capacity is ordered.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub services: ::std::vec::Vec<ServiceReport>,
    ///The windows whose report has not begun, as far as the daemon knows.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub windows: ::std::vec::Vec<UsageWindow>,
}
///What a daemon has seen of a service since its previous report.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ServiceReport {
    ///The number of responses that began.
    #[serde(default)]
    pub begun: u64,
    ///The number of these that began after more than half of the objective of their route had passed.
    #[serde(default)]
    pub begun_late: u64,
    ///The requests in flight at the time of the report, by data centre of the endpoints.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub in_flight: ::std::vec::Vec<DataCentreUse>,
    ///The number of requests sent to an endpoint.
    pub placed: u64,
    ///Prompt tokens that the endpoints had to read for the placed requests.
    pub prompt_tokens: u64,
    ///The number of requests that wait for an endpoint at the time of the report.
    pub queued: u64,
    ///The number of requests refused for lack of capacity.
    pub refused: u64,
    ///Tokens of the responses.
    pub response_tokens: u64,
    ///The name of the service.
    pub service: ::std::string::String,
    ///Prompt tokens of the requests that have not produced a first byte at the time of the report.
    #[serde(default)]
    pub unread_tokens: u64,
}
///The requests of a usage window so far. A repetition replaces the counts that came before.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct UsageWindow {
    ///The number of requests that began to run, by client account.
    pub counts: ::std::collections::BTreeMap<::std::string::String, u64>,
    ///The number of the window. Window k begins k times the length of a window after the Unix epoch.
    pub number: u64,
}
/// Error types.
pub mod error {
    /// Error from a `TryFrom` or `FromStr` implementation.
    pub struct ConversionError(::std::borrow::Cow<'static, str>);
    impl ::std::error::Error for ConversionError {}
    impl ::std::fmt::Display for ConversionError {
        fn fmt(
            &self,
            f: &mut ::std::fmt::Formatter<'_>,
        ) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Display::fmt(&self.0, f)
        }
    }
    impl ::std::fmt::Debug for ConversionError {
        fn fmt(
            &self,
            f: &mut ::std::fmt::Formatter<'_>,
        ) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Debug::fmt(&self.0, f)
        }
    }
    impl From<&'static str> for ConversionError {
        fn from(value: &'static str) -> Self {
            Self(value.into())
        }
    }
    impl From<String> for ConversionError {
        fn from(value: String) -> Self {
            Self(value.into())
        }
    }
}
