///Counts of one request class; its attainment is attained / requests.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ClassStatus {
    ///Requests with a complete response within the target of the class.
    pub attained: u64,
    ///Requests that ended without a complete response after an endpoint may have started them.
    pub failed: u64,
    ///Requests refused with the verdict `not_run`: no endpoint started them.
    pub refused: u64,
    ///Requests that have ended and were within the limits of their client account.
    pub requests: u64,
}
///The status that a daemon reports at /admin/status.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct DaemonStatus {
    ///The lowest tier that is admitted, by model or plain service.
    pub admission: ::std::collections::BTreeMap<::std::string::String, u8>,
    ///Counts since the start of the process, by request class.
    pub classes: ::std::collections::BTreeMap<::std::string::String, ClassStatus>,
    ///The data centre.
    pub data_centre: ::std::string::String,
    ///The digest of the active lists; empty before the first.
    pub digest: ::std::string::String,
    ///The endpoints that it knows.
    pub endpoints: ::std::vec::Vec<EndpointStatus>,
    ///The identity of the process: 32 hexadecimal digits, new at each start.
    pub instance: ::std::string::String,
    ///The other daemons that it knows.
    pub members: ::std::vec::Vec<MemberStatus>,
    ///The name of the instance.
    pub name: ::std::string::String,
    ///Messages for operators, such as the data centres that the daemon cannot reach.
    pub notes: ::std::vec::Vec<::std::string::String>,
    ///Whether the daemon serves callers.
    pub ready: bool,
    ///The region.
    pub region: ::std::string::String,
    ///The active revision of the lists; 0 before the first.
    pub revision: u64,
    ///Whether the daemon is stopping and accepts no new requests.
    pub stopping: bool,
    ///The object API as the daemon sees it.
    pub store: StoreStatus,
    ///The number of requests waiting for an endpoint.
    pub waiting: u64,
}
///An endpoint as a daemon sees it.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct EndpointStatus {
    ///The data centre.
    pub data_centre: ::std::string::String,
    ///Attempts of this daemon that failed.
    pub failures: u64,
    ///The name of the endpoint.
    pub name: ::std::string::String,
    ///Attempts of this daemon that are in progress.
    pub outstanding: u64,
    ///The models or plain services that it serves.
    pub serves: ::std::vec::Vec<::std::string::String>,
    ///The state of the endpoint, in lower case.
    pub state: ::std::string::String,
}
///The spans that a daemon has of one request, served at /admin/explain/{id}.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct Explanation {
    ///The name of the daemon's instance.
    pub daemon: ::std::string::String,
    ///The identity of the daemon's process.
    pub instance: ::std::string::String,
    ///The id of the request.
    pub request: ::std::string::String,
    ///The spans of the request, ordered by start time.
    pub spans: ::std::vec::Vec<Span>,
}
///Another daemon as a daemon sees it.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct MemberStatus {
    ///The data centre.
    pub data_centre: ::std::string::String,
    ///The identity of the process: 32 hexadecimal digits, new at each start.
    pub instance: ::std::string::String,
    ///The name of the instance.
    pub name: ::std::string::String,
    ///The revision of the lists that it last reported; 0 if unknown.
    pub revision: u64,
    ///The membership state.
    pub state: ::std::string::String,
}
///A tracing span: one step in the handling of a request.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct Span {
    ///Decisions and their reasons, by attribute name.
    pub attributes: ::std::collections::BTreeMap<
        ::std::string::String,
        ::std::string::String,
    >,
    ///The duration, in microseconds; absent while the step is in progress.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub duration_us: ::std::option::Option<u64>,
    ///The name of the step.
    pub name: ::std::string::String,
    ///The id of the parent span; absent for a root span.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub parent: ::std::option::Option<::std::string::String>,
    ///The span id, 16 hexadecimal digits.
    pub span: ::std::string::String,
    ///The start time, in microseconds since 1970-01-01 UTC.
    pub start_unix_us: u64,
    ///The W3C trace id, 32 hexadecimal digits.
    pub trace: ::std::string::String,
}
///The object API as a daemon sees it.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct StoreStatus {
    ///The time since the last response, in milliseconds; absent before the first.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub answered_ms_ago: ::std::option::Option<u64>,
    ///Whether the last call got a response.
    pub reachable: bool,
    ///The revision of the lists in the object API when it was last read; lower than the active one if the object API was restored from an older state.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub revision: ::std::option::Option<u64>,
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
