//! Counters of the rate limiter.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// A monotonic counter that several threads can update.
#[derive(Debug, Default)]
pub struct Counter(AtomicU64);

impl Counter {
    /// Adds `count` to the counter.
    pub fn add(&self, count: u64) {
        self.0.fetch_add(count, Ordering::Relaxed);
    }

    /// Current value.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Counters of the rate limiter of one host, over all customers.
#[derive(Debug, Default)]
pub struct RateCounters {
    /// Calls admitted.
    pub admitted: Counter,
    /// Calls refused.
    pub refused: Counter,
    /// Calls that waited for tokens of another host.
    pub waited: Counter,
    /// Requests sent only to prefetch tokens.
    pub prefetches: Counter,
    /// Requests sent for tokens that calls waited for.
    pub borrows: Counter,
    /// Requests sent only to return tokens.
    pub returns: Counter,
    /// Queries to other hosts for the status of their floors.
    pub floor_queries: Counter,
    /// Token requests that failed or timed out.
    pub unanswered: Counter,
    /// Token requests of other hosts that were answered.
    pub answered: Counter,
    /// Millionths of tokens granted to other hosts.
    pub granted_micros: Counter,
    /// Millionths of tokens refilled in the buckets of this host.
    pub refilled_micros: Counter,
    /// Millionths of borrowed tokens that expired unspent.
    pub expired_micros: Counter,
    /// Millionths of tokens granted to other hosts that expired before a report
    /// on them arrived.
    pub unreported_micros: Counter,
}
