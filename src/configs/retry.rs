//! Settings of repeated attempts.

use serde::Deserialize;
use serde::Serialize;

use super::Result;
use super::within;

/// Settings of repeated attempts.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RetryConfig {
    /// Most attempts for one call, the first included.
    pub max_attempts: u32,
    /// Attempts after the first that each call adds to the budget.
    pub ratio: f64,
    /// Most attempts that the budget holds.
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
    /// Checks every bound.
    ///
    /// # Errors
    ///
    /// The first setting that is out of its range.
    pub fn check(&self) -> Result<()> {
        within("max_attempts", self.max_attempts, 1, 10)?;
        within("ratio", self.ratio, 0.0, 1.0)?;
        within("reserve", self.reserve, 0.0, 10_000.0)
    }
}
