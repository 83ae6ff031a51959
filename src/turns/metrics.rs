//! Counters of kept turns.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::metrics::histogram::exponential_buckets;
use prometheus_client::registry::Registry;
use prometheus_client::registry::Unit;

/// Upper bound of the first bucket of the time to store, in seconds.
const FIRST_BUCKET_SECONDS: f64 = 0.001;
/// Ratio of the upper bounds of adjacent buckets.
const BUCKET_GROWTH: f64 = 2.0;
/// Number of buckets; the last bound is above the limit of storing.
const BUCKETS: u16 = 12;

/// Metrics of kept turns; clones share them.
#[derive(Clone, Debug)]
pub struct TurnMetrics {
    /// Turns that were stored.
    pub stored: Counter,
    /// Complete turns that could not be stored, so that their responses were
    /// aborted.
    pub not_stored: Counter,
    /// Holders of a record that were replaced since they did not store it in time.
    pub replaced: Counter,
    /// Chains found in this host's memory.
    pub in_cache: Counter,
    /// Chains found at an archive host of the own data centre.
    pub near: Counter,
    /// Chains found at an archive host of another data centre.
    pub far: Counter,
    /// Requests refused since the turn before does not exist.
    pub absent: Counter,
    /// Requests refused since it is not known whether the turn before exists.
    pub unsure: Counter,
    /// Requests refused since their chain is too large.
    pub too_large: Counter,
    /// Requests refused since too few archive hosts can store their turn.
    pub unservable: Counter,
    /// Lists of archive hosts read to prove that a turn does not exist.
    pub lists: Counter,
    /// Time to store a turn.
    pub store_time: Histogram,
}

impl Default for TurnMetrics {
    fn default() -> Self {
        let buckets = exponential_buckets(FIRST_BUCKET_SECONDS, BUCKET_GROWTH, BUCKETS);
        Self {
            stored: Counter::default(),
            not_stored: Counter::default(),
            replaced: Counter::default(),
            in_cache: Counter::default(),
            near: Counter::default(),
            far: Counter::default(),
            absent: Counter::default(),
            unsure: Counter::default(),
            too_large: Counter::default(),
            unservable: Counter::default(),
            lists: Counter::default(),
            store_time: Histogram::new(buckets),
        }
    }
}

impl TurnMetrics {
    /// Adds the metrics to a page.
    pub fn register(&self, page: &mut Registry) {
        let counters = [
            ("turns_stored", "Turns that were stored", &self.stored),
            (
                "turns_not_stored",
                "Complete turns that could not be stored",
                &self.not_stored,
            ),
            (
                "turn_holders_replaced",
                "Archive hosts that did not store a record in time",
                &self.replaced,
            ),
            (
                "turn_chains_cached",
                "Chains found in the host's memory",
                &self.in_cache,
            ),
            (
                "turn_chains_near",
                "Chains found at an archive host of the own data centre",
                &self.near,
            ),
            (
                "turn_chains_far",
                "Chains found at an archive host of another data centre",
                &self.far,
            ),
            (
                "turns_absent",
                "Requests refused since the turn before does not exist",
                &self.absent,
            ),
            (
                "turns_unsure",
                "Requests refused since it is not certain whether the turn before exists",
                &self.unsure,
            ),
            (
                "turns_too_large",
                "Requests refused since their chain is too large",
                &self.too_large,
            ),
            (
                "turns_unservable",
                "Requests refused since too few archive hosts can store their turn",
                &self.unservable,
            ),
            (
                "turn_lists",
                "Lists of archive hosts read to prove that a turn does not exist",
                &self.lists,
            ),
        ];
        for (name, help, counter) in counters {
            page.register(name, help, counter.clone());
        }
        page.register_with_unit(
            "turn_store",
            "Time to store a turn",
            Unit::Seconds,
            self.store_time.clone(),
        );
    }
}
