//! Settings of the operators' queries and commands.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use super::Result;
use super::within;

/// Shortest wait that can be set.
pub const MIN_WAIT: Duration = Duration::from_millis(10);

/// Longest wait that can be set.
pub const MAX_WAIT: Duration = Duration::from_secs(600);

/// Most rows that one host may be set to send.
pub const MAX_ROWS: usize = 100_000;

/// Settings of the operators' queries and commands.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct OperatorConfig {
    /// Longest time to collect a query's rows from other hosts.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "answer_ms")]
    pub answer: Duration,
    /// Time that `wait` without a number of seconds waits at most.
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
    /// Checks every setting against its bounds.
    ///
    /// # Errors
    ///
    /// The first setting outside its bounds.
    pub fn check(&self) -> Result<()> {
        within("answer_ms", self.answer, MIN_WAIT, MAX_WAIT)?;
        within("wait_ms", self.wait, MIN_WAIT, MAX_WAIT)?;
        within("max_rows", self.max_rows, 1, MAX_ROWS)
    }
}
