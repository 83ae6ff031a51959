//! Messages between hosts about one table.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use super::outage::PlatformView;
use super::outage::Tally;
use super::rows::Table;
use crate::ids::DataCentre;
use crate::ids::Epoch;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::Partition;
use crate::ids::Sequence;
use crate::ids::Version;

/// Small digests of other parts that travel with heartbeats.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Piggyback {
    /// Digest of the configuration that the host applies.
    pub configuration: u64,
    /// Highest configuration version in force at the host.
    pub in_force: Version,
}

/// A partition that its owner no longer serves, with the epoch it held.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Release {
    /// The partition.
    pub partition: Partition,
    /// Epoch under which it was held.
    pub epoch: Epoch,
}

/// A heartbeat to the host that writes the table.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// Data centre whose table is meant.
    pub table: DataCentre,
    /// The sender.
    pub host: HostId,
    /// Data centre of the sender.
    pub data_centre: DataCentre,
    /// Where the sender listens for other hosts.
    pub peer: SocketAddr,
    /// Where the sender listens for callers.
    pub caller: SocketAddr,
    /// Start of the sender's process.
    pub incarnation: Incarnation,
    /// Number of this heartbeat within the incarnation.
    pub sequence: Sequence,
    /// True once the sender hands over its partitions.
    #[serde(default)]
    pub draining: bool,
    /// Partitions released since the newest table that the sender knows.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub released: Vec<Release>,
    /// Ownership part of the newest table that the sender knows.
    pub ownership: Version,
    /// Whether the sender reaches the platform.
    #[serde(default)]
    pub platform: PlatformView,
    /// Digests of other parts.
    #[serde(default)]
    pub piggyback: Piggyback,
}

/// A committed table with the version of its platform object.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Committed {
    /// Version of the platform object.
    pub version: Version,
    /// Content at that version.
    pub table: Table,
}

/// Answer to a [`Heartbeat`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeartbeatReply {
    /// Version of the newest table that the receiver knows.
    pub version: Version,
    /// Ownership part of that table.
    pub ownership: Version,
    /// The sender's incarnation in that table.
    pub incarnation: Incarnation,
    /// The sender's newest heartbeat in that table.
    pub sequence: Sequence,
    /// The table itself, if its ownership part is newer than the sender's.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub committed: Option<Committed>,
    /// Whether the receiver reaches the platform.
    #[serde(default)]
    pub platform: PlatformView,
    /// Reach of the platform as reported to the receiver.
    #[serde(default)]
    pub tally: Tally,
    /// Sum of the ownership versions of other data centres' tables.
    #[serde(default)]
    pub others: u64,
    /// Digests of the receiver's other parts.
    #[serde(default)]
    pub piggyback: Piggyback,
}

/// Ownership part of a table that the sender of a request knows.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KnownTable {
    /// Data centre of the table.
    pub data_centre: DataCentre,
    /// Its ownership part.
    pub ownership: Version,
}

impl KnownTable {
    /// Names a table that the sender knows.
    pub fn from_table(table: &Table) -> Self {
        Self {
            data_centre: table.data_centre.clone(),
            ownership: table.ownership,
        }
    }
}

/// Request for the tables of which the receiver knows a newer ownership part.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TablesRequest {
    /// What the sender knows; a table not named is wanted.
    pub known: Vec<KnownTable>,
}

impl TablesRequest {
    /// True if the sender knows no ownership part as new as the table's.
    pub fn is_missing(&self, table: &Table) -> bool {
        let matches = |known: &&KnownTable| known.data_centre == table.data_centre;
        let known = self.known.iter().find(matches);
        known.is_none_or(|known| known.ownership < table.ownership)
    }
}

/// Answer to a [`TablesRequest`].
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TablesReply {
    /// Tables with a newer ownership part.
    pub tables: Vec<Committed>,
}

/// Digests last heard from one host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostPiggyback {
    /// The host.
    pub host: HostId,
    /// Its digests.
    pub piggyback: Piggyback,
}
