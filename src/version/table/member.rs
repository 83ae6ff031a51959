//! One host's part in one table: heartbeats, its lease, and writing in turn.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::assignment::has_successor;
use super::effect::Effect;
use super::effect::PartitionEvent;
use super::effect::PlatformFailure;
use super::holdings::Holdings;
use super::lease::OwnLease;
use super::lease::Sightings;
use super::message::Committed;
use super::message::Heartbeat;
use super::message::HeartbeatReply;
use super::message::Piggyback;
use super::outage::PlatformView;
use super::outage::Reports;
use super::outage::Tally;
use super::rows::HostRow;
use super::rows::Table;
use super::successor::Knowledge;
use super::successor::row_of;
use crate::configs::membership::MembershipConfig;
use crate::connection::platform::Expect;
use crate::connection::platform::Written;
use crate::ids::DataCentre;
use crate::ids::Epoch;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::Partition;
use crate::ids::Sequence;
use crate::ids::Version;
use crate::units::Moment;

/// Hosts tried in one period before this host writes by itself.
const MAX_WRITERS_TRIED: u32 = 3;

/// Replies without a newly committed heartbeat after which another writer is tried.
const MAX_STALLED_REPLIES: u32 = 3;

/// Random bits at the low end of an incarnation.
const INCARNATION_RANDOM_BITS: u32 = 20;

const INCARNATION_RANDOM_MASK: u64 = (1 << INCARNATION_RANDOM_BITS) - 1;

/// An incarnation from the wall clock and a random number.
///
/// The clock orders the starts of a host as a rule; one that has stepped back
/// does no harm, since an incarnation found in the table is always exceeded.
pub fn incarnation(since_unix_epoch: Duration, random: u64) -> Incarnation {
    let millis = u64::try_from(since_unix_epoch.as_millis()).unwrap_or_default();
    let ordered = millis << INCARNATION_RANDOM_BITS;
    Incarnation(ordered | random & INCARNATION_RANDOM_MASK)
}

/// Name, place and addresses of a host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Identity {
    /// The host.
    pub host: HostId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Where it listens for other hosts.
    pub peer: SocketAddr,
    /// Where it listens for callers.
    pub caller: SocketAddr,
}

/// What a host may do for a partition's programs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Serve {
    /// Everything; the lease is held and the journal is fenced.
    Full,
    /// Repeatable calls only; the platform is out and another host may own
    /// the partition by now.
    RepeatableOnly,
    /// Nothing.
    No,
}

/// Why a table is being read.
#[derive(Clone, Debug, Eq, PartialEq)]
enum ReadPurpose {
    /// To learn the table at start.
    Join,
    /// To write its successor.
    Write,
    /// To tell whether only this writer is without the platform.
    Probe(HostId),
}

#[derive(Clone, Copy, Debug)]
struct HeardTally {
    at: Moment,
    tally: Tally,
}

/// One host's part in one table.
#[derive(Clone, Debug)]
pub struct Member {
    cfg: MembershipConfig,
    identity: Identity,
    table: DataCentre,
    incarnation: Incarnation,
    incarnation_committed: bool,
    superseded: bool,
    draining: bool,
    sequence: Sequence,
    lease: OwnLease,
    sightings: Sightings,
    committed: Option<Committed>,
    is_newest: bool,
    holdings: Holdings,
    heartbeats: BTreeMap<HostId, Heartbeat>,
    reports: Reports,
    suspects: BTreeMap<HostId, Moment>,
    platform: PlatformView,
    platform_at: Moment,
    calling: bool,
    heard_tally: Option<HeardTally>,
    reading: Option<ReadPurpose>,
    retried: bool,
    tried: u32,
    replied: Sequence,
    stalled: u32,
    writes: bool,
    piggyback: Piggyback,
}

