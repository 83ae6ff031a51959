//! Decides which prefix caches engines must release; no I/O and no clock.
//!
//! Two parts work together. The owner of a program records which engines hold
//! its cache ([`Uses`]) and releases it when the program ends or is idle. The
//! steward of an engine compares what the engine holds with the programs that
//! live ([`Review`]) and releases what an owner has missed.

mod handle;
mod home;
mod review;
mod steward;
mod uses;

pub use handle::CacheHandle;
pub use handle::HandleError;
pub use home::Home;
pub use home::HomeProgram;
pub use home::Verdict;
pub use review::Review;
pub use steward::steward;
pub use uses::Placement;
pub use uses::Standing;
pub use uses::Uses;

use crate::ids::Epoch;

/// Order to an engine to release one cache.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReleaseOrder {
    /// The cache.
    pub handle: CacheHandle,
    /// Fencing number of the present owner of the program's partition.
    pub fence: Epoch,
}
