//! Counters of placing.

use crate::process::rates::counters::Counter;
use crate::request::place::Prefix;

/// Counters of placing at one host, over all services.
#[derive(Debug, Default)]
pub struct PlacingCounters {
    /// Calls that started at once.
    pub immediate: Counter,
    /// Calls that started after a wait.
    pub waited: Counter,
    /// Calls refused because the queue was full.
    pub refused_full: Counter,
    /// Calls refused because they would not start before their deadline.
    pub refused_deadline: Counter,
    /// Calls whose deadline passed while they waited.
    pub expired: Counter,
    /// Waiting calls removed from a full queue for another customer.
    pub displaced: Counter,
    /// Waiting calls whose caller went away.
    pub left: Counter,
    /// Calls placed where their prefix is held.
    pub prefix_held: Counter,
    /// Calls placed where their prefix is to be moved.
    pub prefix_moved: Counter,
    /// Calls placed without a prefix.
    pub prefix_cold: Counter,
    /// Cost of ended calls.
    pub tokens: Counter,
    /// Endpoints ejected for their failures.
    pub ejected: Counter,
    /// Ejected endpoints that answered again.
    pub restored: Counter,
    /// Load reports taken up.
    pub load_reports: Counter,
    /// Load reports that did not come.
    pub load_failures: Counter,
}

impl PlacingCounters {
    /// Counts a start.
    pub(super) fn started(&self, prefix: &Prefix, waited: bool) {
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
