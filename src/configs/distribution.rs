//! Settings of the spread of configuration between platform and hosts.

use std::path::PathBuf;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use super::Result;
use super::within;

/// Shortest period between two exchanges, polls or retries.
pub const MIN_PERIOD: Duration = Duration::from_millis(10);

/// Longest period or wait.
pub const MAX_PERIOD: Duration = Duration::from_secs(3600);

/// Settings of the spread of configuration.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct DistributionConfig {
    /// Folder for the saved configuration; none on hosts without a disk.
    #[serde(skip)]
    pub data_dir: Option<PathBuf>,
    /// Period at which a host compares digests with another host.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "exchange_ms")]
    pub exchange: Duration,
    /// Longest wait of one watch at the platform.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "watch_wait_ms")]
    pub watch_wait: Duration,
    /// Period at which a host that had no news since asks the platform itself,
    /// though it does not watch.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "poll_ms")]
    pub poll: Duration,
    /// Period at which a watching host lists all objects, in case its watch
    /// and the other hosts all missed a change.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "relist_ms")]
    pub relist: Duration,
    /// Pause after a failed platform call, and between recording attempts.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "retry_ms")]
    pub retry: Duration,
    /// Shortest time between two saves of the configuration.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "save_ms")]
    pub save: Duration,
    /// Longest time without news from the platform or another data centre
    /// during which keys are still accepted; no limit where absent.
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
    /// Checks every setting against its bounds.
    ///
    /// # Errors
    ///
    /// The first setting outside its bounds.
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
    within(field, period, MIN_PERIOD, MAX_PERIOD)
}
