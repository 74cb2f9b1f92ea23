///A digest over the members whose identities have the same leading bits, compared in anti-entropy.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct Bucket {
    ///The number of leading bits; at most 16.
    pub bits: u32,
    ///The digest over the members of the bucket.
    pub digest: u64,
    ///The value of the leading bits.
    pub index: u64,
}
///A node of the tree that holds the text of the lists: a leaf has text, a branch has the digests of its children.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct Chunk {
    ///The digests of a branch's children, in text order; empty for a leaf.
    pub children: ::std::vec::Vec<u64>,
    ///The text of a leaf; empty for a branch.
    pub text: ::std::string::String,
}
///A 128-bit number: the identity of a daemon's incarnation, or a digest.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct Id {
    ///The upper 64 bits.
    pub high: u64,
    ///The lower 64 bits.
    pub low: u64,
}
///A member as the sender knows it.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct MemberRecord {
    ///The UDP address: IP address and port.
    pub address: ::std::string::String,
    ///The data centre in which the member runs.
    pub data_centre: ::std::string::String,
    pub id: Id,
    ///Incremented each time the member refutes a suspicion. Of two records of a member the higher sequence wins, then the later state.
    pub sequence: u64,
    pub state: MemberState,
}
///The state of a member; `left` and `dead` are final for its incarnation.
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
///One datagram between two daemons; fields that its kind does not use are empty.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct Packet {
    pub bucket: Bucket,
    ///The requested chunks.
    pub chunks: ::std::vec::Vec<Chunk>,
    ///Published values.
    pub entries: ::std::vec::Vec<SharedEntry>,
    pub from: Id,
    pub kind: PacketKind,
    ///Members, as the sender knows them.
    pub members: ::std::vec::Vec<MemberRecord>,
    ///The number of the probe that is sent or acknowledged; 0 where there is none.
    pub number: u64,
    pub revision: Revision,
    pub subject: Id,
    ///The address of the daemon to be probed on behalf of the sender.
    pub subject_address: ::std::string::String,
    ///Digests of the chunks that the sender requests.
    pub wants: ::std::vec::Vec<u64>,
}
///The purpose of a packet: `probe` and `ack` check liveness, `indirect` requests a probe through another daemon, `join` enters the cluster, `push` carries members, values or chunks, `exchange` compares a bucket, `want` requests chunks.
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
///A revision of the lists, with the root of the tree from which its text is fetched.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct Revision {
    pub digest: Id,
    ///The revision number; 0 before the first.
    pub number: u64,
    ///The digest of the root chunk.
    pub root: u64,
}
///A small value that a daemon publishes by gossip; for each origin and key the highest sequence wins.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct SharedEntry {
    ///Whether the value is also sent to other data centres.
    pub fleet_wide: bool,
    ///The key of the value: its subject and its name.
    pub key: ::std::string::String,
    pub origin: Id,
    ///The sequence number of the write at its origin.
    pub sequence: u64,
    ///The remaining validity of the value, in milliseconds.
    pub ttl_ms: u64,
    ///The value, as a tuple of integers.
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
