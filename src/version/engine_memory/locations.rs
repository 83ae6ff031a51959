//! Locations of the caches of the programs that a host owns.

use std::collections::BTreeMap;
use std::time::Duration;

use super::CacheHandle;
use super::CacheStatus;
use super::OwnerState;
use super::ReleaseRequest;
use crate::ids::EndpointId;
use crate::units::Moment;

/// A release request with the engine that it is sent to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineRelease {
    /// Engine that holds the cache.
    pub endpoint: EndpointId,
    /// Request to send.
    pub request: ReleaseRequest,
}

/// Status of a cache's program at the host that dispatched its calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProgramStatus {
    /// The program is active and a call is waiting or running.
    Busy,
    /// The program is active without waiting or running calls.
    Idle,
    /// The program has ended.
    Ended,
    /// This host no longer owns the program.
    Moved,
}

impl ProgramStatus {
    /// Returns the status of a handle's program.
    ///
    /// `handle` must have the epoch in which this host dispatched calls.
    pub fn of(owner: &OwnerState, handle: &CacheHandle) -> Self {
        let is_busy = owner.program.as_ref().is_some_and(|program| program.busy);
        match owner.cache_status(handle) {
            CacheStatus::InUse if is_busy => Self::Busy,
            CacheStatus::InUse => Self::Idle,
            CacheStatus::Unused(epoch) if epoch == handle.epoch => Self::Ended,
            CacheStatus::Unused(_) => Self::Moved,
            // Without a lease, caches are neither released nor removed from the
            // records.
            CacheStatus::Unknown => Self::Busy,
        }
    }
}

/// State of the release of an idle cache.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ReleaseState {
    /// No release is in progress.
    None,
    /// A request is in flight. No second one is sent meanwhile, since it could
    /// arrive after the cache is in use again.
    InFlight,
    /// The last request failed; the engine may not have received it.
    Failed,
}

/// A cache at one engine.
#[derive(Clone, Copy, Debug)]
struct CacheCopy {
    last_dispatch: Moment,
    release: ReleaseState,
}

impl CacheCopy {
    fn is_due(&self, now: Moment, idle: Duration) -> bool {
        match self.release {
            ReleaseState::None => now.since(self.last_dispatch) >= idle,
            ReleaseState::InFlight => false,
            ReleaseState::Failed => true,
        }
    }
}

type Copies = BTreeMap<EndpointId, CacheCopy>;

/// Engines that hold the caches of the programs that a host owns.
///
/// A cache that is being released is not used again until the release has
/// succeeded, so a release request never affects a call that uses the cache.
#[derive(Clone, Debug, Default)]
pub struct CacheLocations {
    caches: BTreeMap<CacheHandle, Copies>,
}

impl CacheLocations {
    /// Records that a call is about to be dispatched.
    ///
    /// Returns whether the call may use the cache; it may not while the cache is
    /// being released.
    #[must_use]
    pub fn record_dispatch(
        &mut self,
        now: Moment,
        handle: &CacheHandle,
        endpoint: &EndpointId,
    ) -> bool {
        let copies = self.caches.entry(handle.clone()).or_default();
        let cache = copies.entry(endpoint.clone()).or_insert(CacheCopy {
            last_dispatch: now,
            release: ReleaseState::None,
        });
        cache.last_dispatch = now;
        cache.release == ReleaseState::None
    }

    /// Removes the caches of an ended program and returns the requests that
    /// release them.
    pub fn remove_ended(&mut self, handle: &CacheHandle) -> Vec<EngineRelease> {
        let copies = self.caches.remove(handle).unwrap_or_default();
        let endpoints = copies.into_keys();
        endpoints.map(|e| engine_release(handle, e)).collect()
    }

    /// Removes the caches of programs that have ended or moved to another owner,
    /// and starts the release of caches without a dispatch for `idle`.
    ///
    /// Returns the requests that release ended and idle caches. Caches of moved
    /// programs are left to the reviewers, which query the new owner.
    pub fn sweep(
        &mut self,
        now: Moment,
        idle: Duration,
        program_status: impl Fn(&CacheHandle) -> ProgramStatus,
    ) -> Vec<EngineRelease> {
        let mut releases = Vec::new();
        self.caches.retain(|handle, copies| {
            let status = program_status(handle);
            match status {
                ProgramStatus::Busy => {}
                ProgramStatus::Idle => releases.extend(release_idle(handle, copies, now, idle)),
                ProgramStatus::Ended => {
                    let endpoints = copies.keys().cloned();
                    releases.extend(endpoints.map(|e| engine_release(handle, e)));
                }
                ProgramStatus::Moved => {}
            }
            matches!(status, ProgramStatus::Busy | ProgramStatus::Idle)
        });
        releases
    }

    /// Records the outcome of a release request; the next sweep repeats a failed
    /// one.
    pub fn record_outcome(&mut self, release: &EngineRelease, released: bool) {
        let handle = &release.request.handle;
        let Some(copies) = self.caches.get_mut(handle) else {
            return;
        };
        if released {
            copies.remove(&release.endpoint);
        } else if let Some(cache) = copies.get_mut(&release.endpoint) {
            cache.release = ReleaseState::Failed;
        }
        if copies.is_empty() {
            self.caches.remove(handle);
        }
    }

    /// Returns the number of recorded caches; a cache at two engines counts twice.
    pub fn len(&self) -> usize {
        self.caches.values().map(BTreeMap::len).sum()
    }

    /// Whether no cache is recorded.
    pub fn is_empty(&self) -> bool {
        self.caches.is_empty()
    }
}

/// Starts the release of an idle program's caches that are due: unused for
/// `idle`, or with a failed release.
fn release_idle(
    handle: &CacheHandle,
    copies: &mut Copies,
    now: Moment,
    idle: Duration,
) -> Vec<EngineRelease> {
    let mut releases = Vec::new();
    for (endpoint, cache) in copies {
        if cache.is_due(now, idle) {
            cache.release = ReleaseState::InFlight;
            releases.push(engine_release(handle, endpoint.clone()));
        }
    }
    releases
}

fn engine_release(handle: &CacheHandle, endpoint: EndpointId) -> EngineRelease {
    EngineRelease {
        endpoint,
        request: ReleaseRequest {
            handle: handle.clone(),
            fence: handle.epoch,
        },
    }
}
