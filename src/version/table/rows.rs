//! Rows of the table and the invariants between its versions.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use super::stored::StoredTable;
use crate::ids::DataCentre;
use crate::ids::Epoch;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::Partition;
use crate::ids::Sequence;
use crate::ids::Version;

/// Kind of the platform objects that store tables, named by data centre.
pub const TABLE_KIND: &str = "table";

/// One host of a table.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct HostRow {
    /// Data centre of the host; differs from the table's for an adopter.
    pub data_centre: DataCentre,
    /// Listen address for other hosts.
    pub peer: SocketAddr,
    /// Listen address for callers.
    pub caller: SocketAddr,
    /// Incarnation of the host's process.
    pub incarnation: Incarnation,
    /// Newest committed heartbeat of this incarnation.
    pub sequence: Sequence,
    /// Whether the host is handing over its partitions.
    #[serde(default, skip_serializing_if = "is_false")]
    pub draining: bool,
    /// Whether the lease of the newest heartbeat has expired.
    #[serde(default, skip_serializing_if = "is_false")]
    pub lapsed: bool,
    /// Number unique among the hosts of the table, kept until the row is removed.
    /// `None` for adopters.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub slot: Option<u16>,
}

impl HostRow {
    fn eq_ignoring_sequence(&self, other: &Self) -> bool {
        let other = Self {
            sequence: self.sequence,
            ..other.clone()
        };
        *self == other
    }
}

/// The owner of one partition.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PartitionRow {
    /// Host that owns the partition.
    pub owner: HostId,
    /// Incarnation of the owner; later incarnations do not own the partition.
    pub incarnation: Incarnation,
    /// Fencing token; raised with every change of owner.
    pub epoch: Epoch,
    /// Whether the owner should release the partition.
    pub releasing: bool,
}

/// The membership table of one data centre.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(into = "StoredTable", try_from = "StoredTable")]
pub struct Table {
    /// Data centre whose partitions the table assigns.
    pub data_centre: DataCentre,
    /// Version raised with every change except of heartbeat sequences.
    pub ownership: Version,
    /// Epoch raised by one when the set of [active hosts](Self::active_hosts)
    /// changes.
    #[serde(default)]
    pub members: Epoch,
    /// Hosts by name.
    pub hosts: BTreeMap<HostId, HostRow>,
    /// Owners by partition number.
    pub partitions: Vec<PartitionRow>,
}

impl Table {
    /// Creates the first table, in which one host owns every partition.
    pub fn bootstrap(host: HostId, row: HostRow, partitions: u16) -> Self {
        let partition = PartitionRow {
            owner: host.clone(),
            incarnation: row.incarnation,
            epoch: Epoch(1),
            releasing: false,
        };
        Self {
            data_centre: row.data_centre.clone(),
            ownership: Version(1),
            members: Epoch(1),
            hosts: BTreeMap::from([(host, row)]),
            partitions: vec![partition; usize::from(partitions)],
        }
    }

    /// The row of a partition. `None` if the number is out of range.
    pub fn partition(&self, partition: Partition) -> Option<&PartitionRow> {
        self.partitions.get(usize::from(partition.0))
    }

    /// All partitions with their numbers.
    pub fn numbered_partitions(&self) -> impl Iterator<Item = (Partition, &PartitionRow)> {
        (0..).map(Partition).zip(&self.partitions)
    }

    /// Partitions owned by an incarnation of a host.
    pub fn owned_by(
        &self,
        host: &HostId,
        incarnation: Incarnation,
    ) -> impl Iterator<Item = (Partition, &PartitionRow)> {
        let owns = move |row: &PartitionRow| row.owner == *host && row.incarnation == incarnation;
        self.numbered_partitions().filter(move |(_, row)| owns(row))
    }

    /// Whether any incarnation of the host owns a partition.
    pub fn owns_any(&self, host: &HostId) -> bool {
        self.partitions.iter().any(|row| row.owner == *host)
    }

    /// Whether the host belongs to another data centre, as adopters do.
    pub fn is_foreign(&self, row: &HostRow) -> bool {
        row.data_centre != self.data_centre
    }

    /// Hosts of the table's own data centre that are neither lapsed nor draining,
    /// with their incarnations.
    pub fn active_hosts(&self) -> impl Iterator<Item = (&HostId, Incarnation)> {
        let is_active = |row: &HostRow| !row.lapsed && !row.draining && !self.is_foreign(row);
        self.hosts
            .iter()
            .filter(move |(_, row)| is_active(row))
            .map(|(host, row)| (host, row.incarnation))
    }

