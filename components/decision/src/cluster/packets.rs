//! Building packets within the size limit, and handling received packets.

use super::gossip::Update;
use super::identity::mix;
use super::state::Cluster;
use super::{Effect, Entry, Identity, Member, MemberState, Scope};
use crate::Millis;
use messages::cluster::{Bucket, Id, MemberRecord, Packet, PacketKind, SharedEntry};
use std::net::SocketAddr;

/// Upper bound of the size of an encoded packet without its records, entries, chunks and wanted
/// digests.
const PACKET_BASE_BYTES: usize = 180;
/// Upper bound of the size of an encoded member record without its strings.
const RECORD_BASE_BYTES: usize = 45;
/// Upper bound of the size of an encoded entry without its key and values.
const ENTRY_BASE_BYTES: usize = 48;
/// Upper bound of the size of an encoded chunk without its text and child digests.
const CHUNK_BASE_BYTES: usize = 8;
/// Upper bound of the size of an encoded integer.
const NUMBER_BYTES: usize = 9;

fn record_bytes(record: &MemberRecord) -> usize {
    RECORD_BASE_BYTES + record.address.len() + record.data_centre.len()
}

fn entry_bytes(entry: &SharedEntry) -> usize {
    ENTRY_BASE_BYTES + entry.key.len() + NUMBER_BYTES * entry.values.len()
}

/// Upper bound of the encoded size of a packet, in bytes.
pub fn packet_bytes(packet: &Packet) -> usize {
    let records: usize = packet.members.iter().map(record_bytes).sum();
    let entries: usize = packet.entries.iter().map(entry_bytes).sum();
    let chunks: usize = packet
        .chunks
        .iter()
        .map(|c| CHUNK_BASE_BYTES + c.text.len() + NUMBER_BYTES * c.children.len())
        .sum();
    PACKET_BASE_BYTES + records + entries + chunks + NUMBER_BYTES * packet.wants.len()
}

