//! The table of one data centre: hosts, leases and partition owners.
//!
//! All decisions here are free of I/O and clocks: inputs carry the present
//! [`Moment`](crate::units::Moment) and outputs are [`Effect`]s that a driver
//! carries out. [`Coordinator`] is the entry point; it joins the host's
//! [`Member`] of its own table, its members of adopted tables and the
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
