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

/// Digests of other components, sent with heartbeats and replies.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Piggyback {
    /// Digest of the configuration applied by the host.
    pub configuration: u64,
    /// Highest configuration version in force at the host.
    pub in_force: Version,
}

/// A partition that its owner no longer serves.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Release {
    /// The partition.
    pub partition: Partition,
    /// Epoch under which the owner held it.
    pub epoch: Epoch,
}

/// A heartbeat to the host that writes the table.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// Data centre of the table.
    pub table: DataCentre,
    /// The sender.
    pub host: HostId,
    /// Data centre of the sender.
    pub data_centre: DataCentre,
    /// Sender's listen address for other hosts.
    pub peer: SocketAddr,
    /// Sender's listen address for callers.
    pub caller: SocketAddr,
    /// Incarnation of the sender's process.
    pub incarnation: Incarnation,
    /// Number of this heartbeat within the incarnation.
    pub sequence: Sequence,
    /// Whether the sender is handing over its partitions.
    #[serde(default)]
    pub draining: bool,
    /// Released partitions that the sender's newest table still assigns to it.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub released: Vec<Release>,
    /// Ownership version of the newest table seen by the sender.
    pub ownership: Version,
    /// Whether the sender can reach the platform.
    #[serde(default)]
    pub platform: PlatformView,
    /// Digests of the sender's other components.
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

/// Answer to a [`Heartbeat`]; sender and receiver are those of the heartbeat.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeartbeatReply {
    /// Version of the newest table seen by the receiver.
    pub version: Version,
    /// Ownership version of that table.
    pub ownership: Version,
    /// The sender's incarnation in that table.
    pub incarnation: Incarnation,
    /// The sender's newest heartbeat in that table.
    pub sequence: Sequence,
    /// The table, if its ownership version is newer than the sender's.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub committed: Option<Committed>,
    /// Whether the receiver can reach the platform.
    #[serde(default)]
    pub platform: PlatformView,
    /// Reachability of the platform as reported to the receiver.
    #[serde(default)]
    pub tally: Tally,
    /// Sum of the ownership versions of the other data centres' tables.
    #[serde(default)]
    pub others: u64,
    /// Digests of the receiver's other components.
    #[serde(default)]
    pub piggyback: Piggyback,
}

/// Ownership version of a table seen by the sender of a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KnownTable {
    /// Data centre of the table.
    pub data_centre: DataCentre,
    /// Ownership version of the table.
    pub ownership: Version,
}

impl KnownTable {
    /// Describes a table for a request.
    pub fn from_table(table: &Table) -> Self {
        Self {
            data_centre: table.data_centre.clone(),
            ownership: table.ownership,
        }
    }
}

/// Request for tables with a newer ownership version than those listed.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TablesRequest {
    /// Tables seen by the sender; tables that are not listed are requested too.
    pub known: Vec<KnownTable>,
}

impl TablesRequest {
    /// Whether the sender has seen no ownership version as new as the table's.
    pub fn is_missing(&self, table: &Table) -> bool {
        let matches = |known: &&KnownTable| known.data_centre == table.data_centre;
        let known = self.known.iter().find(matches);
        known.is_none_or(|known| known.ownership < table.ownership)
    }
}

/// Answer to a [`TablesRequest`].
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TablesReply {
    /// Tables with a newer ownership version.
    pub tables: Vec<Committed>,
}

/// Digests last received from one host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostPiggyback {
    /// The host.
    pub host: HostId,
    /// Its digests.
    pub piggyback: Piggyback,
}
