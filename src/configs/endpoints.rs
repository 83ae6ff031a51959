//! Settings of the endpoint life cycle: draining hosts and engine memory.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use super::Result;
use super::check_range;

/// Settings of the endpoint life cycle.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EndpointsConfig {
    /// Time between two reads of the platform's list of endpoint hosts.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "list_period_ms")]
    pub list_period: Duration,
    /// Time between two checks of an engine's cache entries.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "review_period_ms")]
    pub review_period: Duration,
    /// How long the reviewer of an engine keeps a cache entry after its owner has
    /// reported it as unused in two consecutive reviews.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "release_grace_ms")]
    pub release_grace: Duration,
    /// Time without calls after which the cache entries of an open program are
    /// released.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "idle_release_ms")]
    pub idle_release: Duration,
    /// Timeout of one request to an engine about its cache entries.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "engine_timeout_ms")]
    pub engine_timeout: Duration,
    /// Largest list of cache entries accepted from an engine, in bytes.
    pub max_list_bytes: usize,
}

impl Default for EndpointsConfig {
    fn default() -> Self {
        Self {
            list_period: Duration::from_secs(1),
            review_period: Duration::from_secs(5),
            release_grace: Duration::from_secs(10),
            idle_release: Duration::from_secs(10 * 60),
            engine_timeout: Duration::from_secs(2),
            max_list_bytes: 16 * 1024 * 1024,
        }
    }
}

impl EndpointsConfig {
    /// Checks that every setting is within its range.
    ///
    /// # Errors
    ///
    /// Returns the first setting that is out of range.
    pub fn check(&self) -> Result<()> {
        let period = |field, value| check_range(field, value, MIN_PERIOD, MAX_PERIOD);
        period("list_period_ms", self.list_period)?;
        period("review_period_ms", self.review_period)?;
        check_range(
            "release_grace_ms",
            self.release_grace,
            Duration::ZERO,
            MAX_GRACE,
        )?;
        check_range(
            "idle_release_ms",
            self.idle_release,
            MIN_IDLE_RELEASE,
            MAX_IDLE_RELEASE,
        )?;
        check_range(
            "engine_timeout_ms",
            self.engine_timeout,
            MIN_PERIOD,
            MAX_PERIOD,
        )?;
        check_range(
            "max_list_bytes",
            self.max_list_bytes,
            MIN_LIST_BYTES,
            MAX_LIST_BYTES,
        )
    }
}

const MIN_PERIOD: Duration = Duration::from_millis(10);
const MAX_PERIOD: Duration = Duration::from_secs(60);
const MAX_GRACE: Duration = Duration::from_secs(60 * 60);
const MIN_IDLE_RELEASE: Duration = Duration::from_millis(10);
const MAX_IDLE_RELEASE: Duration = Duration::from_secs(24 * 60 * 60);
const MIN_LIST_BYTES: usize = 64 * 1024;
const MAX_LIST_BYTES: usize = 256 * 1024 * 1024;
