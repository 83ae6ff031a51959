//! Compact stored form of a table, with partitions grouped by owner.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use super::rows::HostRow;
use super::rows::PartitionRow;
use super::rows::Table;
use crate::ids::DataCentre;
use crate::ids::Epoch;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::Partition;
use crate::ids::Version;

/// A partition and its epoch, serialized as a pair.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
struct Held(Partition, Epoch);

/// The partitions of one owner.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct Owned {
    owner: HostId,
    incarnation: Incarnation,
    held: Vec<Held>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    releasing: Vec<Held>,
}

/// Stored form of a [`Table`].
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(super) struct StoredTable {
    data_centre: DataCentre,
    ownership: Version,
    #[serde(default)]
    members: Epoch,
    hosts: BTreeMap<HostId, HostRow>,
    owners: Vec<Owned>,
}

/// Why a stored table is rejected.
#[derive(Clone, Debug, Eq, thiserror::Error, PartialEq)]
pub enum StoredTableError {
    /// The partition is listed twice or missing.
    #[error("partition {0} is listed twice or missing")]
    Partition(Partition),
    /// An owner of partitions has no host row.
    #[error("{0} owns partitions but has no host row")]
    Owner(HostId),
}

impl From<Table> for StoredTable {
    fn from(table: Table) -> Self {
        Self {
            owners: group_by_owner(&table),
            data_centre: table.data_centre,
            ownership: table.ownership,
            members: table.members,
            hosts: table.hosts,
        }
    }
}

fn group_by_owner(table: &Table) -> Vec<Owned> {
    let mut groups: BTreeMap<(&HostId, Incarnation), Owned> = BTreeMap::new();
    for (partition, row) in table.numbered_partitions() {
        let group = groups
            .entry((&row.owner, row.incarnation))
            .or_insert_with(|| Owned {
                owner: row.owner.clone(),
                incarnation: row.incarnation,
                held: Vec::new(),
                releasing: Vec::new(),
            });
        let list = if row.releasing {
            &mut group.releasing
        } else {
            &mut group.held
        };
        list.push(Held(partition, row.epoch));
    }
    groups.into_values().collect()
}

impl TryFrom<StoredTable> for Table {
    type Error = StoredTableError;

    fn try_from(stored: StoredTable) -> Result<Self, StoredTableError> {
        let mut rows = BTreeMap::new();
        for owned in &stored.owners {
            if !stored.hosts.contains_key(&owned.owner) {
                return Err(StoredTableError::Owner(owned.owner.clone()));
            }
            insert_rows(&mut rows, owned, &owned.held, false)?;
            insert_rows(&mut rows, owned, &owned.releasing, true)?;
        }
        // Partition numbers must start at 0 and have no gaps.
        for (expected, found) in (0..).map(Partition).zip(rows.keys()) {
            if expected != *found {
                return Err(StoredTableError::Partition(expected));
            }
        }
        Ok(Self {
            data_centre: stored.data_centre,
            ownership: stored.ownership,
            members: stored.members,
            hosts: stored.hosts,
            partitions: rows.into_values().collect(),
        })
    }
}

fn insert_rows(
    rows: &mut BTreeMap<Partition, PartitionRow>,
    owned: &Owned,
    held: &[Held],
    releasing: bool,
) -> Result<(), StoredTableError> {
    for Held(partition, epoch) in held {
        let row = PartitionRow {
            owner: owned.owner.clone(),
            incarnation: owned.incarnation,
            epoch: *epoch,
            releasing,
        };
        if rows.insert(*partition, row).is_some() {
            return Err(StoredTableError::Partition(*partition));
        }
    }
    Ok(())
}
