//! Settings of calls between hosts.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use super::Result;
use super::check_range;

/// Settings of calls between hosts.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PeerConfig {
    /// Time until the answer to a control call begins, and longest pause in it.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "timeout_ms")]
    pub timeout: Duration,
    /// Time within which an answer that has begun must be complete.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "transfer_timeout_ms")]
    pub transfer_timeout: Duration,
    /// Largest control message, in bytes.
    pub max_message_bytes: usize,
}

impl Default for PeerConfig {
    fn default() -> Self {
        Self {
            timeout: Duration::from_millis(500),
            transfer_timeout: Duration::from_secs(10),
            max_message_bytes: 4 * 1024 * 1024,
        }
    }
}

impl PeerConfig {
    /// Checks that every setting is within its range.
    ///
    /// # Errors
    ///
    /// Returns the first setting that is out of range.
    pub fn check(&self) -> Result<()> {
        check_range("timeout_ms", self.timeout, MIN_TIMEOUT, MAX_TIMEOUT)?;
        check_range(
            "transfer_timeout_ms",
            self.transfer_timeout,
            MIN_TIMEOUT,
            MAX_TIMEOUT,
        )?;
        check_range(
            "max_message_bytes",
            self.max_message_bytes,
            MIN_MESSAGE_BYTES,
            MAX_MESSAGE_BYTES,
        )
    }
}

const MIN_TIMEOUT: Duration = Duration::from_millis(1);
const MAX_TIMEOUT: Duration = Duration::from_secs(60);
const MIN_MESSAGE_BYTES: usize = 64 * 1024;
const MAX_MESSAGE_BYTES: usize = 64 * 1024 * 1024;
