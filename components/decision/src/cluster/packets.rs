//! Building packets within their limit, and taking them in.

use super::identity::mix;
use super::spread::News;
use super::state::Cluster;
use super::{Effect, Entry, Identity, Member, MemberState, Scope};
use crate::Millis;
use messages::cluster::{Bucket, Id, MemberRecord, Packet, PacketKind, SharedEntry};
use std::net::SocketAddr;

/// Bytes of an encoded packet without records, values and chunks, at most.
const PACKET_BASE: usize = 180;
/// Bytes of an encoded record besides its texts, at most.
const RECORD_BASE: usize = 45;
/// Bytes of an encoded value besides its key and numbers, at most.
const ENTRY_BASE: usize = 48;
/// Bytes of an encoded chunk besides its text and digests, at most.
const CHUNK_BASE: usize = 8;
/// Bytes of an encoded number, at most.
const NUMBER: usize = 9;

/// Returns the most bytes that a record takes in a packet.
fn record_size(record: &MemberRecord) -> usize {
    RECORD_BASE + record.address.len() + record.data_centre.len()
}

/// Returns the most bytes that a value takes in a packet.
fn entry_size(entry: &SharedEntry) -> usize {
    ENTRY_BASE + entry.key.len() + NUMBER * entry.values.len()
}

/// Returns the most bytes that a packet takes when encoded.
pub fn packet_size(packet: &Packet) -> usize {
    let records: usize = packet.members.iter().map(record_size).sum();
    let entries: usize = packet.entries.iter().map(entry_size).sum();
    let chunks: usize =
        packet.chunks.iter().map(|c| CHUNK_BASE + c.text.len() + NUMBER * c.children.len()).sum();
    PACKET_BASE + records + entries + chunks + NUMBER * packet.wants.len()
}

impl Cluster {
    /// Starts a packet with the revision in force and the digest of the next bucket.
    pub(super) fn packet(&mut self, kind: PacketKind, number: u64) -> Packet {
        let bits = self.members.bucket_bits();
        self.bucket_turn = self.bucket_turn.wrapping_add(1);
        let index = self.bucket_turn % (1 << bits);
        Packet {
            kind,
            from: self.me.identity.into(),
            number,
            subject: Id { high: 0, low: 0 },
            subject_address: String::new(),
            revision: self.lists.active_revision().into(),
            bucket: Bucket { bits, index, digest: self.bucket_digest(bits, index) },
            members: Vec::new(),
            entries: Vec::new(),
            wants: Vec::new(),
            chunks: Vec::new(),
        }
    }

    /// Returns the members of a bucket with this daemon, which its own table lacks.
    pub(super) fn bucket(&self, bits: u32, index: u64) -> Vec<&Member> {
        let me = Some(&self.me)
            .filter(|me| bits == 0 || (me.identity.0 >> (128 - bits)) as u64 == index);
        self.members.bucket(bits, index).chain(me).collect()
    }

    /// Returns a digest of a bucket that leaves out suspicions, which pass by themselves.
    pub(super) fn bucket_digest(&self, bits: u32, index: u64) -> u64 {
        self.bucket(bits, index).iter().fold(0, |sum: u64, member| {
            let identity = mix(member.identity.0 as u64, (member.identity.0 >> 64) as u64);
            sum.wrapping_add(mix(identity, member.sequence))
        })
    }

    /// Adds news to a packet for a member of `data_centre` as far as limit and budget allow.
    pub(super) fn add_news(&mut self, packet: &mut Packet, data_centre: &str, now: Millis) {
        let is_local = data_centre == self.cfg.data_centre;
        let mut size = packet_size(packet);
        let room =
            self.cfg.packet_limit_bytes.saturating_sub(size).min(self.spread.credit() as usize);
        let limit = size + room;
        let before = size;
        let repeats = usize::BITS - (self.local().count() + 1).leading_zeros() + 2;
        for news in self.spread.ordered() {
            if size + RECORD_BASE > limit {
                break;
            }
            let added = match &news {
                News::Member(identity) => self.add_record(packet, *identity, limit - size),
                News::Entry(origin, key) => {
                    self.add_entry(packet, *origin, key, is_local, limit - size, now)
                }
            };
            match added {
                Added::Fits(bytes) => {
                    size += bytes;
                    self.spread.sent(&news, repeats);
                }
                Added::Gone => self.spread.remove(&news),
                Added::NoRoom => {}
            }
        }
        self.spread.spend((size - before) as u64);
    }