    /// Raises `ownership` if the table differs from `base` in more than heartbeat
    /// sequences, and `members` if the active hosts differ.
    pub fn raise_counters(&mut self, base: &Self) {
        if !self.has_same_ownership(base) {
            self.ownership = base.ownership.next();
        }
        if !self.active_hosts().eq(base.active_hosts()) {
            self.members = base.members.next();
        }
    }

    /// Assigns an unused slot to each host of the own data centre without one.
    pub fn assign_slots(&mut self) {
        let mut free = (0..).filter({
            let used: Vec<u16> = self.hosts.values().filter_map(|row| row.slot).collect();
            move |slot| !used.contains(slot)
        });
        let home = &self.data_centre;
        let needs_slot = |row: &&mut HostRow| row.slot.is_none() && row.data_centre == *home;
        for row in self.hosts.values_mut().filter(needs_slot) {
            row.slot = free.next();
        }
    }

    /// Whether the tables are equal except for heartbeat sequences.
    pub fn has_same_ownership(&self, other: &Self) -> bool {
        let same_hosts = self.hosts.len() == other.hosts.len()
            && self
                .hosts
                .iter()
                .zip(&other.hosts)
                .all(|((a, left), (b, right))| a == b && left.eq_ignoring_sequence(right));
        same_hosts && self.partitions == other.partitions
    }

    /// Checks the invariants within a table.
    ///
    /// # Panics
    ///
    /// If a partition's owner has no row, an epoch is zero or two hosts share a
    /// slot.
    pub fn assert_consistent(&self) {
        let slots: Vec<u16> = self.hosts.values().filter_map(|row| row.slot).collect();
        let distinct: BTreeSet<u16> = slots.iter().copied().collect();
        assert_eq!(slots.len(), distinct.len(), "two hosts share a slot");
        for (partition, row) in self.numbered_partitions() {
            assert!(
                self.hosts.contains_key(&row.owner),
                "partition {partition} of {} is owned by {}, which has no row",
                self.data_centre,
                row.owner
            );
            assert!(row.epoch > Epoch(0), "partition {partition} has epoch 0");
        }
    }

    /// Checks the invariants between a table and any earlier version of it.
    ///
    /// # Panics
    ///
    /// If a counter or an epoch decreases, or if an owner changes or a release is
    /// revoked within an epoch.
    pub fn assert_follows(&self, earlier: &Self) {
        assert_eq!(self.data_centre, earlier.data_centre);
        assert_eq!(self.partitions.len(), earlier.partitions.len());
        assert!(
            self.ownership >= earlier.ownership,
            "ownership version decreased"
        );
        assert!(self.members >= earlier.members, "members epoch decreased");
        for ((partition, new), old) in self.numbered_partitions().zip(&earlier.partitions) {
            assert_partition_follows(partition, new, old);
        }
    }

    /// Checks heartbeats and slots against the immediately preceding version.
    ///
    /// This does not hold across several versions, because a host that was removed
    /// may return with any heartbeat.
    ///
    /// # Panics
    ///
    /// If the heartbeat of a host decreases or its slot changes.
    pub fn assert_heartbeats_follow(&self, earlier: &Self) {
        for (host, new) in &self.hosts {
            let Some(old) = earlier.hosts.get(host) else {
                continue;
            };
            let position = |row: &HostRow| (row.incarnation, row.sequence);
            assert!(
                position(new) >= position(old),
                "the heartbeat of {host} decreased"
            );
            let kept = old.slot.is_none() || new.slot == old.slot;
            assert!(kept, "the slot of {host} changed");
        }
    }
}

fn assert_partition_follows(partition: Partition, new: &PartitionRow, old: &PartitionRow) {
    assert!(
        new.epoch >= old.epoch,
        "the epoch of partition {partition} decreased"
    );
    if new.epoch > old.epoch {
        return;
    }
    let same_owner = new.owner == old.owner && new.incarnation == old.incarnation;
    assert!(
        same_owner,
        "the owner of partition {partition} changed within epoch {}",
        new.epoch
    );
    assert!(
        new.releasing || !old.releasing,
        "the release of partition {partition} was revoked within epoch {}",
        new.epoch
    );
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes references")]
fn is_false(value: &bool) -> bool {
    !value
}
