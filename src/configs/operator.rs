//! Settings of queries and commands of operators.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use super::Result;
use super::check_range;

/// Shortest wait that can be set.
pub const MIN_WAIT: Duration = Duration::from_millis(10);

/// Longest wait that can be set.
pub const MAX_WAIT: Duration = Duration::from_secs(600);

/// Largest `max_rows` that can be set.
pub const MAX_ROWS: usize = 100_000;

/// Settings of queries and commands of operators.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct OperatorConfig {
    /// Timeout for collecting the rows of a query from other hosts.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "answer_ms")]
    pub answer: Duration,
    /// Timeout of the command `wait` if it gives no number of seconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "wait_ms")]
    pub wait: Duration,
    /// Most rows that one host sends for a query.
    pub max_rows: usize,
}

impl Default for OperatorConfig {
    fn default() -> Self {
        Self {
            answer: Duration::from_secs(2),
            wait: Duration::from_secs(10),
            max_rows: 2_000,
        }
    }
}

impl OperatorConfig {
    /// Checks that every setting is within its range.
    ///
    /// # Errors
    ///
    /// Returns the first setting that is out of range.
    pub fn check(&self) -> Result<()> {
        check_range("answer_ms", self.answer, MIN_WAIT, MAX_WAIT)?;
        check_range("wait_ms", self.wait, MIN_WAIT, MAX_WAIT)?;
        check_range("max_rows", self.max_rows, 1, MAX_ROWS)
    }
}
