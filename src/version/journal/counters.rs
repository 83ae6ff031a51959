//! Counters of journals.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// A monotonic counter.
#[derive(Debug, Default)]
pub struct Counter(AtomicU64);

impl Counter {
    /// The current value.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    pub(crate) fn add(&self, count: u64) {
        self.0.fetch_add(count, Ordering::Relaxed);
    }
}

/// Totals over all partitions of a host.
#[derive(Debug, Default)]
pub struct JournalCounters {
    /// Journal writes started.
    pub writes: Counter,
    /// Bytes of the journal writes started.
    pub written_bytes: Counter,
    /// Reads to determine the outcome of a write.
    pub settling_reads: Counter,
    /// Platform calls that failed.
    pub failures: Counter,
    /// Waits of requests for a journal write.
    pub commit_waits: Counter,
    /// Intents recorded for once-only calls.
    pub intents: Counter,
    /// Retries of once-only calls answered with the earlier answer; retries of
    /// archived calls are not counted.
    pub replays: Counter,
    /// Archives written.
    pub archives: Counter,
    /// Calls and programs refused because the journal could not be written.
    pub refused_unavailable: Counter,
    /// Calls and programs refused because the journal is full.
    pub refused_full: Counter,
    /// Calls refused because a budget does not cover them.
    pub refused_budget: Counter,
    /// Calls refused because of their ordinal.
    pub refused_order: Counter,
    /// Calls whose actual cost exceeded their maximum cost.
    pub overruns: Counter,
    /// Partitions lost to an owner of a higher epoch.
    pub deposed: Counter,
    /// Programs that have ended, including idle ones and sub-agents.
    pub programs_ended: Counter,
}
