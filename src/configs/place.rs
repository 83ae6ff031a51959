//! Settings of the choice of endpoints.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMicroSeconds;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use super::Result;
use super::within;
use crate::ids::DataCentre;

/// Settings of the choice of endpoints.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlaceConfig {
    /// Fraction of the places of an endpoint that serves interactive routes
    /// beside others which is kept for them.
    pub interactive_share: f64,
    /// Weight of the newest sample in learnt averages.
    pub smoothing: f64,
    /// Slowdown expected of a call at an endpoint whose other places are taken,
    /// as a fraction of its time alone.
    pub load_slowdown: f64,
    /// Time without samples in which a learnt speed moves half of the way to
    /// the service's mean.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "half_life_ms")]
    pub half_life: Duration,
    /// One-way time to a data centre that `distances_us` does not name.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    #[serde(rename = "remote_us")]
    pub remote: Duration,
    /// One-way time to each data centre.
    #[serde_as(as = "BTreeMap<_, DurationMicroSeconds<u64>>")]
    #[serde(rename = "distances_us", skip_serializing_if = "BTreeMap::is_empty")]
    pub distances: BTreeMap<DataCentre, Duration>,
    /// True if a call may wait for the endpoint that holds its prefix.
    pub prefix_affinity: bool,
    /// Programs whose prefixes are remembered.
    pub max_prefixes: usize,
    /// True if prefixes are moved between engines where that is cheaper.
    pub move_prefixes: bool,
    /// Time to move one cached token between engines.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    #[serde(rename = "move_us_per_token")]
    pub move_per_token: Duration,
    /// True if the number of calls at an endpoint follows its latency.
    pub adaptive_concurrency: bool,
    /// Latency, as a multiple of the least, above which an endpoint is given
    /// fewer calls.
    pub latency_tolerance: f64,
    /// Failures in a row after which an endpoint gets no calls for a while.
    pub eject_after: u32,
    /// First time without calls.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "eject_min_ms")]
    pub eject_min: Duration,
    /// Longest time without calls.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "eject_max_ms")]
    pub eject_max: Duration,
    /// Multiple of the expected time after which a running call is overdue.
    pub overdue_factor: f64,
    /// Interval between load reports of an endpoint; 0 turns them off.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "load_interval_ms")]
    pub load_interval: Duration,
    /// Time by which the content of a load report is old when it arrives.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "load_lag_ms")]
    pub load_lag: Duration,
}

impl Default for PlaceConfig {
    fn default() -> Self {
        Self {
            interactive_share: 0.15,
            smoothing: 0.15,
            load_slowdown: 0.25,
            half_life: Duration::from_secs(20),
            remote: Duration::from_millis(1),
            distances: BTreeMap::new(),
            prefix_affinity: true,
            max_prefixes: 100_000,
            move_prefixes: false,
            move_per_token: Duration::from_micros(20),
            adaptive_concurrency: true,
            latency_tolerance: 1.5,
            eject_after: 3,
            eject_min: Duration::from_secs(1),
            eject_max: Duration::from_secs(30),
            overdue_factor: 4.0,
            load_interval: Duration::from_millis(500),
            load_lag: Duration::from_millis(500),
        }
    }
}

impl PlaceConfig {
    /// Checks every bound.
    ///
    /// # Errors
    ///
    /// The first setting that is out of its range.
    pub fn check(&self) -> Result<()> {
        within("interactive_share", self.interactive_share, 0.0, 0.9)?;
        within("smoothing", self.smoothing, 0.001, 1.0)?;
        within("load_slowdown", self.load_slowdown, 0.0, 10.0)?;
        within("half_life_ms", self.half_life, TICK, LONGEST)?;
        within("remote_us", self.remote, Duration::ZERO, MAX_DISTANCE)?;
        for distance in self.distances.values() {
            within("distances_us", *distance, Duration::ZERO, MAX_DISTANCE)?;
        }
        within("max_prefixes", self.max_prefixes, 1, MAX_PREFIXES)?;
        let move_per_token = self.move_per_token;
        within("move_us_per_token", move_per_token, Duration::ZERO, TICK)?;
        within("latency_tolerance", self.latency_tolerance, 1.1, 100.0)?;
        within("eject_after", self.eject_after, 1, 1_000)?;
        within("eject_min_ms", self.eject_min, TICK, self.eject_max)?;
        within("eject_max_ms", self.eject_max, self.eject_min, LONGEST)?;
        within("overdue_factor", self.overdue_factor, 1.0, 1_000.0)?;
        let load_interval = self.load_interval;
        within("load_interval_ms", load_interval, Duration::ZERO, LONGEST)?;
        within("load_lag_ms", self.load_lag, Duration::ZERO, LONGEST)
    }

    /// One-way time from a data centre to another.
    pub fn distance(&self, from: &DataCentre, to: &DataCentre) -> Duration {
        if from == to {
            return Duration::ZERO;
        }
        self.distances.get(to).copied().unwrap_or(self.remote)
    }
}

const TICK: Duration = Duration::from_millis(1);
const LONGEST: Duration = Duration::from_secs(3_600);
const MAX_DISTANCE: Duration = Duration::from_secs(10);
const MAX_PREFIXES: usize = 10_000_000;