impl Member {
    /// A host's part in its own data centre's table.
    ///
    /// `start` is made by [`incarnation`].
    pub fn new(identity: Identity, start: Incarnation, cfg: MembershipConfig) -> Self {
        Self {
            table: identity.data_centre.clone(),
            holdings: Holdings::new(identity.data_centre.clone()),
            cfg,
            identity,
            incarnation: start,
            incarnation_committed: false,
            superseded: false,
            draining: false,
            sequence: Sequence(0),
            lease: OwnLease::default(),
            sightings: Sightings::default(),
            committed: None,
            is_newest: false,
            heartbeats: BTreeMap::new(),
            reports: Reports::default(),
            suspects: BTreeMap::new(),
            platform: PlatformView::Unknown,
            platform_at: Moment::default(),
            calling: false,
            heard_tally: None,
            reading: None,
            retried: false,
            tried: 0,
            replied: Sequence(0),
            stalled: 0,
            writes: false,
            piggyback: Piggyback::default(),
        }
    }

    /// This host's part in a table of another data centre that it adopted.
    ///
    /// Heartbeat sequences go on from those of the host's own table, so that
    /// none is used twice when the same table is adopted again.
    #[must_use]
    pub fn adopter(&self, table: DataCentre) -> Self {
        Self {
            holdings: Holdings::new(table.clone()),
            table,
            incarnation_committed: true,
            draining: self.draining,
            sequence: self.sequence,
            piggyback: self.piggyback,
            ..Self::new(self.identity.clone(), self.incarnation, self.cfg.clone())
        }
    }

    /// Newest committed table that this host knows.
    pub fn committed(&self) -> Option<&Committed> {
        self.committed.as_ref()
    }

    /// Content of the newest committed table that this host knows.
    pub fn known_table(&self) -> Option<&Table> {
        self.committed.as_ref().map(|committed| &committed.table)
    }

    /// The present incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// True if this host wrote, or tried to, in the last period.
    pub fn is_writer(&self) -> bool {
        self.writes
    }

    /// Whether the platform answered this host's last call.
    pub fn platform(&self) -> PlatformView {
        self.platform
    }

    /// End of the lease, if there ever was one.
    pub fn lease_until(&self) -> Option<Moment> {
        self.lease.until()
    }

    /// Partitions that the newest known table gives to this incarnation.
    pub fn holdings(&self) -> &Holdings {
        &self.holdings
    }

    /// True if another process of the same host name has taken over.
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Digests last heard from other hosts.
    pub fn piggybacks(&self) -> impl Iterator<Item = (&HostId, Piggyback)> {
        self.reports.piggybacks()
    }

    /// Sets the digests that travel with this host's messages.
    pub fn set_piggyback(&mut self, piggyback: Piggyback) {
        self.piggyback = piggyback;
    }

    /// What this host may do for a partition at this moment.
    pub fn may_serve(&self, partition: Partition, now: Moment) -> Serve {
        if self.superseded || !self.holdings.is_active(partition) {
            Serve::No
        } else if self.lease.is_held(now) {
            Serve::Full
        } else if self.is_degraded(now) {
            Serve::RepeatableOnly
        } else {
            Serve::No
        }
    }

    /// True while the table's hosts agree that the platform is out.
    pub fn is_degraded(&self, now: Moment) -> bool {
        let Some(table) = self.known_table() else {
            return false;
        };
        let is_recent = now.since(self.platform_at) < self.cfg.lease_ttl;
        if self.platform != PlatformView::Out || !is_recent {
            return false;
        }
        let live = table.hosts.values().filter(|row| !row.lapsed).count();
        let agrees = |tally: Tally| tally.agrees(live, table.ownership);
        let heard = self
            .heard_tally
            .filter(|heard| now.since(heard.at) < self.cfg.lease_ttl);
        let own = self.tally(now);
        own.reachable == 0 && (agrees(own) || heard.is_some_and(|heard| agrees(heard.tally)))
    }

    fn tally(&self, now: Moment) -> Tally {
        let mut tally = self.reports.tally(now, self.cfg.lease_ttl);
        tally.add(self.platform, self.ownership());
        tally
    }

    fn ownership(&self) -> Version {
        self.known_table()
            .map_or(Version(0), |table| table.ownership)
    }

