//! Joining and leaving the cluster, applying member records, and continuing under a new identity
//! after being declared dead.

use super::gossip::Update;
use super::state::Cluster;
use super::{Effect, Identity, Member, MemberChange, MemberState, Merge, Seed};
use crate::Millis;
use messages::cluster::{Packet, PacketKind};
use rand::seq::{IndexedRandom, IteratorRandom};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Number of daemons contacted in one attempt to join.
const JOIN_PEERS: usize = 2;
/// Number of replies that complete a join. One reply is enough after two attempts.
const JOIN_REPLIES: u32 = 2;
/// Time between two probes of listed daemons that are not yet members.
const SEED_INTERVAL: Millis = Millis(2_000);

impl Cluster {
    /// Applies the member records of a packet. If some of them show departed members as live or
    /// suspected, replies to the sender with the tombstones.
    pub(super) fn apply_records(
        &mut self,
        sender: Identity,
        packet: &Packet,
        now: Millis,
        effects: &mut Vec<Effect>,
    ) {
        let mut departed = Vec::new();
        let mut reply_to = self.members.get(sender).map(|member| member.address);
        for record in &packet.members {
            let Some(member) = Member::from_record(record) else {
                self.counters.bad_records += 1;
                continue;
            };
            if member.identity == sender {
                reply_to = Some(member.address);
            }
            if let Some(tombstone) = self.apply_record(member, now, effects) {
                departed.push(tombstone.to_record());
            }
        }
        if let (Some(to), false) = (reply_to, departed.is_empty()) {
            self.send_all(to, departed, Vec::new(), effects);
        }
    }

    /// Applies a member record. Returns the tombstone if the record shows a departed member as live
    /// or suspected.
    pub(super) fn apply_record(
        &mut self,
        record: Member,
        now: Millis,
        effects: &mut Vec<Effect>,
    ) -> Option<Member> {
        if record.identity == self.me.identity {
            self.apply_own_record(&record, now, effects);
            return None;
        }
        let mut record = record;
        if record.address == self.me.address && !record.state.is_final() {
            // This process now uses the address, so the incarnation that used it before is dead.
            record.state = MemberState::Dead;
        }
        let identity = record.identity;
        let before = self.members.get(identity).map(|member| member.state);
        match self.members.merge(record, now) {
            Merge::Changed(member) => {
                self.record_change(before, member, now, effects);
                None
            }
            Merge::Unchanged => {
                self.gossip.record_duplicate(&Update::Member(identity));
                None
            }
            Merge::Stale => None,
            Merge::Departed(tombstone) => Some(tombstone),
        }
    }

    fn record_change(
        &mut self,
        before: Option<MemberState>,
        member: Member,
        now: Millis,
        effects: &mut Vec<Effect>,
    ) {
        let change = match (before, member.state) {
            (_, MemberState::Left) => MemberChange::Left,
            (_, MemberState::Dead) => MemberChange::Dead,
            (_, MemberState::Suspected) => MemberChange::Suspected,
            (None, MemberState::Live) => MemberChange::Joined,
            (Some(MemberState::Suspected), MemberState::Live) => MemberChange::Recovered,
            (Some(_), MemberState::Live) => {
                self.gossip.push(Update::Member(member.identity));
                return;
            }
        };
        if before.is_none() && member.state.is_final() {
            // The member was unknown here; those that knew it learn of its departure from others.
            return;
        }
        self.gossip.push(Update::Member(member.identity));
        if change == MemberChange::Joined {
            self.probe_address_conflict(&member, now, effects);
            self.delay_store_calls(&member, now);
        }
        effects.push(Effect::Member { member, change });
    }

    /// Postpones store calls at start-up while daemons of this data centre are still being
    /// discovered, because each would assume that it owns the store watch.
    fn delay_store_calls(&mut self, new: &Member, now: Millis) {
        if self.lists.active_revision().number == 0 && new.data_centre == self.cfg.data_centre {
            self.due.store = now + self.cfg.watch_delay;
        }
    }

    /// Probes a known member that has the address of a new one; the reply shows which one is
    /// running.
    fn probe_address_conflict(&mut self, new: &Member, now: Millis, effects: &mut Vec<Effect>) {
        let other = self.members.iter().find(|m| m.address == new.address && **m != *new);
        if let Some(identity) = other.map(|member| member.identity) {
            self.probe(identity, now, effects);
        }
    }

    fn apply_own_record(&mut self, record: &Member, now: Millis, effects: &mut Vec<Effect>) {
        if self.leaving {
            return;
        }
        if record.state.is_final() {
            return self.replace_identity(now, effects);
        }
        if record.state == MemberState::Suspected && record.sequence >= self.me.sequence {
            self.me.sequence = record.sequence + 1;
            self.counters.refuted += 1;
            self.gossip.push(Update::Member(self.me.identity));
            for to in self.sample_local(self.cfg.fanout) {
                let mut packet = self.packet(PacketKind::Push, 0);
                packet.members.push(self.me.to_record());
                effects.push(Effect::Send { to, packet });
            }
        }
    }

    fn replace_identity(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        let old = self.me.identity;
        let departed = Member { state: MemberState::Dead, ..self.me.clone() };
        self.members.merge(departed, now);
        self.gossip.remove(&Update::Member(old));
        self.me.identity = Identity::random(&mut self.rng);
        self.me.sequence = 0;
        self.gossip.push(Update::Member(self.me.identity));
        self.due.duties = now;
        effects.push(Effect::IdentityReplaced { old, new: self.me.identity });
    }

