//! Review of one engine's caches by the engine's reviewer.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use super::CacheHandle;
use super::CacheStatus;
use super::ReleaseRequest;
use crate::units::Moment;

/// Consecutive reports of a cache as unused after which its grace period
/// starts.
const MIN_UNUSED_REPORTS: u32 = 2;

/// A cache that its program's owner reported as unused.
#[derive(Clone, Copy, Debug, Default)]
struct UnusedCache {
    reports: u32,
    confirmed_at: Option<Moment>,
}

impl UnusedCache {
    fn record_report(&mut self, now: Moment) {
        self.reports = self.reports.saturating_add(1);
        if self.reports >= MIN_UNUSED_REPORTS {
            self.confirmed_at.get_or_insert(now);
        }
    }

    fn is_due(&self, now: Moment, grace: Duration) -> bool {
        self.confirmed_at
            .is_some_and(|confirmed| now.since(confirmed) >= grace)
    }
}

/// Review state of one engine.
///
/// A cache is released only after its owner reported it as unused twice, a
/// grace period passed, and the owner confirmed it directly before the release
/// request.
#[derive(Clone, Debug, Default)]
pub struct Review {
    unused: BTreeMap<CacheHandle, UnusedCache>,
}

impl Review {
    /// Removes caches that the engine's list no longer contains.
    pub fn retain_listed(&mut self, listed: &BTreeSet<CacheHandle>) {
        self.unused.retain(|handle, _| listed.contains(handle));
    }

    /// Records the status that the owner reported for a listed cache.
    pub fn record_status(&mut self, now: Moment, handle: &CacheHandle, status: CacheStatus) {
        match status {
            CacheStatus::Unused(_) => self
                .unused
                .entry(handle.clone())
                .or_default()
                .record_report(now),
            CacheStatus::InUse => {
                self.unused.remove(handle);
            }
            // The count restarts: the reports must be consecutive, without a
            // time in between in which the owner could not be queried.
            CacheStatus::Unknown => {
                self.unused.remove(handle);
            }
        }
    }

    /// Returns the caches whose grace period has passed; their owners must
    /// confirm that they are unused.
    pub fn due_caches(&self, now: Moment, grace: Duration) -> BTreeSet<CacheHandle> {
        let due = self
            .unused
            .iter()
            .filter(|(_, cache)| cache.is_due(now, grace));
        due.map(|(handle, _)| handle.clone()).collect()
    }

    /// Records the owner's confirmation for a due cache and returns the release
    /// request, if the cache may be released.
    ///
    /// The cache remains under review until the engine no longer lists it, so
    /// that a lost request is repeated in the next round.
    pub fn confirm_release(
        &mut self,
        now: Moment,
        grace: Duration,
        handle: &CacheHandle,
        status: CacheStatus,
    ) -> Option<ReleaseRequest> {
        self.record_status(now, handle, status);
        let CacheStatus::Unused(fence) = status else {
            return None;
        };
        let cache = self.unused.get(handle)?;
        cache.is_due(now, grace).then(|| ReleaseRequest {
            handle: handle.clone(),
            fence,
        })
    }
}