    /// Starts to hand over every partition.
    pub fn begin_drain(&mut self) {
        self.draining = true;
    }

    /// True once a drain has begun.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// True once a drain has nothing left that another host could take.
    pub fn is_drained(&self) -> bool {
        let Some(table) = self.known_table() else {
            return self.draining;
        };
        let stuck = !has_successor(table, &self.identity.host);
        self.draining && (self.holdings.is_empty() || stuck)
    }

    /// Notes that a partition's journal is fenced under its epoch.
    pub fn activated(&mut self, partition: Partition, epoch: Epoch) {
        self.holdings.activated(partition, epoch);
    }

    /// Notes that a partition lost by hand-over is no longer served.
    pub fn released(&mut self, partition: Partition, epoch: Epoch) {
        self.holdings.released(partition, epoch);
    }

    /// Begins a heartbeat period.
    pub fn tick(&mut self, now: Moment) -> Vec<Effect> {
        if self.superseded {
            return Vec::new();
        }
        self.retried = false;
        self.tried = 0;
        self.writes = false;
        self.suspects.retain(|_, until| now < *until);
        self.reports.expire(now, self.cfg.lease_ttl);
        self.sequence = self.sequence.next();
        self.lease.send(self.sequence, now, self.cfg.lease_ttl);
        if self.committed.is_none() {
            return self.read(ReadPurpose::Join);
        }
        let mut effects = self.route(now);
        if !self.writes && !self.heartbeats.is_empty() {
            effects.extend(self.write(now));
        }
        effects
    }

    /// Sends the present heartbeat to the writer, or writes if that is this host.
    fn route(&mut self, now: Moment) -> Vec<Effect> {
        let Some((host, to)) = self.writer() else {
            let mut effects = self.write(now);
            if self.platform == PlatformView::Out {
                effects.extend(self.other().map(|(host, to)| self.send(host, to)));
            }
            return effects;
        };
        vec![self.send(host, to)]
    }

    /// Hosts that may have the turn to write, this host among them, in order.
    fn candidates(&self) -> impl Iterator<Item = (&HostId, &HostRow)> {
        let hosts = self.known_table().into_iter().flat_map(|table| {
            let home = table.hosts.iter().filter(|(_, row)| !table.is_guest(row));
            let guests = table.hosts.iter().filter(|(_, row)| table.is_guest(row));
            home.chain(guests)
        });
        hosts.filter(|(host, row)| {
            **host == self.identity.host || !row.lapsed && !self.suspects.contains_key(*host)
        })
    }

    /// The host with the turn to write; absent if that is this host.
    fn writer(&self) -> Option<(HostId, SocketAddr)> {
        let (host, row) = self.candidates().next()?;
        (*host != self.identity.host).then(|| (host.clone(), row.peer))
    }

    /// The first candidate other than this host.
    fn other(&self) -> Option<(HostId, SocketAddr)> {
        let (host, row) = self
            .candidates()
            .find(|(host, _)| **host != self.identity.host)?;
        Some((host.clone(), row.peer))
    }

    fn send(&self, host: HostId, to: SocketAddr) -> Effect {
        Effect::Send {
            host,
            to,
            heartbeat: Box::new(self.heartbeat()),
        }
    }

