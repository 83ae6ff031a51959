//! Counters of the membership module.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Counters since the process started.
#[derive(Debug, Default)]
pub struct Counters {
    /// Heartbeats sent to other hosts.
    pub heartbeats_sent: AtomicU64,
    /// Heartbeats without a reply.
    pub heartbeats_unanswered: AtomicU64,
    /// Heartbeats received from other hosts.
    pub heartbeats_received: AtomicU64,
    /// Reads of a table.
    pub table_reads: AtomicU64,
    /// Conditional writes of a table.
    pub table_writes: AtomicU64,
    /// Conditional writes that failed because another host had written.
    pub table_conflicts: AtomicU64,
    /// Lists of all tables.
    pub table_lists: AtomicU64,
    /// Platform calls that failed or timed out.
    pub platform_failures: AtomicU64,
    /// Tables of other data centres adopted by this host.
    pub adoptions: AtomicU64,
    /// Partitions gained.
    pub partitions_gained: AtomicU64,
    /// Partitions lost.
    pub partitions_lost: AtomicU64,
    /// Expirations of this host's lease in its own table.
    pub leases_lapsed: AtomicU64,
}

pub(super) fn increment(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}
