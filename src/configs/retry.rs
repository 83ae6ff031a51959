//! Settings of retries of calls.

use serde::Deserialize;
use serde::Serialize;

use super::Result;
use super::check_range;

/// Settings of retries of calls.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RetryConfig {
    /// Most attempts for one call, the first included.
    pub max_attempts: u32,
    /// Retries that each call adds to the retry budget.
    pub ratio: f64,
    /// Most retries that the retry budget holds.
    pub reserve: f64,
}

impl Default for RetryConfig {
    fn default() -> Self {
        Self {
            max_attempts: 3,
            ratio: 0.1,
            reserve: 20.0,
        }
    }
}

impl RetryConfig {
    /// Checks that every setting is within its range.
    ///
    /// # Errors
    ///
    /// Returns the first setting that is out of range.
    pub fn check(&self) -> Result<()> {
        check_range("max_attempts", self.max_attempts, 1, 10)?;
        check_range("ratio", self.ratio, 0.0, 1.0)?;
        check_range("reserve", self.reserve, 0.0, 10_000.0)
    }
}
