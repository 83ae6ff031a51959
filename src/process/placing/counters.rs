//! Counters of placement.

use crate::process::rates::counters::Counter;
use crate::request::place::Prefix;

/// Counters of placement at one host, across all services.
#[derive(Debug, Default)]
pub struct PlacingCounters {
    /// Calls that started without waiting.
    pub immediate: Counter,
    /// Calls that started after a wait.
    pub waited: Counter,
    /// Calls refused because the queue was full.
    pub refused_full: Counter,
    /// Calls refused because they were unlikely to start before their deadline.
    pub refused_deadline: Counter,
    /// Calls whose deadline expired while they waited.
    pub expired: Counter,
    /// Waiting calls removed from a full queue for another customer.
    pub displaced: Counter,
    /// Waiting calls cancelled: the caller disconnected, the deadline expired
    /// or a recheck refused the call.
    pub cancelled: Counter,
    /// Calls placed at an endpoint that has their prefix cached.
    pub prefix_held: Counter,
    /// Calls placed at an endpoint to which their prefix is to be moved.
    pub prefix_moved: Counter,
    /// Calls placed at an endpoint without a cached prefix.
    pub prefix_cold: Counter,
    /// Cost of ended calls, in tokens.
    pub tokens: Counter,
    /// Ejections of endpoints because of failed calls.
    pub ejected: Counter,
    /// Ejected endpoints that have recovered.
    pub restored: Counter,
    /// Load reports received from endpoints.
    pub load_reports: Counter,
    /// Load requests without a valid answer.
    pub load_failures: Counter,
}

impl PlacingCounters {
    /// Counts the start of a call; `waited` is set if the call was queued
    /// before.
    pub(super) fn record_start(&self, prefix: &Prefix, waited: bool) {
        if waited {
            self.waited.add(1);
        } else {
            self.immediate.add(1);
        }
        match prefix {
            Prefix::Held { .. } => self.prefix_held.add(1),
            Prefix::Move { .. } => self.prefix_moved.add(1),
            Prefix::Cold => self.prefix_cold.add(1),
        }
    }
}
