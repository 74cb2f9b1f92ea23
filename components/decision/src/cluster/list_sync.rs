//! Reading lists from the store or from peers, announcing new revisions, and sending gossip.

use super::state::Cluster;
use super::{Effect, OfferOutcome, Revision, StoreOutcome, packet_bytes};
use crate::Millis;
use messages::cluster::{Packet, PacketKind};
use std::net::SocketAddr;
use std::sync::Arc;

/// Number of times that a new revision is announced.
const ANNOUNCEMENT_COUNT: u32 = 4;
/// Time between two announcements of a revision.
const ANNOUNCEMENT_INTERVAL: Millis = Millis(100);
/// Minimum gossip budget for which a packet that contains only gossip is sent.
const MIN_GOSSIP_BYTES: u64 = 200;

impl Cluster {
    /// Handles lists that were read from the store.
    pub(super) fn handle_store_lists(
        &mut self,
        version: u64,
        revision: u64,
        text: String,
        now: Millis,
        effects: &mut Vec<Effect>,
    ) {
        let limits = self.store_limits();
        self.store.record_outcome(StoreOutcome::Read { version }, &limits, &mut self.rng, now);
        let before = self.lists.active_revision();
        match self.lists.offer(revision, &text) {
            OfferOutcome::Activated => {}
            OfferOutcome::Unchanged => self.reported_outdated = None,
            OfferOutcome::Older => self.report_outdated(revision, effects),
            OfferOutcome::Conflict => effects.push(Effect::RevisionConflict { revision }),
        }
        if self.lists.active_revision() > before {
            self.activate_lists(text, now, effects);
        }
    }

    fn report_outdated(&mut self, store: u64, effects: &mut Vec<Effect>) {
        if self.reported_outdated == Some(store) {
            return;
        }
        self.reported_outdated = Some(store);
        effects.push(Effect::StoreOutdated { store, active: self.lists.active_revision().number });
    }

    fn activate_lists(&mut self, text: String, now: Millis, effects: &mut Vec<Effect>) {
        let revision: Revision = self.lists.active_revision();
        effects.push(Effect::ActivateLists { revision, text });
        self.announcements_left = ANNOUNCEMENT_COUNT;
        self.due.announce = now;
        self.announce_when_due(now, effects);
        self.report_ready(effects);
    }

    pub(super) fn receive_chunks(
        &mut self,
        packet: &Packet,
        now: Millis,
        effects: &mut Vec<Effect>,
    ) {
        for chunk in &packet.chunks {
            if let Some(text) = self.lists.receive(chunk.clone(), now) {
                self.activate_lists(text, now, effects);
            }
        }
    }

    /// Sends the requested chunks that this daemon has.
    pub(super) fn serve_chunks(
        &mut self,
        to: SocketAddr,
        wants: &[u64],
        effects: &mut Vec<Effect>,
    ) {
        let found: Vec<_> =
            wants.iter().filter_map(|name| self.lists.chunk(*name).map(Arc::clone)).collect();
        let mut packet = self.packet(PacketKind::Push, 0);
        for chunk in found {
            packet.chunks.push((*chunk).clone());
            if packet_bytes(&packet) <= self.cfg.packet_limit_bytes {
                continue;
            }
            packet.chunks.pop();
            let mut next = self.packet(PacketKind::Push, 0);
            next.chunks.push((*chunk).clone());
            effects.push(Effect::Send { to, packet: std::mem::replace(&mut packet, next) });
        }
        if !packet.chunks.is_empty() {
            effects.push(Effect::Send { to, packet });
        }
    }

    pub(super) fn sync_lists(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        self.announce_when_due(now, effects);
        self.fetch(now, effects);
        // A revision whose chunks are all known already is complete without a request.
        if let Some(text) = self.lists.complete_fetch() {
            self.activate_lists(text, now, effects);
        }
        if !self.is_watcher || !self.join.is_complete || now < self.due.store {
            return;
        }
        let limits = self.store_limits();
        if let Some(call) = self.store.next_call(&limits, now) {
            effects.push(Effect::Store(call));
        }
    }

    /// Requests missing chunks from one of the peers that announced the revision.
    pub(super) fn fetch(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        let window = self.cfg.fetch_window;
        let Some((to, names)) = self.lists.next_request(window, self.cfg.fetch_timeout, now) else {
            return;
        };
        let mut packet = self.packet(PacketKind::Want, 0);
        packet.wants = names;
        effects.push(Effect::Send { to, packet });
    }

    fn announce_when_due(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        if self.announcements_left == 0 || now < self.due.announce {
            return;
        }
        let is_first = self.announcements_left == ANNOUNCEMENT_COUNT;
        self.announcements_left -= 1;
        self.due.announce = now + ANNOUNCEMENT_INTERVAL;
        let count = if is_first { self.cfg.fanout } else { self.cfg.fanout / 2 };
        let mut targets = self.sample_local(count);
        if self.is_bridge && is_first {
            targets.extend(self.sample_each_remote());
        }
        for to in targets {
            let packet = self.packet(PacketKind::Push, 0);
            effects.push(Effect::Send { to, packet });
        }
    }

    /// Sends a packet that contains only gossip to a random member of this data centre.
    pub(super) fn gossip_when_due(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        if now < self.due.gossip || self.gossip.is_empty() {
            return;
        }
        if self.gossip.budget_bytes() < MIN_GOSSIP_BYTES {
            return;
        }
        self.due.gossip = now + self.cfg.gossip_interval;
        let Some(to) = self.sample_local(1).pop() else { return };
        let mut packet = self.packet(PacketKind::Push, 0);
        let data_centre = self.cfg.data_centre.clone();
        self.add_updates(&mut packet, &data_centre, now);
        effects.push(Effect::Send { to, packet });
    }
}
