//! The membership table of a data centre: hosts, leases and partition owners.
//!
//! The code here performs no I/O and reads no clock. Callers pass the current
//! [`Moment`](crate::units::Moment) with each input, and a driver executes the
//! returned [`Effect`]s. [`Coordinator`] is the entry point. It combines the
//! host's [`Member`] in its own table, its members in adopted tables and the
//! [`Directory`] of the other data centres' tables.

pub mod assignment;
pub mod coordinator;
pub mod directory;
pub mod effect;
pub mod holdings;
pub mod identity;
pub mod lease;
pub mod member;
pub mod message;
pub mod outage;
pub mod rows;
pub mod stored;
pub mod update;
pub mod writer;

pub use coordinator::Coordinator;
pub use directory::Directory;
pub use effect::Effect;
pub use effect::Input;
pub use effect::PartitionEvent;
pub use effect::PlatformFailure;
pub use identity::Identity;
pub use identity::incarnation;
pub use member::Member;
pub use member::ServeMode;
pub use message::Heartbeat;
pub use message::HeartbeatReply;
pub use message::Piggyback;
pub use rows::HostRow;
pub use rows::PartitionRow;
pub use rows::Table;
