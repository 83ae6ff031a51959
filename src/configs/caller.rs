//! Settings of the port that serves callers.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use super::Result;
use super::check_range;

/// Settings of the port that serves callers.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct CallerConfig {
    /// Largest header section of a request, in bytes.
    pub max_header_bytes: usize,
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Timeout for receiving the header section of a request.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "header_timeout_ms")]
    pub header_timeout: Duration,
    /// Timeout for receiving a request body.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "body_timeout_ms")]
    pub body_timeout: Duration,
    /// How long a call waits for an owner while its partition has none.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "owner_wait_ms")]
    pub owner_wait: Duration,
    /// Retry delay sent to a caller when a host or a journal is unavailable.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "retry_after_ms")]
    pub retry_after: Duration,
    /// Fewest bytes of a request body per prompt token, from which the maximum
    /// cost of a call is computed.
    pub bytes_per_token: u64,
    /// Completion tokens assumed for a model call without a token limit.
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
    /// Checks that every setting is within its range.
    ///
    /// # Errors
    ///
    /// Returns the first setting that is out of range.
    pub fn check(&self) -> Result<()> {
        check_range("max_header_bytes", self.max_header_bytes, 1024, 48 * 1024)?;
        check_range(
            "max_body_bytes",
            self.max_body_bytes,
            1024,
            64 * 1024 * 1024,
        )?;
        check_range(
            "header_timeout_ms",
            self.header_timeout,
            MIN_TIMEOUT,
            MAX_TIMEOUT,
        )?;
        check_range(
            "body_timeout_ms",
            self.body_timeout,
            MIN_TIMEOUT,
            MAX_TIMEOUT,
        )?;
        check_range("retry_after_ms", self.retry_after, MIN_TIMEOUT, MAX_TIMEOUT)?;
        check_range(
            "owner_wait_ms",
            self.owner_wait,
            Duration::ZERO,
            MAX_TIMEOUT,
        )?;
        check_range("bytes_per_token", self.bytes_per_token, 1, 16)?;
        check_range("default_max_tokens", self.default_max_tokens, 1, 1_000_000)
    }
}

const MIN_TIMEOUT: Duration = Duration::from_millis(10);

const MAX_TIMEOUT: Duration = Duration::from_secs(600);
