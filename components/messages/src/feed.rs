///A request got its complete response that was suspected of crashing endpoints, or has suspected prompt parts.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct CompletionNotice {
    ///The ids of the suspected parts.
    pub parts: ::std::vec::Vec<u64>,
    ///The digest of the whole request, if it was suspected.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub request: ::std::option::Option<u64>,
    ///The service of the request.
    pub service: ::std::string::String,
}
///A piece of an update of the configuration, which is the difference from one that the requester holds.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ConfigurationUpdate {
    ///The configuration that the difference was made from; absent if it was made from none and holds everything.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub base: ::std::option::Option<HeldConfiguration>,
    ///The first 64 bits of the SHA-256 digest of the whole update.
    pub id: u64,
    ///Whether the update holds client accounts only: a MessagePack AccountsChange, deflated. Otherwise it is a ConfigurationChange.
    #[serde(default)]
    pub of_accounts: bool,
    ///The position of the piece.
    pub offset: u64,
    ///Bytes of the update.
    pub piece: crate::Packed,
    ///The number of bytes of the whole update.
    pub size: u64,
}
///An endpoint crashed while it ran a request.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct CrashNotice {
    ///The id of the endpoint.
    pub endpoint: ::std::string::String,
    ///Whether the endpoint had begun to respond. Fewer crashes are reported of endpoints that had not.
    #[serde(default = "defaults::default_bool::<true>")]
    pub has_begun: bool,
    ///The ids of the prompt parts.
    pub parts: ::std::vec::Vec<u64>,
    ///Those of the parts with which the reporting daemon completed requests in the last minute.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub proven: ::std::vec::Vec<u64>,
    ///The time from sending the request to the crash, in milliseconds.
    pub ran_ms: u64,
    ///The digest of the whole request, which its repetitions share.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub request: ::std::option::Option<u64>,
    ///The service of the request.
    pub service: ::std::string::String,
}
///An endpoint said that it leaves. This is final for its incarnation.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct DepartureNotice {
    ///Its address and port.
    pub address: ::std::string::String,
    ///The id of the endpoint.
    pub endpoint: ::std::string::String,
    ///When its incarnation started, in milliseconds of Unix time; 0 if that is unknown.
    pub started: u64,
}
///A change of the endpoint registry.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct EndpointChange {
    ///The id of the endpoint.
    pub endpoint: ::std::string::String,
    ///Its registration as JSON; absent when the endpoint has left.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub registration: ::std::option::Option<::std::string::String>,
}
///The load that a group of daemons puts on an endpoint with requests of one priority.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct EndpointLoad {
    ///The id of the endpoint.
    pub endpoint: ::std::string::String,
    ///Tokens that the requests occupy in the endpoint's memory.
    pub held_tokens: u64,
    ///The number of these requests in the interactive lane: streams with a short limit on the gap between tokens.
    pub interactive: u32,
    ///The priority; 0 is served first.
    pub priority: u8,
    ///The number of requests at the endpoint.
    pub running: u32,
    ///Prompt tokens of the requests that have not produced a first byte.
    pub unread_tokens: u64,
}
///The outcomes of recent attempts at an endpoint by a group of daemons.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct EndpointOutcomes {
    ///The number of attempts of the last seconds.
    pub attempts: u32,
    ///The id of the endpoint.
    pub endpoint: ::std::string::String,
    ///The number of these that failed.
    pub failures: u32,
}
///A daemon that others can follow.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct FeedPeer {
    ///The address at which other daemons reach it.
    pub address: ::std::string::String,
    ///The name of its instance.
    pub name: ::std::string::String,
}
///The position of a follower in the change log of the daemon that it follows.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct FeedPosition {
    ///The incarnation of the followed daemon; a position is valid within one incarnation only.
    pub incarnation: u64,
    ///The sequence number of the last change applied.
    pub sequence: u64,
}
///Requests what a daemon has read from the store, and reports the load of the sender.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct FeedRequest {
    ///The address at which other daemons reach the sender.
    #[serde(default)]
    pub address: ::std::string::String,
    ///Whether the response is to hold all notices, since the sender may lack old ones, in place of recent ones.
    #[serde(default)]
    pub all_notices: bool,
    ///The configuration that the sender holds. Absent from daemons that understand no updates of it, only whole ones.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub configuration: ::std::option::Option<HeldConfiguration>,
    ///The number of daemons whose load the request reports.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub daemons: ::std::option::Option<u32>,
    ///The sender's data centre.
    pub data_centre: ::std::string::String,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub from: ::std::option::Option<FeedPosition>,
    ///Digests of the endpoints that the sender has, by group, in a request without a position. Absent from daemons that need the full set.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub known_endpoints: ::std::vec::Vec<u64>,
    ///Digests of the notices that the sender has, by group, in a request without a position. Absent from daemons that need all notices.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub known_notices: ::std::vec::Vec<u64>,
    pub loads: ::std::vec::Vec<LoadRow>,
    ///The time since the sender got the loads of the receiver, in milliseconds. Absent if it has none, and from daemons that need them in each response.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub loads_age_ms: ::std::option::Option<u64>,
    ///The name of the sending daemon.
    pub name: ::std::string::String,
    ///Notices that the sender observed or received from its followers lately.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub notices: ::std::vec::Vec<Notice>,
    ///Outcomes at endpoints with failures.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub outcomes: ::std::vec::Vec<EndpointOutcomes>,
    ///Whether the sender reaches endpoints, so that other daemons may send it requests.
    #[serde(default = "defaults::default_bool::<true>")]
    pub reaches_endpoints: bool,
    ///What the sender has received of an update that is not complete.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub received: ::std::option::Option<ReceivedUpdate>,
    ///Whether the sender has become the store reader of its data centre, which the receiver is to follow; the response then holds nothing.
    #[serde(default)]
    pub takes_over: bool,
    ///The longest time that the response may be delayed until there is a change, in milliseconds.
    pub wait_ms: u64,
    ///Whether `loads` covers all daemons of the sender's data centre; the response then holds loads, and what is newer of the configuration if `configuration` is present.
    pub whole_data_centre: bool,
}
///What a daemon has read from the store, and the load of the other daemons.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct FeedResponse {
    ///The version of the responder's client accounts, if the requester holds the same ones. Without them, the freshness is not stated either.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub accounts_version: ::std::option::Option<u64>,
    ///The configuration as JSON, for a requester that understands no updates; present in a full set, and when it changed after the position.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub configuration: ::std::option::Option<::std::string::String>,
    ///A piece of an update: of the client accounts if these are newer than those of the requester, otherwise of the rest.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub configuration_update: ::std::option::Option<ConfigurationUpdate>,
    ///The same time for the responder itself, also while the requester lacks accounts that are in force there.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub confirmation_age_ms: ::std::option::Option<u64>,
    ///For how long the responder has reached the store without a gap in which registrations could expire, in milliseconds; absent in such a gap.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub continuous_ms: ::std::option::Option<u64>,
    ///The number of daemons of the fleet, or of the data centre if the request asks for its loads; absent while it is unknown.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub daemons: ::std::option::Option<u32>,
    ///The responder's data centre.
    #[serde(default)]
    pub data_centre: ::std::string::String,
    ///The groups whose endpoints differ from those of the requester; `packed_endpoints` holds all of these groups.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub endpoint_groups: ::std::vec::Vec<u32>,
    pub endpoints: ::std::vec::Vec<EndpointChange>,
    ///For how long the responder has failed to get updates from the store or from the daemon that it follows, in milliseconds; absent while it gets them.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub failing_ms: ::std::option::Option<u64>,
    ///Whether `packed_endpoints` holds those of `endpoint_groups`.
    #[serde(default)]
    pub has_endpoint_groups: bool,
    ///Whether `loads` and `outcomes` are present; those that the requester has stay valid otherwise.
    #[serde(default = "defaults::default_bool::<true>")]
    pub has_loads: bool,
    ///Whether `notices` holds those of `notice_groups`; otherwise all, or those after the position.
    #[serde(default)]
    pub has_notice_groups: bool,
    ///Whether `packed_endpoints` is the full set. Otherwise it holds the groups that differ, or `endpoints` the changes since the position.
    pub is_complete: bool,
    ///Whether an endpoint missing from a full set has left; false while its registration may merely have expired during a store outage.
    pub is_settled: bool,
    pub loads: ::std::vec::Vec<LoadRow>,
    ///The ids of the endpoints of a full set that the responder keeps although their entries are missing, since these may have expired while the store was away.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub missing_endpoints: ::std::vec::Vec<::std::string::String>,
    ///The groups whose notices differ from those of the requester; `notices` holds all of these groups.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub notice_groups: ::std::vec::Vec<u32>,
    ///Notices after the position; without one, those of `notice_groups` or all; recent ones in a response that holds loads only.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub notices: ::std::vec::Vec<Notice>,
    ///Outcomes at endpoints with failures.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub outcomes: ::std::vec::Vec<EndpointOutcomes>,
    ///The full set of endpoints, or those of `endpoint_groups`: a MessagePack array of EndpointChange, deflated, since hundreds of followers may request it at the same time.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub packed_endpoints: ::std::vec::Vec<u8>,
    pub position: FeedPosition,
    ///The time since the configuration was last confirmed to be current, in milliseconds; absent without a confirmation.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub proof_age_ms: ::std::option::Option<u64>,
    ///The rank of the requester; absent if it is of another data centre or not known yet.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub rank: ::std::option::Option<Rank>,
    ///The store reader of the responder's data centre, if known.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub reader: ::std::option::Option<FeedPeer>,
    ///The time since the endpoints were last confirmed to be those of the registry, in milliseconds. Absent from daemons that do not confirm them apart from the configuration.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub registry_age_ms: ::std::option::Option<u64>,
    ///Some daemons that reach endpoints.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub relays: ::std::vec::Vec<FeedPeer>,
    ///The time since the store last responded to the responder or to a daemon that it follows, in milliseconds; absent before the first response.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub response_age_ms: ::std::option::Option<u64>,
    ///The daemons that replace that reader if it fails, in order.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub standbys: ::std::vec::Vec<FeedPeer>,
    ///The time from the arrival of the request to this response, in milliseconds.
    pub waited_ms: u64,
}
///The configuration that a daemon holds.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct HeldConfiguration {
    ///The same digest of the client accounts.
    #[serde(default)]
    pub accounts_digest: u64,
    ///The version of the configuration that its client accounts belong to; newer than `version` while the rest of that configuration is on its way.
    #[serde(default)]
    pub accounts_version: u64,
    ///The first 64 bits of the SHA-256 digest of the MessagePack encoding of all but its accounts: configurations of one version may differ.
    pub digest: u64,
    ///Its version; 0 if it holds none.
    pub version: u64,
}
///The daemon that carries out the calls to the platform which exactly one daemon makes at a time.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct HolderNotice {
    ///The address at which other daemons reach it; empty if they cannot.
    pub address: ::std::string::String,
    ///The name of its instance.
    pub name: ::std::string::String,
    ///The fencing token of its calls, which increases with each change of holder.
    pub token: u64,
    ///The number of the last window whose usage report was begun, by it or an earlier holder; absent if there is none.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub window: ::std::option::Option<u64>,
}
///An endpoint stated how many requests it takes.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct LimitNotice {
    ///The id of the endpoint.
    pub endpoint: ::std::string::String,
    ///Requests a second from all daemons together; absent if it no longer states a limit.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub per_second: ::std::option::Option<f64>,
}
///The fields of an EndpointLoad in the order of its schema, without their names: reports of large fleets have hundreds of rows.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(transparent)]
pub struct LoadRow(pub (::std::string::String, u8, u32, u64, u64, u32));
impl ::std::ops::Deref for LoadRow {
    type Target = (::std::string::String, u8, u32, u64, u64, u32);
    fn deref(&self) -> &(::std::string::String, u8, u32, u64, u64, u32) {
        &self.0
    }
}
impl ::std::convert::From<LoadRow> for (::std::string::String, u8, u32, u64, u64, u32) {
    fn from(value: LoadRow) -> Self {
        value.0
    }
}
impl ::std::convert::From<(::std::string::String, u8, u32, u64, u64, u32)> for LoadRow {
    fn from(value: (::std::string::String, u8, u32, u64, u64, u32)) -> Self {
        Self(value)
    }
}
///Something that one daemon observed and all daemons are to know; of one kind.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct Notice {
    ///The time since it was observed, in milliseconds.
    pub age_ms: u64,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub completion: ::std::option::Option<CompletionNotice>,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub crash: ::std::option::Option<CrashNotice>,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub departure: ::std::option::Option<DepartureNotice>,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub holder: ::std::option::Option<HolderNotice>,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub limit: ::std::option::Option<LimitNotice>,
    ///The incarnation of the daemon that observed it.
    pub origin: u64,
    ///Counts the notices of that incarnation.
    pub sequence: u64,
}
///The position of a daemon among those of its data centre, by which rights are divided.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct Rank {
    ///The number of daemons of the data centre.
    pub daemons: u32,
    ///The position, from 0.
    pub position: u32,
}
///What a daemon has received of an update so far.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ReceivedUpdate {
    ///The number of bytes received.
    pub bytes: u64,
    ///The id of the update.
    pub id: u64,
}
/// Generation of default values for serde.
pub mod defaults {
    pub(super) fn default_bool<const V: bool>() -> bool {
        V
    }
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