impl Cluster {
    /// Creates a packet with the active revision and the digest of one bucket, each bucket in turn.
    pub(super) fn packet(&mut self, kind: PacketKind, number: u64) -> Packet {
        let bits = self.members.bucket_bits();
        self.bucket_cursor = self.bucket_cursor.wrapping_add(1);
        let index = self.bucket_cursor % (1 << bits);
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

    /// Members of a bucket, including this daemon, which is not in its own member table.
    pub(super) fn bucket(&self, bits: u32, index: u64) -> Vec<&Member> {
        let me = Some(&self.me)
            .filter(|me| bits == 0 || (me.identity.0 >> (128 - bits)) as u64 == index);
        self.members.bucket(bits, index).chain(me).collect()
    }

    /// Digest of a bucket over identities and sequence numbers. Suspicions are left out because they
    /// end without an exchange.
    pub(super) fn bucket_digest(&self, bits: u32, index: u64) -> u64 {
        self.bucket(bits, index).iter().fold(0, |sum: u64, member| {
            let identity = mix(member.identity.0 as u64, (member.identity.0 >> 64) as u64);
            sum.wrapping_add(mix(identity, member.sequence))
        })
    }

    /// Adds queued updates to a packet for a member of `data_centre`, within the packet limit and the
    /// gossip budget.
    pub(super) fn add_updates(&mut self, packet: &mut Packet, data_centre: &str, now: Millis) {
        let is_local = data_centre == self.cfg.data_centre;
        let mut size = packet_bytes(packet);
        let capacity = self
            .cfg
            .packet_limit_bytes
            .saturating_sub(size)
            .min(self.gossip.budget_bytes() as usize);
        let limit = size + capacity;
        let size_before = size;
        // Transmissions of each update: logarithmic in the number of daemons of the data centre.
        let repeats = usize::BITS - (self.local().count() + 1).leading_zeros() + 2;
        for update in self.gossip.ordered() {
            if size + RECORD_BASE_BYTES > limit {
                break;
            }
            let added = match &update {
                Update::Member(identity) => self.add_record(packet, *identity, limit - size),
                Update::Entry(origin, key) => {
                    self.add_entry(packet, *origin, key, is_local, limit - size, now)
                }
            };
            match added {
                AddOutcome::Added(bytes) => {
                    size += bytes;
                    self.gossip.record_sent(&update, repeats);
                }
                AddOutcome::Obsolete => self.gossip.remove(&update),
                AddOutcome::Skipped => {}
            }
        }
        self.gossip.spend((size - size_before) as u64);
    }

    fn add_record(&self, packet: &mut Packet, identity: Identity, capacity: usize) -> AddOutcome {
        let known = self.members.get(identity).or_else(|| self.members.departed(identity));
        let member = if identity == self.me.identity { Some(&self.me) } else { known };
        let Some(record) = member.map(Member::to_record) else { return AddOutcome::Obsolete };
        let bytes = record_bytes(&record);
        if bytes > capacity {
            return AddOutcome::Skipped;
        }
        packet.members.push(record);
        AddOutcome::Added(bytes)
    }

    fn add_entry(
        &self,
        packet: &mut Packet,
        origin: Identity,
        key: &str,
        is_local: bool,
        capacity: usize,
        now: Millis,
    ) -> AddOutcome {
        let entry = self.table.get(origin, key).filter(|entry| entry.expires > now);
        let Some(entry) = entry else { return AddOutcome::Obsolete };
        if !is_local && entry.scope == Scope::DataCentre {
            return AddOutcome::Skipped;
        }
        let entry = entry.to_wire(now);
        let bytes = entry_bytes(&entry);
        if bytes > capacity {
            return AddOutcome::Skipped;
        }
        packet.entries.push(entry);
        AddOutcome::Added(bytes)
    }

    /// Sends records and entries in as many packets as needed; at least one.
    pub(super) fn send_all(
        &mut self,
        to: SocketAddr,
        records: Vec<MemberRecord>,
        entries: Vec<SharedEntry>,
        effects: &mut Vec<Effect>,
    ) {
        let mut packet = self.packet(PacketKind::Push, 0);
        let mut size = packet_bytes(&packet);
        for record in records {
            if size + record_bytes(&record) > self.cfg.packet_limit_bytes {
                let next = self.packet(PacketKind::Push, 0);
                size = packet_bytes(&next);
                effects.push(Effect::Send { to, packet: std::mem::replace(&mut packet, next) });
            }
            size += record_bytes(&record);
            packet.members.push(record);
        }
        for entry in entries {
            if size + entry_bytes(&entry) > self.cfg.packet_limit_bytes {
                let next = self.packet(PacketKind::Push, 0);
                size = packet_bytes(&next);
                effects.push(Effect::Send { to, packet: std::mem::replace(&mut packet, next) });
            }
            size += entry_bytes(&entry);
            packet.entries.push(entry);
        }
        effects.push(Effect::Send { to, packet });
    }

    /// Handles a packet from another daemon.
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
        if let Some(departed) = self.members.departed(sender) {
            self.counters.from_departed += 1;
            let record = departed.to_record();
            if departed.state == MemberState::Dead {
                self.send_all(from, vec![record], Vec::new(), effects);
            }
            return;
        }
        self.apply_records(sender, &packet, now, effects);
        let known = self.members.get(sender);
        let reply_to = known.map_or(from, |member| member.address);
        if let Some(data_centre) = known.map(|member| member.data_centre.clone()) {
            self.last_contact.insert(data_centre, now);
        }
        for entry in &packet.entries {
            self.apply_entry(Entry::from_wire(entry, now), now);
        }
        self.lists.record_announcement((&packet.revision).into(), reply_to, now);
        self.receive_chunks(&packet, now, effects);
        self.serve_chunks(reply_to, &packet.wants, effects);
        self.reply(sender, reply_to, &packet, now, effects);
        self.fetch(now, effects);
    }

    fn apply_entry(&mut self, entry: Entry, now: Millis) {
        if entry.origin == self.me.identity || self.members.departed(entry.origin).is_some() {
            return;
        }
        let update = Update::Entry(entry.origin, entry.key.clone());
        if self.table.merge(entry, self.cfg.table_limit_bytes, now) {
            self.gossip.push(update);
        } else {
            self.gossip.record_duplicate(&update);
        }
    }

    fn reply(
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
                self.handle_ack(packet, now, effects);
                self.compare_bucket(to, &packet.bucket, now, effects);
            }
            PacketKind::Indirect => self.relay_probe(to, packet, now, effects),
            PacketKind::Join => {
                self.acknowledge(to, packet.number, now, effects);
                self.send_full_state(sender, to, now, effects);
            }
            PacketKind::Exchange => self.reply_to_exchange(to, packet, effects),
            PacketKind::Push | PacketKind::Want => {}
        }
    }
}

/// Outcome of adding an update to a packet.
enum AddOutcome {
    /// Added, with its size in bytes.
    Added(usize),
    /// Too large, or not meant for the receiver's data centre.
    Skipped,
    /// The content no longer exists.
    Obsolete,
}
