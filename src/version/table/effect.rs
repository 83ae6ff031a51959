//! Inputs and effects of the [`Coordinator`](super::Coordinator).

use std::net::SocketAddr;

use super::message::Committed;
use super::message::Heartbeat;
use super::message::HeartbeatReply;
use super::message::TablesReply;
use super::message::TablesRequest;
use super::rows::Table;
use crate::connection::platform::Expect;
use crate::connection::platform::Written;
use crate::ids::DataCentre;
use crate::ids::Epoch;
use crate::ids::HostId;
use crate::ids::Partition;

/// A change of the partitions held by this host, sent to the process's partition
/// event channel.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PartitionEvent {
    /// The host owns the partition. The receiver calls `mark_active` once the
    /// journal is fenced.
    Gained {
        /// Data centre of the partition.
        data_centre: DataCentre,
        /// The partition.
        partition: Partition,
        /// Fencing token to use.
        epoch: Epoch,
    },
    /// The host must stop serving the partition.
    Lost {
        /// Data centre of the partition.
        data_centre: DataCentre,
        /// The partition.
        partition: Partition,
        /// Fencing token under which it was held.
        epoch: Epoch,
        /// Whether the next owner waits for `mark_released`.
        handover: bool,
    },
}

/// An operation for the driver to execute.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Reads one table; completes with [`Input::Read`].
    Read {
        /// Data centre of the table.
        table: DataCentre,
    },
    /// Writes one table; completes with [`Input::Written`].
    Write {
        /// Precondition of the write.
        expect: Expect,
        /// New content.
        table: Box<Table>,
    },
    /// Sends a heartbeat; completes with [`Input::Replied`] or
    /// [`Input::Unreachable`].
    Send {
        /// Receiver.
        host: HostId,
        /// Its listen address for other hosts.
        to: SocketAddr,
        /// The message.
        heartbeat: Box<Heartbeat>,
    },
    /// Lists all tables; completes with [`Input::Listed`].
    List,
    /// Requests newer tables from a host; completes with [`Input::Fetched`].
    Fetch {
        /// Its listen address for other hosts.
        from: SocketAddr,
        /// The message.
        request: TablesRequest,
    },
    /// Sends a partition event to the process.
    Notify(PartitionEvent),
}

/// Why a platform call returned no result.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlatformFailure {
    /// The call failed or timed out. A write may still have taken effect, so a
    /// table is always read again before the next write.
    NoAnswer,
}

/// An event processed by the coordinator.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Input {
    /// One heartbeat period has passed.
    Tick,
    /// Outcome of [`Effect::Read`].
    Read {
        /// Data centre of the table.
        table: DataCentre,
        /// The table, if there is one.
        outcome: Result<Option<Committed>, PlatformFailure>,
    },
    /// Outcome of [`Effect::Write`].
    Written {
        /// Content of the write.
        table: Box<Table>,
        /// Result of the write.
        outcome: Result<Written, PlatformFailure>,
    },
    /// Reply to [`Effect::Send`].
    Replied {
        /// Data centre of the table.
        table: DataCentre,
        /// Host that replied.
        host: HostId,
        /// The reply.
        reply: Box<HeartbeatReply>,
    },
    /// [`Effect::Send`] got no reply.
    Unreachable {
        /// Data centre of the table.
        table: DataCentre,
        /// Host that did not reply.
        host: HostId,
    },
    /// Outcome of [`Effect::List`]; `None` if the platform did not answer.
    Listed(Option<Vec<Committed>>),
    /// Reply to [`Effect::Fetch`]; `None` if the host did not reply.
    Fetched(Option<TablesReply>),
}
