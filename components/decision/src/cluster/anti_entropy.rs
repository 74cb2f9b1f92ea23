//! Synchronisation of member tables: in full when a daemon joins, later by buckets that differ. A
//! bucket contains the members whose identities begin with the same bits.

use super::state::Cluster;
use super::{Effect, Identity, Member, Scope};
use crate::Millis;
use messages::cluster::{Bucket, Packet, PacketKind};
use rand::seq::IteratorRandom;
use std::net::SocketAddr;

/// Minimum time between two bucket exchanges started by this daemon.
const EXCHANGE_INTERVAL: Millis = Millis(1_000);

impl Cluster {
    /// Sends a joining daemon all members and all values whose scope includes it.
    pub(super) fn send_full_state(
        &mut self,
        joiner: Identity,
        to: SocketAddr,
        now: Millis,
        effects: &mut Vec<Effect>,
    ) {
        let is_local = self
            .members
            .get(joiner)
            .is_some_and(|member| member.data_centre == self.cfg.data_centre);
        let others = self.members.iter().filter(|member| member.identity != joiner);
        let records = others.map(Member::to_record).collect();
        let visible = self.table.iter(now).filter(|e| is_local || e.scope == Scope::Fleet);
        let entries = visible.map(|entry| entry.to_wire(now)).collect();
        self.send_all(to, records, entries, effects);
    }

    /// Sends the records of a bucket if its digest differs from the peer's, at most once per
    /// [`EXCHANGE_INTERVAL`]. If one packet is too small for all of them, it contains a random
    /// selection.
    pub(super) fn compare_bucket(
        &mut self,
        to: SocketAddr,
        bucket: &Bucket,
        now: Millis,
        effects: &mut Vec<Effect>,
    ) {
        let Bucket { bits, index, digest } = *bucket;
        if bits > 16 || self.bucket_digest(bits, index) == digest || now < self.due.exchange {
            return;
        }
        self.due.exchange = now + EXCHANGE_INTERVAL;
        let mut packet = self.packet(PacketKind::Exchange, 0);
        packet.bucket = Bucket { bits, index, digest: self.bucket_digest(bits, index) };
        let records: Vec<_> = self.bucket(bits, index).into_iter().map(Member::to_record).collect();
        let count = records.len();
        for record in records.into_iter().sample(&mut self.rng, count) {
            packet.members.push(record);
            if super::packet_bytes(&packet) > self.cfg.packet_limit_bytes {
                packet.members.pop();
                break;
            }
        }
        effects.push(Effect::Send { to, packet });
    }

    /// Replies to an exchange with the records of the bucket that the peer lacks, or has with a
    /// lower sequence number.
    pub(super) fn reply_to_exchange(
        &mut self,
        to: SocketAddr,
        packet: &Packet,
        effects: &mut Vec<Effect>,
    ) {
        let Bucket { bits, index, .. } = packet.bucket;
        if bits > 16 {
            return;
        }
        let has = |member: &Member| {
            let same = packet.members.iter().find(|r| Identity::from(&r.id) == member.identity);
            same.is_some_and(|record| record.sequence >= member.sequence)
        };
        let missing: Vec<_> = self
            .bucket(bits, index)
            .into_iter()
            .filter(|member| !has(member))
            .map(Member::to_record)
            .collect();
        if !missing.is_empty() {
            self.send_all(to, missing, Vec::new(), effects);
        }
    }
}
