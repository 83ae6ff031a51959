//! Heartbeats, leases, takeover and hand-over of partitions.
//!
//! [`Membership`] is the handle for the rest of the process. [`start`] runs the
//! coordinator of [`crate::version::table`] against a platform and peers, and
//! [`rpc_module`] serves the requests of other hosts.

mod counters;
mod driver;
mod handle;
mod rpc;
mod status;

pub use counters::Counters;
pub use driver::start;
pub use handle::Membership;
pub use handle::MembershipSnapshot;
pub use rpc::HEARTBEAT_METHOD;
pub use rpc::PIGGYBACKS_METHOD;
pub use rpc::TABLES_METHOD;
pub use rpc::rpc_module;