    /// Declares a member dead.
    pub(super) fn record_departure(
        &mut self,
        identity: Identity,
        now: Millis,
        effects: &mut Vec<Effect>,
    ) {
        let Some(member) = self.members.get(identity).cloned() else { return };
        let record = Member { state: MemberState::Dead, ..member };
        self.apply_record(record, now, effects);
    }

    /// Replaces the platform's list of daemons. Unlisted members of unreachable data centres are
    /// declared dead after `unlisted_timeout`.
    pub(super) fn update_seeds(
        &mut self,
        seeds: Vec<Seed>,
        now: Millis,
        effects: &mut Vec<Effect>,
    ) {
        let seeds: Vec<Seed> = seeds.into_iter().filter(|s| s.address != self.me.address).collect();
        let listed: BTreeSet<SocketAddr> = seeds.iter().map(|seed| seed.address).collect();
        self.seeds = Some(seeds);
        let unlisted: Vec<Identity> = self
            .members
            .iter()
            .filter(|m| self.reachable.get(&m.data_centre) == Some(&false))
            .filter(|m| !listed.contains(&m.address))
            .map(|m| m.identity)
            .collect();
        self.unlisted_since.retain(|identity, _| unlisted.contains(identity));
        for identity in unlisted {
            let since = *self.unlisted_since.entry(identity).or_insert(now);
            if now.since(since) >= self.cfg.unlisted_timeout {
                self.record_departure(identity, now, effects);
            }
        }
    }

    /// Makes the next attempt to join, or completes the join: with enough replies, or without any
    /// after `join_attempts`. After the join, probes listed daemons that are not yet members.
    pub(super) fn join_when_due(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        if self.join.is_complete {
            return self.probe_seed_when_due(now, effects);
        }
        if now < self.join.next_at {
            return;
        }
        let Some(seeds) = self.join_candidates() else { return };
        self.join.next_at = now + self.cfg.join_interval;
        let enough = self.join.replies >= JOIN_REPLIES;
        let late = self.join.attempts >= 2 && self.join.replies > 0;
        let alone = self.join.attempts >= self.cfg.join_attempts && self.join.replies == 0;
        if enough || late || alone {
            self.join.is_complete = true;
            return;
        }
        self.join.attempts += 1;
        let own = |seed: &&Seed| seed.data_centre == self.cfg.data_centre;
        let prefer_own = self.join.attempts <= 2 && seeds.iter().any(|seed| own(&seed));
        let candidates = seeds.iter().filter(|seed| !prefer_own || own(seed));
        let chosen = candidates.map(|seed| seed.address).sample(&mut self.rng, JOIN_PEERS);
        for to in chosen {
            let number = self.prober.next_number();
            let mut packet = self.packet(PacketKind::Join, number);
            packet.members.push(self.me.to_record());
            effects.push(Effect::Send { to, packet });
        }
    }

    /// Daemons to contact when joining: those on the platform's list or, without a list, the members
    /// that have already contacted this daemon.
    fn join_candidates(&self) -> Option<Vec<Seed>> {
        if self.seeds.is_some() || self.members.is_empty() {
            return self.seeds.clone();
        }
        let seed = |m: &Member| Seed { address: m.address, data_centre: m.data_centre.clone() };
        Some(self.members.iter().map(seed).collect())
    }

    fn probe_seed_when_due(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        if now < self.due.seeds {
            return;
        }
        self.due.seeds = now + SEED_INTERVAL;
        let Some(seeds) = &self.seeds else { return };
        let known: BTreeSet<SocketAddr> = self.members.iter().map(|m| m.address).collect();
        let unknown: Vec<&Seed> = seeds.iter().filter(|s| !known.contains(&s.address)).collect();
        let Some(to) = unknown.choose(&mut self.rng).map(|seed| seed.address) else { return };
        let number = self.prober.next_number();
        let mut packet = self.packet(PacketKind::Probe, number);
        packet.members.push(self.me.to_record());
        effects.push(Effect::Send { to, packet });
    }

    /// Announces the departure, now and again on each of the next two ticks.
    pub(super) fn leave(&mut self, _now: Millis, effects: &mut Vec<Effect>) {
        self.leaving = true;
        self.me.state = MemberState::Left;
        self.announcements_left = 3;
        self.repeat_leave(effects);
    }

    pub(super) fn repeat_leave(&mut self, effects: &mut Vec<Effect>) {
        if self.announcements_left == 0 {
            return;
        }
        self.announcements_left -= 1;
        let mut targets = self.sample_local(self.cfg.fanout);
        targets.extend(self.sample_each_remote());
        for to in targets {
            let mut packet = self.packet(PacketKind::Push, 0);
            packet.members.push(self.me.to_record());
            effects.push(Effect::Send { to, packet });
        }
    }

    /// Addresses of up to `count` random members of this data centre.
    pub(super) fn sample_local(&mut self, count: usize) -> Vec<SocketAddr> {
        let local = self.members.iter().filter(|m| m.data_centre == self.cfg.data_centre);
        local.map(|member| member.address).sample(&mut self.rng, count)
    }

    /// Address of one random member of each other data centre.
    pub(super) fn sample_each_remote(&mut self) -> Vec<SocketAddr> {
        let others = self.members.iter().filter(|m| m.data_centre != self.cfg.data_centre);
        let names: BTreeSet<&str> = others.map(|m| m.data_centre.as_str()).collect();
        let mut addresses = Vec::new();
        for name in names {
            let members = self.members.iter().filter(|m| m.data_centre == name);
            addresses.extend(members.map(|m| m.address).choose(&mut self.rng));
        }
        addresses
    }
}
