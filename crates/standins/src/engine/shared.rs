//! State that all requests of the model engine stand-in share.

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
use super::fences::Stale;
use super::load::Load;
use super::orders::Order;
use super::switches::Fate;
use super::switches::Switches;
use crate::lagging::Lagging;
use crate::runs::RunCounts;
use crate::runs::RunLog;

/// Counts of the engine's calls and orders.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineCounts {
    /// Runs of calls.
    pub runs: RunCounts,
    /// Calls and orders refused for an old fencing number.
    pub refused_by_fence: u64,
    /// Calls and orders with an old fencing number that were carried out.
    pub stale_accepted: u64,
    /// Release orders carried out.
    pub releases: u64,
    /// Calls whose caller went away while they waited.
    pub cancelled_in_queue: u64,
}

/// State that all requests share, each part under its own lock.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) cfg: EngineConfig,
    pub(crate) runs: RunLog,
    admission: Admission,
    cache: Mutex<PrefixCache>,
    counts: Mutex<EngineCounts>,
    events: Mutex<EventLog>,
    fences: Mutex<Fences>,
    load: Mutex<Lagging<Load>>,
    orders: Mutex<Vec<Order>>,
    switches: Mutex<Switches>,
}

/// Permission to run; reports the changed load when dropped.
pub(crate) struct Working {
    shared: Arc<Shared>,
    slot: Option<Slot>,
}

impl Drop for Working {
    fn drop(&mut self) {
        self.slot = None;
        self.shared.report_load();
    }
}

/// Counts a call as cancelled in the queue unless it was admitted.
struct Queued<'a> {
    shared: &'a Shared,
    admitted: bool,
}

impl Drop for Queued<'_> {
    fn drop(&mut self) {
        if !self.admitted {
            self.shared.counts.lock().cancelled_in_queue += 1;
            self.shared.report_load();
        }
    }
}

impl Shared {
    /// An idle engine with an empty cache.
    pub(crate) fn new(cfg: EngineConfig) -> Self {
        let shared = Self {
            runs: RunLog::default(),
            admission: Admission::new(cfg.concurrency),
            cache: Mutex::new(PrefixCache::new(cfg.cache_tokens)),
            counts: Mutex::default(),
            events: Mutex::new(EventLog::new(cfg.event_lag, cfg.event_gap_every)),
            fences: Mutex::default(),
            load: Mutex::new(Lagging::new(Load::default())),
            orders: Mutex::default(),
            switches: Mutex::default(),
            cfg,
        };
        let idle = shared.present_load();
        *shared.load.lock() = Lagging::new(idle);
        shared
    }

    /// Waits for permission to run.
    pub(crate) async fn admit(self: &Arc<Self>, priority: i64) -> Working {
        let mut queued = Queued {
            shared: self,
            admitted: false,
        };
        let ticket = self.admission.enter(priority);
        self.report_load();
        let slot = ticket.wait().await;
        queued.admitted = true;
        self.report_load();
        Working {
            shared: Arc::clone(self),
            slot: Some(slot),
        }
    }

    /// Decides what happens to a call.
    pub(crate) fn decide(&self) -> Fate {
        self.switches.lock().decide()
    }

    /// Replaces all switches.
    pub(crate) fn set_switches(&self, switches: Switches) {
        *self.switches.lock() = switches;
    }

    /// The present switches, with what is left of each count.
    pub(crate) fn switches(&self) -> Switches {
        self.switches.lock().clone()
    }

    /// Checks a fencing number if the engine does so.
    pub(crate) fn check_fence(&self, scope: &str, fence: Option<u64>) -> Result<(), Stale> {
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

    /// Time to process prompt tokens that are not cached.
    pub(crate) fn prefill_time(&self, tokens: u64) -> Duration {
        let seconds = tokens as f64 / self.cfg.prefill_tokens_per_s;
        self.slowed(Duration::from_secs_f64(seconds))
    }

    /// Time to generate tokens.
    pub(crate) fn decode_time(&self, tokens: u32) -> Duration {
        self.slowed(self.cfg.decode_per_token * tokens)
    }

    fn slowed(&self, span: Duration) -> Duration {
        if self.switches.lock().half_speed {
            span * 2
        } else {
            span
        }
    }

    /// Tokens of a prompt that are held under the handle.
    pub(crate) fn cached_tokens(&self, handle: &str, prompt: &[CachedMessage]) -> u64 {
        self.cache.lock().cached_tokens(handle, prompt)
    }

    /// Holds a prefix under a handle.
    pub(crate) fn store_prefix(&self, handle: &str, messages: Vec<CachedMessage>) {
        let changes = self.cache.lock().store(handle, messages);
        self.record(changes);
    }

    /// Releases what is held under a handle.
    pub(crate) fn release(&self, handle: &str) {
        let changes = self.cache.lock().release(handle);
        self.counts.lock().releases += 1;
        self.record(changes);
    }

    /// The prefix held under a handle.
    pub(crate) fn export(&self, handle: &str) -> Option<Vec<CachedMessage>> {
        self.cache.lock().export(handle)
    }

    /// What the cache holds.
    pub(crate) fn cache_contents(&self) -> CacheContents {
        self.cache.lock().contents()
    }

    /// The visible cache events after a number.
    pub(crate) fn events_since(&self, number: u64) -> CacheEvents {
        self.events.lock().since(number)
    }

    /// Keeps an accepted order.
    pub(crate) fn accept_order(&self, order: Order) {
        self.orders.lock().push(order);
    }

    /// Orders accepted so far.
    pub(crate) fn orders(&self) -> Vec<Order> {
        self.orders.lock().clone()
    }

    /// The load that is visible now.
    pub(crate) fn load(&self) -> Load {
        self.load.lock().get()
    }

    /// The present counts.
    pub(crate) fn counts(&self) -> EngineCounts {
        EngineCounts {
            runs: self.runs.counts(),
            ..self.counts.lock().clone()
        }
    }

    fn record(&self, changes: Changes) {
        let mut events = self.events.lock();
        for (change, entry) in changes {
            events.record(change, entry);
        }
        drop(events);
        self.report_load();
    }

    fn report_load(&self) {
        // The lock is taken first, so that an older state never replaces a newer one.
        let mut load = self.load.lock();
        load.set(self.present_load(), self.cfg.load_lag);
    }

    fn present_load(&self) -> Load {
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
