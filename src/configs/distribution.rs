//! Settings of the distribution of configuration from the platform to hosts.

use std::path::PathBuf;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use super::Result;
use super::check_range;

/// Shortest period or wait that can be set.
pub const MIN_PERIOD: Duration = Duration::from_millis(10);

/// Longest period or wait that can be set.
pub const MAX_PERIOD: Duration = Duration::from_secs(3600);

/// Settings of the distribution of configuration.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct DistributionConfig {
    /// Folder of the saved configuration; `None` on hosts without a disk.
    #[serde(skip)]
    pub data_dir: Option<PathBuf>,
    /// Period at which a host compares digests with another host.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "exchange_ms")]
    pub exchange: Duration,
    /// How long one watch request waits for a change at the platform.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "watch_wait_ms")]
    pub watch_wait: Duration,
    /// Period after which a host lists all objects at the platform if it had no
    /// contact to the platform or another data centre, even if it is not a
    /// watcher.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "poll_ms")]
    pub poll: Duration,
    /// Period at which a host that watches the platform lists all objects, in
    /// case its watch and all other hosts missed a change.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "relist_ms")]
    pub relist: Duration,
    /// Pause after a failed platform call, and between attempts to record a
    /// withdrawal.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "retry_ms")]
    pub retry: Duration,
    /// Shortest time between two writes of the saved configuration.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "save_ms")]
    pub save: Duration,
    /// How long a host accepts keys without contact to the platform or to
    /// another data centre; `None` for no limit.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "max_isolation_ms")]
    pub max_isolation: Option<Duration>,
}

impl Default for DistributionConfig {
    fn default() -> Self {
        Self {
            data_dir: None,
            exchange: Duration::from_secs(2),
            watch_wait: Duration::from_secs(30),
            poll: Duration::from_secs(60),
            relist: Duration::from_secs(3600),
            retry: Duration::from_secs(1),
            save: Duration::from_secs(5),
            max_isolation: None,
        }
    }
}

impl DistributionConfig {
    /// Checks that every setting is within its range.
    ///
    /// # Errors
    ///
    /// Returns the first setting that is out of range.
    pub fn check(&self) -> Result<()> {
        let isolation = self.max_isolation.unwrap_or(MAX_PERIOD);
        check_period("exchange_ms", self.exchange)?;
        check_period("watch_wait_ms", self.watch_wait)?;
        check_period("poll_ms", self.poll)?;
        check_period("relist_ms", self.relist)?;
        check_period("retry_ms", self.retry)?;
        check_period("save_ms", self.save)?;
        check_period("max_isolation_ms", isolation)
    }
}

fn check_period(field: &'static str, period: Duration) -> Result<()> {
    check_range(field, period, MIN_PERIOD, MAX_PERIOD)
}
