//! Which engines hold the caches of the programs that a host owns.

use std::collections::BTreeMap;
use std::time::Duration;

use super::CacheHandle;
use super::Home;
use super::ReleaseOrder;
use super::Verdict;
use crate::ids::EndpointId;
use crate::units::Moment;

/// A cache at an engine, to be released.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Placement {
    /// The engine.
    pub endpoint: EndpointId,
    /// The order to send to it.
    pub order: ReleaseOrder,
}

/// What a program's home knows of a cache's program.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Standing {
    /// It lives and a call of it waits or runs.
    Busy,
    /// It lives and nothing of it runs.
    Quiet,
    /// It has ended.
    Ended,
    /// This host does not own it any more.
    Lost,
}

impl Standing {
    /// The standing of a handle's program at a host that dispatched with it.
    pub fn of(home: &Home, handle: &CacheHandle) -> Self {
        let is_busy = home.program.as_ref().is_some_and(|program| program.busy);
        match home.judge(handle) {
            Verdict::InUse if is_busy => Self::Busy,
            Verdict::InUse => Self::Quiet,
            Verdict::Gone(epoch) if epoch == handle.epoch => Self::Ended,
            Verdict::Gone(_) => Self::Lost,
            // Without a lease nothing is released, and nothing is forgotten.
            Verdict::Unknown => Self::Busy,
        }
    }
}

/// How far the release of an idle cache has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Release {
    /// It is not being released.
    None,
    /// An order is under way. No second one is sent meanwhile: it could arrive
    /// after the cache is in use again.
    Ordered,
    /// The last order may not have arrived.
    Failed,
}

/// One cache at one engine.
#[derive(Clone, Copy, Debug)]
struct Use {
    last: Moment,
    release: Release,
}

impl Use {
    fn is_due(&self, now: Moment, idle: Duration) -> bool {
        match self.release {
            Release::None => now.since(self.last) >= idle,
            Release::Ordered => false,
            Release::Failed => true,
        }
    }
}

type Engines = BTreeMap<EndpointId, Use>;

/// Which engines hold the caches of the programs that a host owns.
///
/// A cache that is being released is not used again until the release is
/// known to have succeeded, so an order never meets a call that relies on it.
#[derive(Clone, Debug, Default)]
pub struct Uses {
    caches: BTreeMap<CacheHandle, Engines>,
}

impl Uses {
    /// Notes that a call is about to be dispatched; false if the call must not
    /// use the cache because its release is under way.
    #[must_use]
    pub fn dispatch(&mut self, now: Moment, handle: &CacheHandle, endpoint: &EndpointId) -> bool {
        let engines = self.caches.entry(handle.clone()).or_default();
        let cache = engines.entry(endpoint.clone()).or_insert(Use {
            last: now,
            release: Release::None,
        });
        cache.last = now;
        cache.release == Release::None
    }

    /// Takes out the caches of a program that has ended.
    pub fn ended(&mut self, handle: &CacheHandle) -> Vec<Placement> {
        let engines = self.caches.remove(handle).unwrap_or_default();
        let endpoints = engines.into_keys();
        endpoints.map(|e| placement(handle, e)).collect()
    }

    /// Takes out caches of programs that have ended or are owned elsewhere,
    /// and starts the release of caches unused for `idle`.
    ///
    /// Caches of ended programs and idle ones are to be released. Those owned
    /// elsewhere are left to the stewards, which ask the new owner.
    pub fn sweep(
        &mut self,
        now: Moment,
        idle: Duration,
        standing: impl Fn(&CacheHandle) -> Standing,
    ) -> Vec<Placement> {
        let mut released = Vec::new();
        self.caches.retain(|handle, engines| {
            let standing = standing(handle);
            match standing {
                Standing::Busy => {}
                Standing::Quiet => released.extend(start_idle(handle, engines, now, idle)),
                Standing::Ended => {
                    let endpoints = engines.keys().cloned();
                    released.extend(endpoints.map(|e| placement(handle, e)));
                }
                Standing::Lost => {}
            }
            matches!(standing, Standing::Busy | Standing::Quiet)
        });
        released
    }

    /// Takes the outcome of a release; one that may not have arrived is
    /// repeated by the next sweep.
    pub fn settled(&mut self, placement: &Placement, released: bool) {
        let handle = &placement.order.handle;
        let Some(engines) = self.caches.get_mut(handle) else {
            return;
        };
        if released {
            engines.remove(&placement.endpoint);
        } else if let Some(cache) = engines.get_mut(&placement.endpoint) {
            cache.release = Release::Failed;
        }
        if engines.is_empty() {
            self.caches.remove(handle);
        }
    }

    /// Caches that are recorded.
    pub fn len(&self) -> usize {
        self.caches.values().map(BTreeMap::len).sum()
    }

    /// True if no cache is recorded.
    pub fn is_empty(&self) -> bool {
        self.caches.is_empty()
    }
}

/// Marks the unused caches of a quiet program, and those whose last order
/// failed, as being released.
fn start_idle(
    handle: &CacheHandle,
    engines: &mut Engines,
    now: Moment,
    idle: Duration,
) -> Vec<Placement> {
    let mut released = Vec::new();
    for (endpoint, cache) in engines {
        if cache.is_due(now, idle) {
            cache.release = Release::Ordered;
            released.push(placement(handle, endpoint.clone()));
        }
    }
    released
}

fn placement(handle: &CacheHandle, endpoint: EndpointId) -> Placement {
    Placement {
        endpoint,
        order: ReleaseOrder {
            handle: handle.clone(),
            fence: handle.epoch,
        },
    }
}
