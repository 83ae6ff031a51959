//! Settings of the connection to the platform.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use super::Result;
use super::check_range;

/// Settings of the connection to the platform.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformConfig {
    /// Address of the object API.
    pub address: SocketAddr,
    /// Timeout of one request, including its whole response.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "timeout_ms")]
    pub timeout: Duration,
    /// Timeout of a write, including the reads that determine its outcome.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "settle_timeout_ms")]
    pub settle_timeout: Duration,
    /// Pause before a write or the read of its outcome is first repeated; it
    /// doubles with each repetition up to `timeout_ms`.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "retry_interval_ms")]
    pub retry_interval: Duration,
    /// How long one watch request waits for a change.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "watch_wait_ms")]
    pub watch_wait: Duration,
    /// Largest response to a list or watch request, in bytes.
    pub max_list_bytes: usize,
}

impl Default for PlatformConfig {
    fn default() -> Self {
        Self {
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 7400)),
            timeout: Duration::from_secs(1),
            settle_timeout: Duration::from_secs(5),
            retry_interval: Duration::from_millis(50),
            watch_wait: Duration::from_secs(20),
            max_list_bytes: 32 * 1024 * 1024,
        }
    }
}

const MIN_TIME: Duration = Duration::from_millis(1);
const MAX_TIME: Duration = Duration::from_secs(600);
/// Smallest and largest value of `max_list_bytes`.
const LIST_BYTES_RANGE: (usize, usize) = (64 * 1024, 1024 * 1024 * 1024);

impl PlatformConfig {
    /// Checks that every setting is within its range.
    ///
    /// # Errors
    ///
    /// Returns the first setting that is out of range.
    pub fn check(&self) -> Result<()> {
        check_range("timeout_ms", self.timeout, MIN_TIME, MAX_TIME)?;
        check_range(
            "settle_timeout_ms",
            self.settle_timeout,
            self.timeout,
            MAX_TIME,
        )?;
        check_range("retry_interval_ms", self.retry_interval, MIN_TIME, MAX_TIME)?;
        check_range("watch_wait_ms", self.watch_wait, MIN_TIME, MAX_TIME)?;
        let (min, max) = LIST_BYTES_RANGE;
        check_range("max_list_bytes", self.max_list_bytes, min, max)
    }
}
