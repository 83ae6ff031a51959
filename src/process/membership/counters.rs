//! Counters of the membership part.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Counters since the start of the process.
#[derive(Debug, Default)]
pub struct Counters {
    /// Heartbeats sent to other hosts.
    pub heartbeats_sent: AtomicU64,
    /// Heartbeats that were not answered.
    pub heartbeats_unanswered: AtomicU64,
    /// Heartbeats received from other hosts.
    pub heartbeats_received: AtomicU64,
    /// Reads of a table.
    pub table_reads: AtomicU64,
    /// Conditional writes of a table.
    pub table_writes: AtomicU64,
    /// Conditional writes that lost to another writer.
    pub table_conflicts: AtomicU64,
    /// Lists of all tables.
    pub table_lists: AtomicU64,
    /// Platform calls that gave no result in time.
    pub platform_failures: AtomicU64,
    /// Tables of other data centres that this host adopted.
    pub adoptions: AtomicU64,
    /// Partitions gained.
    pub partitions_gained: AtomicU64,
    /// Partitions lost.
    pub partitions_lost: AtomicU64,
    /// Times the lease on the own table ran out.
    pub leases_lapsed: AtomicU64,
}

/// Adds one to a counter.
pub(super) fn increment(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}
