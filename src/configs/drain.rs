//! Settings of a graceful shutdown.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use super::Result;
use super::check_range;

/// Settings of a graceful shutdown.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct DrainConfig {
    /// Time between failing the readiness check and closing the callers' port.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "notice_ms")]
    pub notice: Duration,
    /// Timeout from the signal to the exit of the process.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "limit_ms")]
    pub limit: Duration,
}

impl Default for DrainConfig {
    fn default() -> Self {
        Self {
            notice: Duration::from_secs(5),
            limit: Duration::from_secs(300),
        }
    }
}

const MAX_NOTICE: Duration = Duration::from_secs(300);
const MAX_LIMIT: Duration = Duration::from_secs(24 * 3600);

impl DrainConfig {
    /// Checks that every setting is within its range.
    ///
    /// # Errors
    ///
    /// Returns the first setting that is out of range.
    pub fn check(&self) -> Result<()> {
        check_range("notice_ms", self.notice, Duration::ZERO, MAX_NOTICE)?;
        check_range("limit_ms", self.limit, self.notice, MAX_LIMIT)
    }
}
