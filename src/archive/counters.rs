//! Counters of the turn log, which are written to the event log.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde::Serialize;

/// Counters since the last line.
#[derive(Debug, Default)]
pub struct Counters {
    records: AtomicU64,
    bytes: AtomicU64,
    syncs: AtomicU64,
    sync_us: AtomicU64,
    max_sync_us: AtomicU64,
    refused: AtomicU64,
    failures: AtomicU64,
    compactions: AtomicU64,
    found: AtomicU64,
    absent: AtomicU64,
}

/// Fields of a line of the event log.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct CounterLine {
    /// Records that were to be written.
    pub records: u64,
    /// Bytes written.
    pub bytes: u64,
    /// Writes with a sync.
    pub syncs: u64,
    /// Time of all writes and their syncs, in microseconds.
    pub sync_us: u64,
    /// Time of the longest write and its sync, in microseconds.
    pub max_sync_us: u64,
    /// Requests that were refused, since the disk or the index was full or the
    /// disk failed.
    pub refused: u64,
    /// Writes that failed.
    pub failures: u64,
    /// Segments whose live records were copied to another one.
    pub compactions: u64,
    /// Turns that were returned.
    pub found: u64,
    /// Turns that were asked for and are not stored.
    pub absent: u64,
}

impl Counters {
    /// Counts records that are about to be written.
    pub fn add_records(&self, records: usize) {
        self.records.fetch_add(records as u64, Ordering::Relaxed);
    }

    /// Counts a completed write.
    pub fn add_written(&self, bytes: usize, time: Duration) {
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
        self.syncs.fetch_add(1, Ordering::Relaxed);
        self.sync_us.fetch_add(micros, Ordering::Relaxed);
        self.max_sync_us.fetch_max(micros, Ordering::Relaxed);
    }

    /// Counts a request that was refused.
    pub fn add_refused(&self) {
        self.refused.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a write that failed.
    pub fn add_failure(&self) {
        self.failures.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a segment whose live records were copied to another one.
    pub fn add_compaction(&self) {
        self.compactions.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a turn that was asked for.
    pub fn add_read(&self, is_found: bool) {
        let counter = if is_found { &self.found } else { &self.absent };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the counts since the last call.
    pub fn take(&self) -> CounterLine {
        let take = |counter: &AtomicU64| counter.swap(0, Ordering::Relaxed);
        CounterLine {
            records: take(&self.records),
            bytes: take(&self.bytes),
            syncs: take(&self.syncs),
            sync_us: take(&self.sync_us),
            max_sync_us: take(&self.max_sync_us),
            refused: take(&self.refused),
            failures: take(&self.failures),
            compactions: take(&self.compactions),
            found: take(&self.found),
            absent: take(&self.absent),
        }
    }
}
