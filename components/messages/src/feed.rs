///A change of the registry.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct EndpointChange {
    ///The endpoint's id.
    pub endpoint: ::std::string::String,
    ///Its registration as JSON; nothing when it left.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub registration: ::std::option::Option<::std::string::String>,
}
///Requests of one rank that a group of daemons has at an endpoint.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct EndpointLoad {
    ///The endpoint's id.
    pub endpoint: ::std::string::String,
    ///Tokens that the requests hold in the endpoint's memory.
    pub held_tokens: u64,
    ///Those of the requests that are streams with short pauses.
    pub interactive: u32,
    ///The rank; 0 is served first.
    pub priority: u8,
    ///The requests.
    pub running: u32,
    ///Prompt tokens of those whose answer has not begun.
    pub unread_tokens: u64,
}
///How far a daemon has followed another one.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct FeedPosition {
    ///The start of the followed daemon.
    pub incarnation: u64,
    ///The last change taken.
    pub sequence: u64,
}
///Asks a daemon for what it knows of the store, and tells it the sender's load.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct FeedRequest {
    ///The sender's data centre.
    pub data_centre: ::std::string::String,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub from: ::std::option::Option<FeedPosition>,
    pub loads: ::std::vec::Vec<EndpointLoad>,
    ///The sender.
    pub name: ::std::string::String,
    ///How long the answer may wait for a change.
    pub wait_ms: u64,
    ///Whether the loads are those of all daemons of the data centre, and only loads are asked for.
    pub whole_data_centre: bool,
}
///What a daemon knows of the store, and the load of the other daemons.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct FeedResponse {
    ///The configuration as JSON, when it is newer than the position.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub configuration: ::std::option::Option<::std::string::String>,
    pub endpoints: ::std::vec::Vec<EndpointChange>,
    ///Whether the endpoints are all that are known, and not only changes.
    pub is_complete: bool,
    ///Whether endpoints that are not listed have left, and did not only lapse in an outage of the store.
    pub is_settled: bool,
    pub loads: ::std::vec::Vec<EndpointLoad>,
    pub position: FeedPosition,
    ///The age of the proof that the configuration is the newest; nothing without one.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub proof_age_ms: ::std::option::Option<u64>,
    ///The time from the request's arrival to this answer.
    pub waited_ms: u64,
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
