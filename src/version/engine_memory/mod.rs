//! Decides which prefix caches engines must release; no I/O and no clock.
//!
//! The owner of a program records which engines hold its cache
//! ([`CacheLocations`]) and releases the cache when the program ends or is
//! idle. The reviewer of an engine compares the engine's caches with the active
//! programs ([`Review`]) and releases caches that their owners missed.

mod handle;
mod locations;
mod owner;
mod review;
mod reviewer;

pub use handle::CacheHandle;
pub use handle::HandleError;
pub use locations::CacheLocations;
pub use locations::EngineRelease;
pub use locations::ProgramStatus;
pub use owner::CacheStatus;
pub use owner::OwnerState;
pub use owner::ProgramState;
pub use review::Review;
pub use reviewer::select_reviewer;

use crate::ids::Epoch;

/// Request to an engine to release one cache.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReleaseRequest {
    /// Cache to release.
    pub handle: CacheHandle,
    /// Fencing token: epoch of the present owner of the program's partition.
    pub fence: Epoch,
}