    fn add_record(&self, packet: &mut Packet, identity: Identity, room: usize) -> Added {
        let known = self.members.get(identity).or_else(|| self.members.departed(identity));
        let member = if identity == self.me.identity { Some(&self.me) } else { known };
        let Some(record) = member.map(Member::to_record) else { return Added::Gone };
        let bytes = record_size(&record);
        if bytes > room {
            return Added::NoRoom;
        }
        packet.members.push(record);
        Added::Fits(bytes)
    }

    fn add_entry(
        &self,
        packet: &mut Packet,
        origin: Identity,
        key: &str,
        is_local: bool,
        room: usize,
        now: Millis,
    ) -> Added {
        let entry = self.table.get(origin, key).filter(|entry| entry.expires > now);
        let Some(entry) = entry else { return Added::Gone };
        if !is_local && entry.scope == Scope::DataCentre {
            return Added::NoRoom;
        }
        let entry = entry.to_wire(now);
        let bytes = entry_size(&entry);
        if bytes > room {
            return Added::NoRoom;
        }
        packet.entries.push(entry);
        Added::Fits(bytes)
    }

    /// Sends records and values in as many packets as they need.
    pub(super) fn send_all(
        &mut self,
        to: SocketAddr,
        records: Vec<MemberRecord>,
        entries: Vec<SharedEntry>,
        effects: &mut Vec<Effect>,
    ) {
        let mut packet = self.packet(PacketKind::Push, 0);
        let mut size = packet_size(&packet);
        for record in records {
            if size + record_size(&record) > self.cfg.packet_limit_bytes {
                let next = self.packet(PacketKind::Push, 0);
                size = packet_size(&next);
                effects.push(Effect::Send { to, packet: std::mem::replace(&mut packet, next) });
            }
            size += record_size(&record);
            packet.members.push(record);
        }
        for entry in entries {
            if size + entry_size(&entry) > self.cfg.packet_limit_bytes {
                let next = self.packet(PacketKind::Push, 0);
                size = packet_size(&next);
                effects.push(Effect::Send { to, packet: std::mem::replace(&mut packet, next) });
            }
            size += entry_size(&entry);
            packet.entries.push(entry);
        }
        effects.push(Effect::Send { to, packet });
    }

    /// Takes in a packet from another daemon.
    pub(super) fn receive(
        &mut self,
        from: SocketAddr,
        packet: Packet,
        now: Millis,
        effects: &mut Vec<Effect>,
    ) {
        let sender = Identity::from(&packet.from);
        if sender == self.me.identity {
            return;
        }
        if let Some(ended) = self.members.departed(sender) {
            self.counters.from_departed += 1;
            let record = ended.to_record();
            if ended.state == MemberState::Dead {
                self.send_all(from, vec![record], Vec::new(), effects);
            }
            return;
        }
        self.learn_all(sender, &packet, now, effects);
        let known = self.members.get(sender);
        let reply_to = known.map_or(from, |member| member.address);
        if let Some(data_centre) = known.map(|member| member.data_centre.clone()) {
            self.heard.insert(data_centre, now);
        }
        for entry in &packet.entries {
            self.take_entry(Entry::from_wire(entry, now), now);
        }
        self.lists.announced((&packet.revision).into(), reply_to, now);
        self.take_chunks(&packet, now, effects);
        self.serve_wants(reply_to, &packet.wants, effects);
        self.answer(sender, reply_to, &packet, now, effects);
        self.fetch(now, effects);
    }

    fn take_entry(&mut self, entry: Entry, now: Millis) {
        if entry.origin == self.me.identity || self.members.departed(entry.origin).is_some() {
            return;
        }
        let news = News::Entry(entry.origin, entry.key.clone());
        if self.table.merge(entry, self.cfg.table_limit_bytes, now) {
            self.spread.push(news);
        } else {
            self.spread.heard(&news);
        }
    }

    fn answer(
        &mut self,
        sender: Identity,
        to: SocketAddr,
        packet: &Packet,
        now: Millis,
        effects: &mut Vec<Effect>,
    ) {
        match packet.kind {
            PacketKind::Probe => {
                self.acknowledge(to, packet.number, now, effects);
                self.compare_bucket(to, &packet.bucket, now, effects);
            }
            PacketKind::Ack => {
                self.take_ack(packet, now, effects);
                self.compare_bucket(to, &packet.bucket, now, effects);
            }
            PacketKind::Indirect => self.probe_for(to, packet, now, effects),
            PacketKind::Join => {
                self.acknowledge(to, packet.number, now, effects);
                self.introduce(sender, to, now, effects);
            }
            PacketKind::Exchange => self.complete_exchange(to, packet, effects),
            PacketKind::Push | PacketKind::Want => {}
        }
    }
}

/// Whether news found room in a packet.
enum Added {
    Fits(usize),
    NoRoom,
    Gone,
}
