use bytes::Bytes;
use serde::de::{Error, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt::{self, Formatter};

/// Bytes that are encoded as such, and not as a sequence of numbers. Clones share them.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Packed(pub Bytes);

impl Serialize for Packed {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for Packed {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Packed, D::Error> {
        deserializer.deserialize_byte_buf(PackedVisitor)
    }
}

struct PackedVisitor;

impl<'de> Visitor<'de> for PackedVisitor {
    type Value = Packed;

    fn expecting(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str("bytes")
    }

    fn visit_bytes<E: Error>(self, bytes: &[u8]) -> Result<Packed, E> {
        Ok(Packed(Bytes::copy_from_slice(bytes)))
    }

    fn visit_byte_buf<E: Error>(self, bytes: Vec<u8>) -> Result<Packed, E> {
        Ok(Packed(Bytes::from(bytes)))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Packed, A::Error> {
        let mut bytes = Vec::new();
        while let Some(byte) = seq.next_element()? {
            bytes.push(byte);
        }
        Ok(Packed(Bytes::from(bytes)))
    }
}
