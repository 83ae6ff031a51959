//! Counters of endpoint host lists and engine caches.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Counters since the process started.
#[derive(Debug, Default)]
pub struct Counters {
    /// Reads of the platform's list of endpoint hosts.
    pub lists_read: AtomicU64,
    /// Lists pulled from another host.
    pub lists_pulled: AtomicU64,
    /// Rounds in which neither another host nor the platform returned a list.
    pub list_failures: AtomicU64,
    /// Reviews of an engine's caches.
    pub reviews: AtomicU64,
    /// Reviews that failed to read the engine's list of caches.
    pub review_failures: AtomicU64,
    /// Caches kept in a review because their status could not be determined.
    pub caches_unknown: AtomicU64,
    /// Release requests sent by the owner of a program.
    pub owner_releases: AtomicU64,
    /// Release requests sent by the reviewer of an engine.
    pub reviewer_releases: AtomicU64,
    /// Release requests that were refused or not answered.
    pub release_failures: AtomicU64,
    /// Calls dispatched without a cache because its release was in progress.
    pub uncached_dispatches: AtomicU64,
}

impl Counters {
    /// Counts a call that is dispatched without its cache.
    pub fn record_uncached_dispatch(&self) {
        increment(&self.uncached_dispatches);
    }
}

pub(super) fn increment(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}
