//! Shared state of the model engine stand-in.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use serde::Deserialize;
use serde::Serialize;

use super::admission::Admission;
use super::admission::Slot;
use super::cache::CacheContents;
use super::cache::CachedMessage;
use super::cache::Changes;
use super::cache::PrefixCache;
use super::config::EngineConfig;
use super::events::CacheEvents;
use super::events::EventLog;
use super::fences::Fences;
use super::fences::StaleFence;
use super::load::Load;
use super::orders::Order;
use super::switches::Outcome;
use super::switches::Switches;
use crate::delayed::Delayed;
use crate::runs::RunCounts;
use crate::runs::RunLog;

/// Counters of the engine's calls and orders.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineCounts {
    /// Counts of runs.
    pub runs: RunCounts,
    /// Number of calls and orders refused for a stale fencing token.
    pub refused_by_fence: u64,
    /// Number of calls and orders accepted in spite of a stale fencing token.
    pub stale_accepted: u64,
    /// Number of executed release orders.
    pub releases: u64,
    /// Number of queued calls whose caller disconnected.
    pub cancelled_in_queue: u64,
}

/// State shared by all requests; each part has its own lock.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) cfg: EngineConfig,
    pub(crate) runs: RunLog,
    admission: Admission,
    cache: Mutex<PrefixCache>,
    counts: Mutex<EngineCounts>,
    events: Mutex<EventLog>,
    fences: Mutex<Fences>,
    load: Mutex<Delayed<Load>>,
    orders: Mutex<Vec<Order>>,
    switches: Mutex<Switches>,
}

/// Concurrency slot of a running call; updates the load report on drop.
pub(crate) struct RunPermit {
    shared: Arc<Shared>,
    slot: Option<Slot>,
}

impl Drop for RunPermit {
    fn drop(&mut self) {
        self.slot = None;
        self.shared.update_load();
    }
}

/// Counts a call as cancelled in the queue if dropped before admission.
struct QueueGuard<'a> {
    shared: &'a Shared,
    admitted: bool,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        if !self.admitted {
            self.shared.counts.lock().cancelled_in_queue += 1;
            self.shared.update_load();
        }
    }
}

impl Shared {
    /// Creates the state of an idle engine with an empty cache.
    pub(crate) fn new(cfg: EngineConfig) -> Self {
        let shared = Self {
            runs: RunLog::default(),
            admission: Admission::new(cfg.concurrency),
            cache: Mutex::new(PrefixCache::new(cfg.cache_tokens)),
            counts: Mutex::default(),
            events: Mutex::new(EventLog::new(cfg.event_lag, cfg.event_gap_every)),
            fences: Mutex::default(),
            load: Mutex::new(Delayed::new(Load::default())),
            orders: Mutex::default(),
            switches: Mutex::default(),
            cfg,
        };
        let idle = shared.current_load();
        *shared.load.lock() = Delayed::new(idle);
        shared
    }

    /// Waits for a concurrency slot.
    pub(crate) async fn admit(self: &Arc<Self>, priority: i64) -> RunPermit {
        let mut queued = QueueGuard {
            shared: self,
            admitted: false,
        };
        let waiter = self.admission.enqueue(priority);
        self.update_load();
        let slot = waiter.wait().await;
        queued.admitted = true;
        self.update_load();
        RunPermit {
            shared: Arc::clone(self),
            slot: Some(slot),
        }
    }

    /// Decides the outcome of a call.
    pub(crate) fn decide_outcome(&self) -> Outcome {
        self.switches.lock().decide_outcome()
    }

    /// Replaces all fault switches.
    pub(crate) fn set_switches(&self, switches: Switches) {
        *self.switches.lock() = switches;
    }

    /// Returns the fault switches with their remaining counts.
    pub(crate) fn switches(&self) -> Switches {
        self.switches.lock().clone()
    }

