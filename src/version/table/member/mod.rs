//! Membership of one host in one table: heartbeats, lease and table writes.

mod committed;
mod heartbeats;
mod platform;

use std::collections::BTreeMap;

use crate::configs::membership::MembershipConfig;
use crate::ids::DataCentre;
use crate::ids::Epoch;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::Partition;
use crate::ids::Sequence;
use crate::ids::Version;
use crate::units::Moment;
use crate::version::table::assignment::has_successor;
use crate::version::table::holdings::Holdings;
use crate::version::table::identity::Identity;
use crate::version::table::lease::Observations;
use crate::version::table::lease::OwnLease;
use crate::version::table::message::Committed;
use crate::version::table::message::Heartbeat;
use crate::version::table::message::Piggyback;
use crate::version::table::outage::PlatformView;
use crate::version::table::outage::Reports;
use crate::version::table::outage::Tally;
use crate::version::table::rows::Table;
use crate::version::table::writer::WriterSelector;

/// How a host may serve the programs of a partition.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServeMode {
    /// All calls: the lease is valid and the journal is fenced.
    Full,
    /// Repeatable calls only: the platform is out and another host may already
    /// own the partition.
    RepeatableOnly,
    /// No calls.
    No,
}

/// Why a table is being read.
#[derive(Clone, Debug, Eq, PartialEq)]
enum ReadPurpose {
    /// To get the first table after the start.
    Join,
    /// To write the next version.
    Write,
    /// To check whether only this writer cannot reach the platform.
    Probe(HostId),
}

#[derive(Clone, Copy, Debug)]
struct ReceivedTally {
    at: Moment,
    tally: Tally,
}

/// State of one host in one table.
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
    observations: Observations,
    committed: Option<Committed>,
    is_newest: bool,
    holdings: Holdings,
    heartbeats: BTreeMap<HostId, Heartbeat>,
    reports: Reports,
    writer_selector: WriterSelector,
    platform: PlatformView,
    platform_seen_at: Moment,
    call_in_flight: bool,
    received_tally: Option<ReceivedTally>,
    read_purpose: Option<ReadPurpose>,
    retried: bool,
    is_writer: bool,
    piggyback: Piggyback,
}

impl Member {
    /// Creates a member of the table of the host's own data centre.
    ///
    /// `start` comes from [`incarnation`](super::identity::incarnation).
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
            observations: Observations::default(),
            committed: None,
            is_newest: false,
            heartbeats: BTreeMap::new(),
            reports: Reports::default(),
            writer_selector: WriterSelector::default(),
            platform: PlatformView::Unknown,
            platform_seen_at: Moment::default(),
            call_in_flight: false,
            received_tally: None,
            read_purpose: None,
            retried: false,
            is_writer: false,
            piggyback: Piggyback::default(),
        }
    }

    /// Creates a member of the adopted table of another data centre.
    ///
    /// Heartbeat sequences continue from those of the host's own table, so that
    /// none is reused when the same table is adopted again.
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

    /// Newest committed table seen by this host, with its version.
    pub fn committed(&self) -> Option<&Committed> {
        self.committed.as_ref()
    }

    /// Content of the newest committed table seen by this host.
    pub fn known_table(&self) -> Option<&Table> {
        self.committed.as_ref().map(|committed| &committed.table)
    }

    /// Current incarnation of the process.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Whether this host wrote the table, or tried to, in the current heartbeat
    /// period.
    pub fn is_writer(&self) -> bool {
        self.is_writer
    }

    /// Whether this host's last platform call was answered.
    pub fn platform(&self) -> PlatformView {
        self.platform
    }

    /// Expiry of the lease. `None` if no heartbeat of this incarnation has been
    /// committed.
    pub fn lease_until(&self) -> Option<Moment> {
        self.lease.until()
    }

    /// Partitions that the newest table assigns to this incarnation.
    pub fn holdings(&self) -> &Holdings {
        &self.holdings
    }

    /// Whether another process with the same host name has replaced this one.
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Digests last received from other hosts.
    pub fn piggybacks(&self) -> impl Iterator<Item = (&HostId, Piggyback)> {
        self.reports.piggybacks()
    }

    /// Sets the digests sent with this host's heartbeats and replies.
    pub fn set_piggyback(&mut self, piggyback: Piggyback) {
        self.piggyback = piggyback;
    }

    /// How this host may serve a partition at `now`.
    pub fn serve_mode(&self, partition: Partition, now: Moment) -> ServeMode {
        if self.superseded || !self.holdings.is_active(partition) {
            ServeMode::No
        } else if self.lease.is_held(now) {
            ServeMode::Full
        } else if self.is_degraded(now) {
            ServeMode::RepeatableOnly
        } else {
            ServeMode::No
        }
    }

    /// Whether the hosts of the table agree that the platform is out.
    pub fn is_degraded(&self, now: Moment) -> bool {
        let Some(table) = self.known_table() else {
            return false;
        };
        let is_recent = now.since(self.platform_seen_at) < self.cfg.lease_ttl;
        if self.platform != PlatformView::Out || !is_recent {
            return false;
        }
        let live = table.hosts.values().filter(|row| !row.lapsed).count();
        let confirms = |tally: Tally| tally.confirms_outage(live, table.ownership);
        let received = self
            .received_tally
            .filter(|received| now.since(received.at) < self.cfg.lease_ttl);
        let own = self.tally(now);
        own.reachable == 0
            && (confirms(own) || received.is_some_and(|received| confirms(received.tally)))
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

    /// Starts handing over all partitions.
    pub fn begin_drain(&mut self) {
        self.draining = true;
    }

    /// Whether a drain has started.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Whether a drain is complete: no partition is left that another host could
    /// receive.
    pub fn is_drained(&self) -> bool {
        let Some(table) = self.known_table() else {
            return self.draining;
        };
        let no_target = !has_successor(table, &self.identity.host);
        self.draining && (self.holdings.is_empty() || no_target)
    }

    /// Marks a partition as active once its journal is fenced under `epoch`.
    pub fn mark_active(&mut self, partition: Partition, epoch: Epoch) {
        self.holdings.mark_active(partition, epoch);
    }

    /// Marks a partition under hand-over as no longer served.
    pub fn mark_released(&mut self, partition: Partition, epoch: Epoch) {
        self.holdings.mark_released(partition, epoch);
    }
}
