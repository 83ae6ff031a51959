//! Placement of calls at endpoints.
//!
//! [`scheduler::Scheduler`] combines the fair queue of a service with its pool
//! of endpoints. It does no I/O and reads no clock: callers pass in the time
//! and each event, and [`scheduler::Scheduler::step`] returns the calls to
//! start.

pub mod average;
pub mod demand;
pub mod health;
pub mod limit;
pub mod member;
pub mod occupancy;
pub mod pool;
pub mod prefix;
pub mod scheduler;
pub mod speed;

pub use demand::Demand;
pub use demand::RunOutcome;
pub use demand::RunResult;
pub use occupancy::LoadReport;
pub use occupancy::Occupancy;
pub use pool::Choice;
pub use pool::EndpointRow;
pub use pool::FinishedCall;
pub use pool::HealthChange;
pub use pool::Offer;
pub use pool::Pool;
pub use pool::RunId;
pub use prefix::Prefix;
pub use scheduler::Scheduler;
pub use scheduler::StartedCall;
pub use scheduler::Step;
pub use scheduler::WaitReason;
