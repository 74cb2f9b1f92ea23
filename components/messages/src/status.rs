///Counts of one request class; attainment is attained / requests.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ClassStatus {
    ///Requests answered whole within the target of the class.
    pub attained: u64,
    ///Requests that ended without a whole answer after an endpoint may have started them.
    pub failed: u64,
    ///Requests refused as not run.
    pub refused: u64,
    ///Ended requests within the limits of their client account.
    pub requests: u64,
}
///What a daemon says of itself at /admin/status.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct DaemonStatus {
    ///The lowest tier still admitted, by model or plain service.
    pub admission: ::std::collections::BTreeMap<::std::string::String, u8>,
    ///Counts by request class since the start of the process.
    pub classes: ::std::collections::BTreeMap<::std::string::String, ClassStatus>,
    ///The data centre.
    pub data_centre: ::std::string::String,
    ///The digest of the lists in force; empty before the first.
    pub digest: ::std::string::String,
    ///The endpoints that it knows.
    pub endpoints: ::std::vec::Vec<EndpointStatus>,
    ///The identity of the process, 32 hexadecimal digits.
    pub instance: ::std::string::String,
    ///The daemons that it knows, itself left out.
    pub members: ::std::vec::Vec<MemberStatus>,
    ///The name of the instance.
    pub name: ::std::string::String,
    ///Sentences for operators, such as from whom the daemon is cut off.
    pub notes: ::std::vec::Vec<::std::string::String>,
    ///Whether callers are served.
    pub ready: bool,
    ///The region.
    pub region: ::std::string::String,
    ///The revision of the lists in force; 0 before the first.
    pub revision: u64,
    ///Whether the daemon stops and takes no new work.
    pub stopping: bool,
    ///The object API as the daemon sees it.
    pub store: StoreStatus,
    ///Requests that wait for an endpoint.
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
    ///Attempts of this daemon that have not ended.
    pub outstanding: u64,
    ///The models or plain services that it serves.
    pub serves: ::std::vec::Vec<::std::string::String>,
    ///The state in which the daemon holds it.
    pub state: ::std::string::String,
}
///What a daemon knows of one request at /admin/explain/{id}.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct Explanation {
    ///The name of the daemon's instance.
    pub daemon: ::std::string::String,
    ///The identity of the daemon's process.
    pub instance: ::std::string::String,
    ///The request's id.
    pub request: ::std::string::String,
    ///The spans of the request in the order of their starts.
    pub spans: ::std::vec::Vec<Span>,
}
///Another daemon as a daemon sees it.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct MemberStatus {
    ///The data centre.
    pub data_centre: ::std::string::String,
    ///The identity of the process, 32 hexadecimal digits.
    pub instance: ::std::string::String,
    ///The name of the instance.
    pub name: ::std::string::String,
    ///The revision of the lists that it last told; 0 when unknown.
    pub revision: u64,
    ///The state in the membership.
    pub state: ::std::string::String,
}
///One step of a request.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct Span {
    ///What was decided and why, by name.
    pub attributes: ::std::collections::BTreeMap<
        ::std::string::String,
        ::std::string::String,
    >,
    ///The duration, in microseconds; absent while the step runs.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub duration_us: ::std::option::Option<u64>,
    ///The name of the step.
    pub name: ::std::string::String,
    ///The span id of the parent; absent at the root.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub parent: ::std::option::Option<::std::string::String>,
    ///The span id, 16 hexadecimal digits.
    pub span: ::std::string::String,
    ///The start, in microseconds since 1970-01-01 UTC.
    pub start_unix_us: u64,
    ///The W3C trace id, 32 hexadecimal digits.
    pub trace: ::std::string::String,
}
///The object API as a daemon sees it.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct StoreStatus {
    ///The time since the last answer, in milliseconds; absent before the first.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub answered_ms_ago: ::std::option::Option<u64>,
    ///Whether the last call was answered.
    pub reachable: bool,
    ///The revision of the lists in the store when it was last read; lower than the one in force after the store was restored.
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
