//! Failure detection as in SWIM: a direct probe, indirect probes through peers, then a suspicion
//! that the member can refute.

use super::prober::{OutstandingProbe, Relay};
use super::state::Cluster;
use super::{Effect, Identity, Member, MemberState};
use crate::Millis;
use messages::cluster::{Packet, PacketKind};
use rand::seq::IteratorRandom;
use std::net::SocketAddr;

impl Cluster {
    pub(super) fn probe_when_due(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        if now >= self.prober.next_at {
            self.prober.next_at = now + self.cfg.probe_interval;
            let local: Vec<Identity> = self.local().map(|member| member.identity).collect();
            let target = self.prober.next_target(local, &mut self.rng);
            if let Some(target) = target {
                self.probe(target, now, effects);
            }
        }
        if self.is_bridge && now >= self.due.bridge {
            self.due.bridge = now + self.cfg.probe_interval;
            self.probe_other_data_centre(now, effects);
        }
    }

    /// Probes a member of another data centre, each data centre in turn. A missing reply raises no
    /// suspicion: whether a member is alive is decided in its own data centre.
    fn probe_other_data_centre(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        let addresses = self.sample_each_remote();
        if addresses.is_empty() {
            return;
        }
        self.bridge_cursor = self.bridge_cursor.wrapping_add(1);
        let to = addresses[self.bridge_cursor % addresses.len()];
        let number = self.prober.next_number();
        let packet = self.probe_packet(number, to, now);
        effects.push(Effect::Send { to, packet });
    }

    /// Probes a member and records the probe as outstanding.
    pub(super) fn probe(&mut self, target: Identity, now: Millis, effects: &mut Vec<Effect>) {
        let Some(member) = self.members.get(target) else { return };
        let address = member.address;
        let number = self.prober.next_number();
        let packet = self.probe_packet(number, address, now);
        let outstanding =
            OutstandingProbe { target, address, sent_at: now, indirect_requested: false };
        self.prober.outstanding.insert(number, outstanding);
        effects.push(Effect::Send { to: address, packet });
    }

    fn probe_packet(&mut self, number: u64, to: SocketAddr, now: Millis) -> Packet {
        let mut packet = self.packet(PacketKind::Probe, number);
        packet.members.push(self.me.to_record());
        let member = self.members.iter().find(|member| member.address == to).cloned();
        if let Some(suspected) = member.as_ref().filter(|m| m.state == MemberState::Suspected) {
            // A member must learn of a suspicion to refute it.
            packet.members.push(suspected.to_record());
        }
        let data_centre = member.map(|member| member.data_centre).unwrap_or_default();
        self.add_updates(&mut packet, &data_centre, now);
        packet
    }

    pub(super) fn acknowledge(
        &mut self,
        to: SocketAddr,
        number: u64,
        now: Millis,
        effects: &mut Vec<Effect>,
    ) {
        let mut packet = self.packet(PacketKind::Ack, number);
        packet.subject = self.me.identity.into();
        packet.members.push(self.me.to_record());
        let data_centre = self.data_centre_of(to);
        self.add_updates(&mut packet, &data_centre, now);
        effects.push(Effect::Send { to, packet });
    }

    pub(super) fn handle_ack(&mut self, packet: &Packet, now: Millis, effects: &mut Vec<Effect>) {
        if !self.join.is_complete {
            self.join.replies += 1;
        }
        let subject = Identity::from(&packet.subject);
        if let Some(relay) = self.prober.relays.remove(&packet.number) {
            let mut ack = self.packet(PacketKind::Ack, relay.number);
            ack.subject = packet.subject.clone();
            effects.push(Effect::Send { to: relay.requester, packet: ack });
        }
        let Some(probe) = self.prober.outstanding.remove(&packet.number) else { return };
        if probe.target != subject {
            // Another incarnation responds at the address.
            self.record_departure(probe.target, now, effects);
        }
    }

    /// Probes a member for another daemon that got no reply from it.
    pub(super) fn relay_probe(
        &mut self,
        requester: SocketAddr,
        packet: &Packet,
        now: Millis,
        effects: &mut Vec<Effect>,
    ) {
        let Ok(to) = packet.subject_address.parse() else {
            self.counters.bad_records += 1;
            return;
        };
        let number = self.prober.next_number();
        let expires = now + self.cfg.probe_interval;
        self.prober.relays.insert(number, Relay { requester, number: packet.number, expires });
        let probe = self.probe_packet(number, to, now);
        effects.push(Effect::Send { to, packet: probe });
    }

    pub(super) fn check_probes(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        self.probe_indirectly(now, effects);
        for probe in self.prober.take_timed_out(self.cfg.probe_interval, now) {
            self.suspect(probe.target, now, effects);
        }
        for identity in self.members.take_due_for_reprobe(self.cfg.suspicion_timeout, now) {
            if self.is_local(identity) {
                self.probe(identity, now, effects);
            }
        }
        let limit = self.cfg.suspicion_timeout + self.cfg.probe_interval;
        for identity in self.members.overdue(limit, now) {
            if self.is_local(identity) {
                self.record_departure(identity, now, effects);
            }
        }
    }

    fn probe_indirectly(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        let timeout = self.cfg.probe_timeout;
        let mut late = Vec::new();
        for (number, probe) in &mut self.prober.outstanding {
            if !probe.indirect_requested && now.since(probe.sent_at) >= timeout {
                probe.indirect_requested = true;
                late.push((*number, probe.target, probe.address));
            }
        }
        for (number, target, address) in late {
            // A single packet may have been lost, so the direct probe is repeated as well.
            let again = self.probe_packet(number, address, now);
            effects.push(Effect::Send { to: address, packet: again });
            let peers = self
                .members
                .iter()
                .filter(|m| m.data_centre == self.cfg.data_centre)
                .filter(|m| m.identity != target && m.state == MemberState::Live)
                .map(|m| m.address)
                .sample(&mut self.rng, self.cfg.indirect_peers);
            for to in peers {
                let mut packet = self.packet(PacketKind::Indirect, number);
                packet.subject = target.into();
                packet.subject_address = address.to_string();
                effects.push(Effect::Send { to, packet });
            }
        }
    }

    fn suspect(&mut self, target: Identity, now: Millis, effects: &mut Vec<Effect>) {
        let Some(member) = self.members.get(target).cloned() else { return };
        if member.state == MemberState::Suspected {
            return;
        }
        self.counters.suspected += 1;
        let record = Member { state: MemberState::Suspected, ..member };
        self.apply_record(record, now, effects);
    }

    fn is_local(&self, identity: Identity) -> bool {
        let member = self.members.get(identity);
        member.is_some_and(|member| member.data_centre == self.cfg.data_centre)
    }

    pub(super) fn data_centre_of(&self, address: SocketAddr) -> String {
        let member = self.members.iter().find(|member| member.address == address);
        member.map(|member| member.data_centre.clone()).unwrap_or_default()
    }
}