    /// Records a fencing token; a stale one is an error if the engine checks
    /// fences, and is counted in either case.
    pub(crate) fn check_fence(&self, scope: &str, fence: Option<u64>) -> Result<(), StaleFence> {
        let Some(fence) = fence else {
            return Ok(());
        };
        let checked = self.fences.lock().check(scope, fence);
        let mut counts = self.counts.lock();
        match checked {
            Err(stale) if self.cfg.checks_fence => {
                counts.refused_by_fence += 1;
                Err(stale)
            }
            Err(_) => {
                counts.stale_accepted += 1;
                Ok(())
            }
            Ok(()) => Ok(()),
        }
    }

    /// Returns the time to process uncached prompt tokens.
    pub(crate) fn prefill_time(&self, tokens: u64) -> Duration {
        let seconds = tokens as f64 / self.cfg.prefill_tokens_per_s;
        self.apply_speed(Duration::from_secs_f64(seconds))
    }

    /// Returns the time to generate `tokens` tokens.
    pub(crate) fn decode_time(&self, tokens: u32) -> Duration {
        self.apply_speed(self.cfg.decode_per_token * tokens)
    }

    fn apply_speed(&self, duration: Duration) -> Duration {
        if self.switches.lock().half_speed {
            duration * 2
        } else {
            duration
        }
    }

    /// Returns the number of leading prompt tokens cached under the handle.
    pub(crate) fn cached_tokens(&self, handle: &str, prompt: &[CachedMessage]) -> u64 {
        self.cache.lock().cached_tokens(handle, prompt)
    }

    /// Caches a prefix under a handle.
    pub(crate) fn store_prefix(&self, handle: &str, messages: Vec<CachedMessage>) {
        let changes = self.cache.lock().store(handle, messages);
        self.record_changes(changes);
    }

    /// Removes the prefix cached under a handle.
    pub(crate) fn release(&self, handle: &str) {
        let changes = self.cache.lock().release(handle);
        self.counts.lock().releases += 1;
        self.record_changes(changes);
    }

    /// Returns the prefix cached under a handle.
    pub(crate) fn export(&self, handle: &str) -> Option<Vec<CachedMessage>> {
        self.cache.lock().export(handle)
    }

    /// Returns the contents of the cache.
    pub(crate) fn cache_contents(&self) -> CacheContents {
        self.cache.lock().contents()
    }

    /// Returns the visible cache events after `number`.
    pub(crate) fn events_since(&self, number: u64) -> CacheEvents {
        self.events.lock().since(number)
    }

    /// Records an accepted order.
    pub(crate) fn accept_order(&self, order: Order) {
        self.orders.lock().push(order);
    }

    /// Returns all accepted orders.
    pub(crate) fn orders(&self) -> Vec<Order> {
        self.orders.lock().clone()
    }

    /// Returns the currently visible load.
    pub(crate) fn load(&self) -> Load {
        self.load.lock().get()
    }

    /// Returns the current counters.
    pub(crate) fn counts(&self) -> EngineCounts {
        EngineCounts {
            runs: self.runs.counts(),
            ..self.counts.lock().clone()
        }
    }

    fn record_changes(&self, changes: Changes) {
        let mut events = self.events.lock();
        for (change, entry) in changes {
            events.record(change, entry);
        }
        drop(events);
        self.update_load();
    }

    fn update_load(&self) {
        // Locking before reading the state keeps an older report from replacing a
        // newer one.
        let mut load = self.load.lock();
        load.set(self.current_load(), self.cfg.load_lag);
    }

    fn current_load(&self) -> Load {
        let (running, queued) = self.admission.running_and_queued();
        Load {
            running,
            queued,
            concurrency: self.cfg.concurrency,
            cached_tokens: self.cache.lock().used(),
            prefill_tokens_per_s: self.cfg.prefill_tokens_per_s,
            decode_ms_per_token: self.cfg.decode_per_token.as_secs_f64() * 1000.0,
        }
    }
}
