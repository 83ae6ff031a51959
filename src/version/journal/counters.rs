//! Counters of the journal part.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// One counter that only grows.
#[derive(Debug, Default)]
pub struct Counter(AtomicU64);

impl Counter {
    /// The present value.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    pub(crate) fn add(&self, count: u64) {
        self.0.fetch_add(count, Ordering::Relaxed);
    }
}

/// Counters over all partitions of a host.
#[derive(Debug, Default)]
pub struct JournalCounters {
    /// Journal writes started.
    pub writes: Counter,
    /// Bytes of the journal writes started.
    pub written_bytes: Counter,
    /// Reads to learn how a write ended.
    pub settling_reads: Counter,
    /// Platform calls that failed.
    pub failures: Counter,
    /// Requests that waited for a journal write.
    pub commit_waits: Counter,
    /// Once-only calls that started.
    pub intents: Counter,
    /// Once-only calls answered from the journal.
    pub replays: Counter,
    /// Archives written.
    pub archives: Counter,
    /// Calls refused since the journal could not be written.
    pub refused_unavailable: Counter,
    /// Calls and programs refused since the journal is full.
    pub refused_full: Counter,
    /// Calls refused since a budget is spent.
    pub refused_budget: Counter,
    /// Calls refused for their ordinal.
    pub refused_order: Counter,
    /// Calls that cost more than their worst case.
    pub overruns: Counter,
    /// Partitions lost to an owner of a higher epoch.
    pub deposed: Counter,
    /// Programs ended.
    pub programs_ended: Counter,
}
