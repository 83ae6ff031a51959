//! Inputs and effects of the ownership decisions.

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

/// A change of what this host owns, for the part that runs the partitions.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PartitionEvent {
    /// The host owns the partition; confirm with `mark_active` once its journal
    /// is fenced.
    Gained {
        /// Data centre of the partition.
        data_centre: DataCentre,
        /// The partition.
        partition: Partition,
        /// Fencing number to use.
        epoch: Epoch,
    },
    /// The host no longer serves the partition.
    Lost {
        /// Data centre of the partition.
        data_centre: DataCentre,
        /// The partition.
        partition: Partition,
        /// Fencing number that was held.
        epoch: Epoch,
        /// True if the next owner waits for `mark_released`.
        handover: bool,
    },
}

/// Something for the driver to carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Read one table; answer with [`Input::Read`].
    Read {
        /// Data centre of the table.
        table: DataCentre,
    },
    /// Write one table; answer with [`Input::Written`].
    Write {
        /// State that the write requires.
        expect: Expect,
        /// New content.
        table: Box<Table>,
    },
    /// Send a heartbeat; answer with [`Input::Replied`] or [`Input::Unreachable`].
    Send {
        /// Receiver.
        host: HostId,
        /// Where it listens for other hosts.
        to: SocketAddr,
        /// The message.
        heartbeat: Box<Heartbeat>,
    },
    /// List all tables; answer with [`Input::Listed`].
    List,
    /// Ask a host for newer tables; answer with [`Input::Fetched`].
    Fetch {
        /// Where it listens for other hosts.
        from: SocketAddr,
        /// The message.
        request: TablesRequest,
    },
    /// Tell the part that runs the partitions.
    Notify(PartitionEvent),
}

/// Why a platform call gave no result.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlatformFailure {
    /// The call changed nothing, or may have; the two are treated alike
    /// because a table is always read back before the next write.
    NoAnswer,
}

/// Something that has happened.
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
        /// What was to be written.
        table: Box<Table>,
        /// Whether it was.
        outcome: Result<Written, PlatformFailure>,
    },
    /// Answer to [`Effect::Send`].
    Replied {
        /// Data centre of the table.
        table: DataCentre,
        /// Who answered.
        host: HostId,
        /// The answer.
        reply: Box<HeartbeatReply>,
    },
    /// No answer to [`Effect::Send`].
    Unreachable {
        /// Data centre of the table.
        table: DataCentre,
        /// Who did not answer.
        host: HostId,
    },
    /// Outcome of [`Effect::List`]; absent if the platform did not answer.
    Listed(Option<Vec<Committed>>),
    /// Answer to [`Effect::Fetch`]; absent if the host did not answer.
    Fetched(Option<TablesReply>),
}
