///A digest over the members whose identities share their first bits.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct Bucket {
    ///The number of leading bits.
    pub bits: u32,
    ///The digest.
    pub digest: u64,
    ///The value of the leading bits.
    pub index: u64,
}
///A piece of the lists' text, or the digests of the chunks beneath it.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct Chunk {
    ///The digests of the children, in order.
    pub children: ::std::vec::Vec<u64>,
    ///The text of a leaf.
    pub text: ::std::string::String,
}
///A number of 128 bits: the identity of a daemon's incarnation or a digest.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct Id {
    ///The upper 64 bits.
    pub high: u64,
    ///The lower 64 bits.
    pub low: u64,
}
///What one daemon knows of a member.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct MemberRecord {
    ///The IP number and port.
    pub address: ::std::string::String,
    ///The data centre.
    pub data_centre: ::std::string::String,
    pub id: Id,
    ///Grows each time the member refutes a suspicion.
    pub sequence: u64,
    pub state: MemberState,
}
///The state of a member; left and dead are final.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum MemberState {
    #[serde(rename = "live")]
    Live,
    #[serde(rename = "suspected")]
    Suspected,
    #[serde(rename = "left")]
    Left,
    #[serde(rename = "dead")]
    Dead,
}
impl ::std::fmt::Display for MemberState {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Live => f.write_str("live"),
            Self::Suspected => f.write_str("suspected"),
            Self::Left => f.write_str("left"),
            Self::Dead => f.write_str("dead"),
        }
    }
}
impl ::std::str::FromStr for MemberState {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "live" => Ok(Self::Live),
            "suspected" => Ok(Self::Suspected),
            "left" => Ok(Self::Left),
            "dead" => Ok(Self::Dead),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for MemberState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for MemberState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///One datagram between two daemons.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct Packet {
    pub bucket: Bucket,
    ///Chunks that were asked for.
    pub chunks: ::std::vec::Vec<Chunk>,
    ///Shared values.
    pub entries: ::std::vec::Vec<SharedEntry>,
    pub from: Id,
    pub kind: PacketKind,
    ///Records of members.
    pub members: ::std::vec::Vec<MemberRecord>,
    ///The number of the probe that is sent or answered.
    pub number: u64,
    pub revision: Revision,
    pub subject: Id,
    ///The address to probe for another daemon.
    pub subject_address: ::std::string::String,
    ///Digests of the chunks that the sender lacks.
    pub wants: ::std::vec::Vec<u64>,
}
///What a packet asks for or answers.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum PacketKind {
    #[serde(rename = "probe")]
    Probe,
    #[serde(rename = "ack")]
    Ack,
    #[serde(rename = "indirect")]
    Indirect,
    #[serde(rename = "join")]
    Join,
    #[serde(rename = "push")]
    Push,
    #[serde(rename = "exchange")]
    Exchange,
    #[serde(rename = "want")]
    Want,
}
impl ::std::fmt::Display for PacketKind {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Probe => f.write_str("probe"),
            Self::Ack => f.write_str("ack"),
            Self::Indirect => f.write_str("indirect"),
            Self::Join => f.write_str("join"),
            Self::Push => f.write_str("push"),
            Self::Exchange => f.write_str("exchange"),
            Self::Want => f.write_str("want"),
        }
    }
}
impl ::std::str::FromStr for PacketKind {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "probe" => Ok(Self::Probe),
            "ack" => Ok(Self::Ack),
            "indirect" => Ok(Self::Indirect),
            "join" => Ok(Self::Join),
            "push" => Ok(Self::Push),
            "exchange" => Ok(Self::Exchange),
            "want" => Ok(Self::Want),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for PacketKind {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for PacketKind {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///A revision of the lists and how to fetch it.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct Revision {
    pub digest: Id,
    ///The revision; 0 before the first.
    pub number: u64,
    ///The digest of the root chunk.
    pub root: u64,
}
///A small value that one daemon spreads; the highest sequence of an origin wins.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct SharedEntry {
    ///Whether it leaves its data centre.
    pub fleet_wide: bool,
    ///The subject and name of the value.
    pub key: ::std::string::String,
    pub origin: Id,
    ///The number of the write at its origin.
    pub sequence: u64,
    ///The time that the value still holds, in milliseconds.
    pub ttl_ms: u64,
    ///The value.
    pub values: ::std::vec::Vec<u64>,
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
