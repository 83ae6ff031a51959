//! Counters of the limiter.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// A number that only grows.
#[derive(Debug, Default)]
pub struct Counter(AtomicU64);

impl Counter {
    /// Adds to the counter.
    pub fn add(&self, count: u64) {
        self.0.fetch_add(count, Ordering::Relaxed);
    }

    /// Present value.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Counters of the limiter at one host, over all customers.
#[derive(Debug, Default)]
pub struct RateCounters {
    /// Calls admitted.
    pub admitted: Counter,
    /// Calls refused.
    pub refused: Counter,
    /// Calls that waited for another host.
    pub waited: Counter,
    /// Requests for tokens ahead of demand.
    pub prefetches: Counter,
    /// Requests for tokens that calls waited for.
    pub borrows: Counter,
    /// Requests that only gave tokens back.
    pub returns: Counter,
    /// Questions to other hosts on the use of their floors.
    pub floor_questions: Counter,
    /// Requests that got no answer.
    pub unanswered: Counter,
    /// Requests of other hosts that were answered.
    pub answered: Counter,
    /// Millionths of tokens granted to other hosts.
    pub granted_micros: Counter,
    /// Millionths of tokens refilled in this host's buckets.
    pub refilled_micros: Counter,
    /// Millionths of granted tokens that expired here unspent.
    pub expired_micros: Counter,
    /// Millionths of tokens granted to others that no report accounted for.
    pub unreported_micros: Counter,
}
