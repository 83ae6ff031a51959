//! Settings of the placement of calls on endpoints.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMicroSeconds;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use super::Result;
use super::check_range;
use crate::ids::DataCentre;

/// Settings of the placement of calls on endpoints.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlaceConfig {
    /// Fraction of the slots that is reserved for interactive calls at an
    /// endpoint that serves interactive and other services.
    pub interactive_share: f64,
    /// Weight of the newest sample in moving averages.
    pub smoothing: f64,
    /// Expected slowdown of a call at an endpoint whose other slots are busy,
    /// as a fraction of its duration without concurrent calls.
    pub load_slowdown: f64,
    /// Time without samples after which a measured speed has moved halfway to
    /// the mean of the service.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "half_life_ms")]
    pub half_life: Duration,
    /// One-way latency to a data centre that is missing from `distances_us`.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    #[serde(rename = "remote_us")]
    pub remote: Duration,
    /// One-way latency from this host's data centre to each other one.
    #[serde_as(as = "BTreeMap<_, DurationMicroSeconds<u64>>")]
    #[serde(rename = "distances_us", skip_serializing_if = "BTreeMap::is_empty")]
    pub distances: BTreeMap<DataCentre, Duration>,
    /// Whether a call may wait for the endpoint that has cached its prefix.
    pub prefix_affinity: bool,
    /// Number of programs whose prefix locations are tracked.
    pub max_prefixes: usize,
    /// Whether cached prefixes are copied between engines where that takes less
    /// time than to compute them.
    pub move_prefixes: bool,
    /// Time to transfer one cached token between engines.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    #[serde(rename = "move_us_per_token")]
    pub move_per_token: Duration,
    /// Whether the concurrency limit of an endpoint adapts to its latency.
    pub adaptive_concurrency: bool,
    /// Multiple of the lowest latency above which the concurrency limit of an
    /// endpoint is lowered.
    pub latency_tolerance: f64,
    /// Consecutive failures after which an endpoint is ejected, so that it gets
    /// no calls for some time.
    pub eject_after: u32,
    /// Duration of the first ejection.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "eject_min_ms")]
    pub eject_min: Duration,
    /// Longest duration of an ejection.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "eject_max_ms")]
    pub eject_max: Duration,
    /// Multiple of the expected duration after which a running call is overdue.
    pub overdue_factor: f64,
    /// Interval at which the load of an endpoint is polled, and timeout of one
    /// poll; 0 turns polling off.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "load_interval_ms")]
    pub load_interval: Duration,
    /// Age of the data in a load report when the report arrives.
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
    /// Checks that every setting is within its range.
    ///
    /// # Errors
    ///
    /// Returns the first setting that is out of range.
    pub fn check(&self) -> Result<()> {
        check_range("interactive_share", self.interactive_share, 0.0, 0.9)?;
        check_range("smoothing", self.smoothing, 0.001, 1.0)?;
        check_range("load_slowdown", self.load_slowdown, 0.0, 10.0)?;
        check_range("half_life_ms", self.half_life, MIN_TIME, MAX_TIME)?;
        check_range("remote_us", self.remote, Duration::ZERO, MAX_DISTANCE)?;
        for distance in self.distances.values() {
            check_range("distances_us", *distance, Duration::ZERO, MAX_DISTANCE)?;
        }
        check_range("max_prefixes", self.max_prefixes, 1, MAX_PREFIXES)?;
        let move_per_token = self.move_per_token;
        check_range(
            "move_us_per_token",
            move_per_token,
            Duration::ZERO,
            MIN_TIME,
        )?;
        check_range("latency_tolerance", self.latency_tolerance, 1.1, 100.0)?;
        check_range("eject_after", self.eject_after, 1, 1_000)?;
        check_range("eject_min_ms", self.eject_min, MIN_TIME, self.eject_max)?;
        check_range("eject_max_ms", self.eject_max, self.eject_min, MAX_TIME)?;
        check_range("overdue_factor", self.overdue_factor, 1.0, 1_000.0)?;
        let load_interval = self.load_interval;
        check_range("load_interval_ms", load_interval, Duration::ZERO, MAX_TIME)?;
        check_range("load_lag_ms", self.load_lag, Duration::ZERO, MAX_TIME)
    }

    /// Returns the one-way latency from this host's data centre, `from`, to the
    /// data centre `to`; zero if they are the same.
    pub fn distance(&self, from: &DataCentre, to: &DataCentre) -> Duration {
        if from == to {
            return Duration::ZERO;
        }
        self.distances.get(to).copied().unwrap_or(self.remote)
    }
}

const MIN_TIME: Duration = Duration::from_millis(1);
const MAX_TIME: Duration = Duration::from_secs(3_600);
const MAX_DISTANCE: Duration = Duration::from_secs(10);
const MAX_PREFIXES: usize = 10_000_000;
