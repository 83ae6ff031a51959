//! Settings of the callers' port.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use super::Result;
use super::within;

/// Settings of the callers' port.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct CallerConfig {
    /// Largest header section, in bytes.
    pub max_header_bytes: usize,
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Longest time to receive a header section.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "header_timeout_ms")]
    pub header_timeout: Duration,
    /// Longest time to receive a request body.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "body_timeout_ms")]
    pub body_timeout: Duration,
    /// Longest wait for an owner while a partition has none.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "owner_wait_ms")]
    pub owner_wait: Duration,
    /// Time after which a caller is told to come back when a host or journal
    /// is unavailable.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "retry_after_ms")]
    pub retry_after: Duration,
    /// Fewest bytes of a request body that make one prompt token.
    pub bytes_per_token: u64,
    /// Completion tokens of a model call that names no limit.
    pub default_max_tokens: u64,
}

impl Default for CallerConfig {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(20),
            owner_wait: Duration::from_secs(10),
            retry_after: Duration::from_secs(1),
            bytes_per_token: 3,
            default_max_tokens: 1024,
        }
    }
}

impl CallerConfig {
    /// Checks every bound.
    ///
    /// # Errors
    ///
    /// The first setting that is out of its range.
    pub fn check(&self) -> Result<()> {
        within("max_header_bytes", self.max_header_bytes, 1024, 48 * 1024)?;
        within(
            "max_body_bytes",
            self.max_body_bytes,
            1024,
            64 * 1024 * 1024,
        )?;
        within(
            "header_timeout_ms",
            self.header_timeout,
            MIN_TIMEOUT,
            MAX_TIMEOUT,
        )?;
        within(
            "body_timeout_ms",
            self.body_timeout,
            MIN_TIMEOUT,
            MAX_TIMEOUT,
        )?;
        within("retry_after_ms", self.retry_after, MIN_TIMEOUT, MAX_TIMEOUT)?;
        within(
            "owner_wait_ms",
            self.owner_wait,
            Duration::ZERO,
            MAX_TIMEOUT,
        )?;
        within("bytes_per_token", self.bytes_per_token, 1, 16)?;
        within("default_max_tokens", self.default_max_tokens, 1, 1_000_000)
    }
}

/// Shortest timeout that can be set.
const MIN_TIMEOUT: Duration = Duration::from_millis(10);

/// Longest timeout that can be set.
const MAX_TIMEOUT: Duration = Duration::from_secs(600);
