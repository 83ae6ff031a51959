//! Counters of the life of endpoints.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Counters since the start of the process.
#[derive(Debug, Default)]
pub struct Counters {
    /// Reads of the platform's list of endpoint hosts.
    pub lists_read: AtomicU64,
    /// Lists taken over from another host.
    pub lists_pulled: AtomicU64,
    /// Rounds in which no list could be had.
    pub list_failures: AtomicU64,
    /// Reviews of an engine's memory.
    pub reviews: AtomicU64,
    /// Reviews in which the engine's list could not be read.
    pub review_failures: AtomicU64,
    /// Caches kept in a review because their home could not be asked.
    pub homes_unknown: AtomicU64,
    /// Release orders to engines by the owner of a program.
    pub owner_releases: AtomicU64,
    /// Release orders to engines by a steward.
    pub steward_releases: AtomicU64,
    /// Release orders that were refused or not answered.
    pub release_failures: AtomicU64,
    /// Calls dispatched without a cache because its release was under way.
    pub uncached_dispatches: AtomicU64,
}

impl Counters {
    /// Counts a call dispatched without its cache.
    pub fn uncached_dispatch(&self) {
        count(&self.uncached_dispatches);
    }
}

/// Adds one to a counter.
pub(super) fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}
