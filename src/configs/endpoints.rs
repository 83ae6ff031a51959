//! Settings of the life of endpoints: leaving hosts and engine memory.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use super::Result;
use super::within;

/// Settings of the life of endpoints.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EndpointsConfig {
    /// Time between two reads of the platform's list of endpoint hosts.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "list_period_ms")]
    pub list_period: Duration,
    /// Time between two reviews of an engine's memory.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "review_period_ms")]
    pub review_period: Duration,
    /// Time that a cache of a program that is gone is kept by its steward,
    /// from its second sighting.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "release_grace_ms")]
    pub release_grace: Duration,
    /// Time without calls after which a live program's caches are released.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "idle_release_ms")]
    pub idle_release: Duration,
    /// Longest time for one request to an engine about its memory.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "engine_timeout_ms")]
    pub engine_timeout: Duration,
    /// Largest list of caches that an engine may send, in bytes.
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
    /// Checks every bound.
    ///
    /// # Errors
    ///
    /// The first setting that is out of its range.
    pub fn check(&self) -> Result<()> {
        let period = |field, value| within(field, value, MIN_PERIOD, MAX_PERIOD);
        period("list_period_ms", self.list_period)?;
        period("review_period_ms", self.review_period)?;
        within(
            "release_grace_ms",
            self.release_grace,
            Duration::ZERO,
            MAX_GRACE,
        )?;
        within(
            "idle_release_ms",
            self.idle_release,
            MIN_IDLE_RELEASE,
            MAX_IDLE_RELEASE,
        )?;
        within(
            "engine_timeout_ms",
            self.engine_timeout,
            MIN_PERIOD,
            MAX_PERIOD,
        )?;
        within(
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
