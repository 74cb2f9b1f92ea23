//! Packets are accepted only with a tag that was computed with the same key.

use messages::cluster::{Bucket, Id, MemberRecord, MemberState, Packet, PacketKind, Revision};
use messages::{PacketError, decode_signed, encode_signed};
use rstest::rstest;

fn packet() -> Packet {
    let id = Id { high: u64::MAX, low: 1 };
    let member = MemberRecord {
        id: id.clone(),
        address: "10.0.0.1:7000".to_string(),
        data_centre: "nelson".to_string(),
        sequence: 3,
        state: MemberState::Suspected,
    };
    Packet {
        kind: PacketKind::Probe,
        from: id.clone(),
        number: 7,
        subject: id.clone(),
        subject_address: String::new(),
        revision: Revision { number: 1, digest: id, root: 2 },
        bucket: Bucket { bits: 1, index: 1, digest: 9 },
        members: vec![member],
        entries: Vec::new(),
        wants: vec![5],
        chunks: Vec::new(),
    }
}

#[test]
fn packet_signed_with_the_same_key_is_decoded() {
    let buf = encode_signed(b"key", &packet()).unwrap();
    assert_eq!(decode_signed(b"key", &buf).unwrap(), packet());
}

#[rstest]
#[case::another_key(b"kez", 0, 0)]
#[case::a_changed_body(b"key", 3, 1)]
#[case::a_changed_tag(b"key", 200, 1)]
fn packet_with_a_mismatched_tag_is_rejected(
    #[case] key: &[u8],
    #[case] position: usize,
    #[case] change: u8,
) {
    let mut buf = encode_signed(b"key", &packet()).unwrap();
    let position = position.min(buf.len() - 1);
    buf[position] ^= change;
    assert!(matches!(decode_signed(key, &buf), Err(PacketError::TagMismatch)));
}

#[test]
fn packet_too_short_for_a_tag_is_rejected() {
    assert!(matches!(decode_signed(b"key", b"short"), Err(PacketError::TooShort { len: 5 })));
}
