//! Heartbeats of this host and replies to those of other hosts.

use std::net::SocketAddr;

use super::Member;
use super::ReadPurpose;
use super::ReceivedTally;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::Sequence;
use crate::ids::Version;
use crate::units::Moment;
use crate::version::table::effect::Effect;
use crate::version::table::message::Committed;
use crate::version::table::message::Heartbeat;
use crate::version::table::message::HeartbeatReply;
use crate::version::table::outage::PlatformView;

impl Member {
    /// Starts a heartbeat period.
    pub fn tick(&mut self, now: Moment) -> Vec<Effect> {
        if self.superseded {
            return Vec::new();
        }
        self.retried = false;
        self.is_writer = false;
        self.writer_selector.tick(now);
        self.reports.expire(now, self.cfg.lease_ttl);
        self.sequence = self.sequence.next();
        self.lease
            .record_sent(self.sequence, now, self.cfg.lease_ttl);
        if self.committed.is_none() {
            return self.read(ReadPurpose::Join);
        }
        let mut effects = self.send_or_write(now);
        // Hosts that send heartbeats to this host have selected it as the writer.
        if !self.is_writer && !self.heartbeats.is_empty() {
            effects.extend(self.write(now));
        }
        effects
    }

    /// Sends the current heartbeat to the writer, or writes the table if this host
    /// is the writer.
    pub(super) fn send_or_write(&mut self, now: Moment) -> Vec<Effect> {
        let Some((host, to)) = self.writer() else {
            let mut effects = self.write(now);
            if self.platform == PlatformView::Out {
                effects.extend(self.fallback_writer().map(|(host, to)| self.send(host, to)));
            }
            return effects;
        };
        vec![self.send(host, to)]
    }

    fn writer(&self) -> Option<(HostId, SocketAddr)> {
        self.writer_selector
            .writer(self.known_table(), &self.identity.host)
    }

    fn fallback_writer(&self) -> Option<(HostId, SocketAddr)> {
        self.writer_selector
            .fallback(self.known_table(), &self.identity.host)
    }

    fn send(&self, host: HostId, to: SocketAddr) -> Effect {
        Effect::Send {
            host,
            to,
            heartbeat: Box::new(self.heartbeat()),
        }
    }

    pub(super) fn heartbeat(&self) -> Heartbeat {
        Heartbeat {
            table: self.table.clone(),
            host: self.identity.host.clone(),
            data_centre: self.identity.data_centre.clone(),
            peer: self.identity.peer,
            caller: self.identity.caller,
            incarnation: self.incarnation,
            sequence: self.sequence,
            draining: self.draining,
            released: self.holdings.releases(),
            ownership: self.ownership(),
            platform: self.platform,
            piggyback: self.piggyback,
        }
    }

    /// Handles another host's heartbeat. `None` if this process is superseded.
    pub fn on_heartbeat(&mut self, now: Moment, heartbeat: Heartbeat) -> Option<HeartbeatReply> {
        if self.superseded {
            return None;
        }
        self.reports.record(now, &heartbeat);
        let reply = self.reply(now, &heartbeat);
        let known = self.heartbeats.get(&heartbeat.host);
        let position = |h: &Heartbeat| (h.incarnation, h.sequence);
        if known.is_none_or(|known| position(known) < position(&heartbeat)) {
            self.heartbeats.insert(heartbeat.host.clone(), heartbeat);
        }
        Some(reply)
    }

    fn reply(&self, now: Moment, heartbeat: &Heartbeat) -> HeartbeatReply {
        let row = self
            .known_table()
            .and_then(|table| table.hosts.get(&heartbeat.host));
        let newer = |committed: &&Committed| committed.table.ownership > heartbeat.ownership;
        HeartbeatReply {
            version: self.committed.as_ref().map_or(Version(0), |c| c.version),
            ownership: self.ownership(),
            incarnation: row.map_or(Incarnation(0), |row| row.incarnation),
            sequence: row.map_or(Sequence(0), |row| row.sequence),
            committed: self.committed.as_ref().filter(newer).cloned(),
            platform: self.platform,
            tally: self.tally(now),
            others: 0,
            piggyback: self.piggyback,
        }
    }

    /// Handles the reply to a heartbeat of this host.
    pub fn on_reply(&mut self, now: Moment, from: &HostId, reply: HeartbeatReply) -> Vec<Effect> {
        let mut effects = Vec::new();
        if let Some(committed) = reply.committed {
            effects = self.on_committed(now, committed);
        }
        let same_incarnation = reply.incarnation == self.incarnation;
        let is_stalled = self
            .writer_selector
            .record_reply(same_incarnation.then_some(reply.sequence));
        // A reply with a newer ownership version does not extend the lease: this
        // host may have lost partitions in the table that commits the heartbeat.
        if same_incarnation && reply.ownership <= self.ownership() {
            self.lease.confirm(reply.sequence, self.cfg.lease_ttl);
        }
        let known = self.committed.as_ref().map_or(Version(0), |c| c.version);
        self.is_newest &= reply.version <= known;
        let tally = reply.tally;
        self.received_tally = Some(ReceivedTally { at: now, tally });
        if self.is_writer {
            return effects;
        }
        if reply.platform == PlatformView::Out {
            effects.extend(self.read(ReadPurpose::Probe(from.clone())));
            return effects;
        }
        if reply.platform == PlatformView::Reachable {
            self.platform = PlatformView::Unknown;
        }
        if is_stalled {
            self.suspect(now, from.clone());
            effects.extend(self.send_or_write(now));
        }
        effects
    }

    /// Handles a heartbeat that got no reply.
    pub fn on_unreachable(&mut self, now: Moment, host: HostId) -> Vec<Effect> {
        let should_write = self
            .writer_selector
            .record_failure(host, now + self.cfg.lease_ttl);
        if self.is_writer {
            return Vec::new();
        }
        if should_write {
            return self.write(now);
        }
        self.send_or_write(now)
    }

    pub(super) fn suspect(&mut self, now: Moment, host: HostId) {
        self.writer_selector.suspect(host, now + self.cfg.lease_ttl);
    }
}
