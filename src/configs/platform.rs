//! Settings of the connection to the platform.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use super::Result;
use super::within;

/// Settings of the connection to the platform.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformConfig {
    /// Where the object API listens.
    pub address: SocketAddr,
    /// Longest time for one request and its whole answer.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "timeout_ms")]
    pub timeout: Duration,
    /// Longest time for a write with all that is needed to learn its outcome.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "settle_timeout_ms")]
    pub settle_timeout: Duration,
    /// First pause before a read back or a write is sent again; it doubles each
    /// time up to `timeout_ms`.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "retry_interval_ms")]
    pub retry_interval: Duration,
    /// Longest time that one watch waits for a change.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "watch_wait_ms")]
    pub watch_wait: Duration,
    /// Largest answer to a list or a watch, in bytes.
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

/// Shortest time that can be set.
const MIN_TIME: Duration = Duration::from_millis(1);
/// Longest time that can be set.
const MAX_TIME: Duration = Duration::from_secs(600);
/// Bounds of the largest answer, in bytes.
const LIST_BYTES: (usize, usize) = (64 * 1024, 1024 * 1024 * 1024);

impl PlatformConfig {
    /// Checks every bound.
    ///
    /// # Errors
    ///
    /// The first setting that is out of its range.
    pub fn check(&self) -> Result<()> {
        within("timeout_ms", self.timeout, MIN_TIME, MAX_TIME)?;
        within(
            "settle_timeout_ms",
            self.settle_timeout,
            self.timeout,
            MAX_TIME,
        )?;
        within("retry_interval_ms", self.retry_interval, MIN_TIME, MAX_TIME)?;
        within("watch_wait_ms", self.watch_wait, MIN_TIME, MAX_TIME)?;
        let (least, most) = LIST_BYTES;
        within("max_list_bytes", self.max_list_bytes, least, most)
    }
}