    fn heartbeat(&self) -> Heartbeat {
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

    fn read(&mut self, purpose: ReadPurpose) -> Vec<Effect> {
        if self.calling {
            return Vec::new();
        }
        self.calling = true;
        self.reading = Some(purpose);
        vec![Effect::Read {
            table: self.table.clone(),
        }]
    }

    fn write(&mut self, now: Moment) -> Vec<Effect> {
        self.writes = true;
        if self.calling {
            return Vec::new();
        }
        if !self.is_newest {
            return self.read(ReadPurpose::Write);
        }
        let Some(committed) = &self.committed else {
            return Vec::new();
        };
        let expect = Expect::At(committed.version);
        let table = Box::new(self.successor(now, &committed.table));
        self.calling = true;
        vec![Effect::Write { expect, table }]
    }

    fn successor(&self, now: Moment, base: &Table) -> Table {
        let mut heartbeats = self.heartbeats.clone();
        heartbeats.insert(self.identity.host.clone(), self.heartbeat());
        let knowledge = Knowledge {
            now,
            cfg: &self.cfg,
            sightings: &self.sightings,
            heartbeats: &heartbeats,
        };
        knowledge.successor(base)
    }

    fn bootstrap(&mut self) -> Vec<Effect> {
        self.calling = true;
        self.writes = true;
        let row = row_of(&self.heartbeat());
        let host = self.identity.host.clone();
        let table = Box::new(Table::bootstrap(host, row, self.cfg.partitions));
        let expect = Expect::Absent;
        vec![Effect::Write { expect, table }]
    }

    /// Takes the outcome of a read.
    pub fn on_read(
        &mut self,
        now: Moment,
        outcome: Result<Option<Committed>, PlatformFailure>,
    ) -> Vec<Effect> {
        self.calling = false;
        let purpose = self.reading.take();
        let Ok(found) = outcome else {
            self.see_platform(now, PlatformView::Out);
            return Vec::new();
        };
        self.see_platform(now, PlatformView::Reachable);
        let Some(committed) = found else {
            return self.on_absent();
        };
        let mut effects = self.on_committed(now, committed);
        self.is_newest = true;
        match purpose {
            None => {}
            Some(ReadPurpose::Join) => effects.extend(self.route(now)),
            Some(ReadPurpose::Write) => effects.extend(self.write(now)),
            Some(ReadPurpose::Probe(host)) => {
                self.suspect(now, host);
                effects.extend(self.route(now));
            }
        }
        effects
    }

    fn on_absent(&mut self) -> Vec<Effect> {
        let is_home = self.identity.data_centre == self.table;
        // A table that was there and is gone is never created anew: its epochs
        // would start again below those already used.
        if is_home && self.committed.is_none() {
            self.bootstrap()
        } else {
            Vec::new()
        }
    }

    /// Takes the outcome of a write.
    pub fn on_written(
        &mut self,
        now: Moment,
        table: Table,
        outcome: Result<Written, PlatformFailure>,
    ) -> Vec<Effect> {
        self.calling = false;
        match outcome {
            Ok(Written::Done(version)) => {
                self.see_platform(now, PlatformView::Reachable);
                self.incarnation_committed = true;
                let effects = self.on_committed(now, Committed { version, table });
                self.is_newest = true;
                self.drop_committed_heartbeats();
                effects
            }
            Ok(Written::Conflict) => {
                self.see_platform(now, PlatformView::Reachable);
                self.is_newest = false;
                if self.retried {
                    return Vec::new();
                }
                self.retried = true;
                let purpose = match self.committed {
                    Some(_) => ReadPurpose::Write,
                    None => ReadPurpose::Join,
                };
                self.read(purpose)
            }
            Err(PlatformFailure::NoAnswer) => {
                self.see_platform(now, PlatformView::Out);
                Vec::new()
            }
        }
    }

    fn see_platform(&mut self, now: Moment, view: PlatformView) {
        self.platform = view;
        self.platform_at = now;
        self.is_newest &= view != PlatformView::Out;
    }

    fn drop_committed_heartbeats(&mut self) {
        let Some(committed) = &self.committed else {
            return;
        };
        let hosts = &committed.table.hosts;
        self.heartbeats.retain(|host, heartbeat| {
            let position = (heartbeat.incarnation, heartbeat.sequence);
            hosts
                .get(host)
                .is_some_and(|row| (row.incarnation, row.sequence) < position)
        });
    }

    /// Answers a heartbeat of another host; absent if this process no longer
    /// writes.
    pub fn on_heartbeat(&mut self, now: Moment, heartbeat: Heartbeat) -> Option<HeartbeatReply> {
        if self.superseded {
            return None;
        }
        self.reports.hear(now, &heartbeat);
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

    /// Takes the answer to this host's heartbeat.
    pub fn on_reply(&mut self, now: Moment, from: &HostId, reply: HeartbeatReply) -> Vec<Effect> {
        let mut effects = Vec::new();
        if let Some(committed) = reply.committed {
            effects = self.on_committed(now, committed);
        }
        let same_start = reply.incarnation == self.incarnation;
        let advanced = same_start && reply.sequence > self.replied;
        if advanced {
            self.replied = reply.sequence;
            self.stalled = 0;
        } else {
            self.stalled += 1;
        }
        // A heartbeat committed beside a newer ownership part may belong to a
        // table in which this host has lost partitions.
        if same_start && reply.ownership <= self.ownership() {
            self.lease.confirm(reply.sequence, self.cfg.lease_ttl);
        }
        let known = self.committed.as_ref().map_or(Version(0), |c| c.version);
        self.is_newest &= reply.version <= known;
        let tally = reply.tally;
        self.heard_tally = Some(HeardTally { at: now, tally });
        if self.writes {
            return effects;
        }
        if reply.platform == PlatformView::Out {
            effects.extend(self.read(ReadPurpose::Probe(from.clone())));
            return effects;
        }
        if reply.platform == PlatformView::Reachable {
            self.platform = PlatformView::Unknown;
        }
        if self.stalled >= MAX_STALLED_REPLIES {
            self.stalled = 0;
            self.suspect(now, from.clone());
            effects.extend(self.route(now));
        }
        effects
    }

    /// Takes note that a host did not answer a heartbeat.
    pub fn on_unreachable(&mut self, now: Moment, host: HostId) -> Vec<Effect> {
        self.suspect(now, host);
        if self.writes {
            return Vec::new();
        }
        self.tried += 1;
        if self.tried >= MAX_WRITERS_TRIED {
            return self.write(now);
        }
        self.route(now)
    }

    fn suspect(&mut self, now: Moment, host: HostId) {
        self.suspects.insert(host, now + self.cfg.lease_ttl);
    }

    /// Takes a committed table; older ones are ignored.
    pub fn on_committed(&mut self, now: Moment, committed: Committed) -> Vec<Effect> {
        if let Some(known) = &self.committed {
            if committed.version <= known.version {
                return Vec::new();
            }
            committed.table.assert_follows(&known.table);
        }
        self.sightings.observe(now, &committed.table);
        self.check_incarnation(now, &committed.table);
        let events = self.hold(&committed.table);
        self.committed = Some(committed);
        events.into_iter().map(Effect::Notify).collect()
    }

    fn hold(&mut self, table: &Table) -> Vec<PartitionEvent> {
        if self.superseded {
            return self.holdings.lose_all();
        }
        let own = table.owned_by(&self.identity.host, self.incarnation);
        self.holdings.update(own)
    }

    fn check_incarnation(&mut self, now: Moment, table: &Table) {
        let Some(row) = table.hosts.get(&self.identity.host) else {
            return;
        };
        // In the first table that a host learns, no row can be its own.
        let may_be_own = self.incarnation_committed || self.committed.is_some();
        let is_sent = row.incarnation == self.incarnation && row.sequence <= self.sequence;
        if may_be_own && is_sent {
            self.incarnation_committed = true;
            self.lease.confirm(row.sequence, self.cfg.lease_ttl);
        } else if self.incarnation_committed {
            self.superseded |= row.incarnation >= self.incarnation;
        } else if row.incarnation >= self.incarnation {
            self.start_again(now, row.incarnation);
        }
    }

    /// Takes an incarnation above one that a former start has used.
    fn start_again(&mut self, now: Moment, used: Incarnation) {
        // The random part keeps apart two processes that start together under
        // one host name.
        let random = self.incarnation.0 & INCARNATION_RANDOM_MASK;
        self.incarnation = Incarnation(used.0 + 1 + random);
        self.sequence = Sequence(1);
        self.replied = Sequence(0);
        self.lease.reset();
        self.lease.send(self.sequence, now, self.cfg.lease_ttl);
    }
}
