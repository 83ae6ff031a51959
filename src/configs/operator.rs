//! Settings of the operators' queries and commands.

use std::path::PathBuf;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

/// Shortest wait that can be set.
pub const MIN_WAIT: Duration = Duration::from_millis(10);

/// Longest wait that can be set.
pub const MAX_WAIT: Duration = Duration::from_secs(600);

/// Most rows that one host may be set to send.
pub const MAX_ROWS: usize = 100_000;

/// A setting outside its bounds.
#[derive(Clone, Debug, Eq, thiserror::Error, PartialEq)]
#[error("operator.{field} must be from {range}")]
pub struct OperatorConfigError {
    /// Name of the setting.
    pub field: &'static str,
    /// Range allowed.
    pub range: &'static str,
}

/// Result of checking the settings.
pub type Result<T> = std::result::Result<T, OperatorConfigError>;

/// Settings of the operators' queries and commands.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct OperatorConfig {
    /// File with the operators' names and the hashes of their secrets.
    pub secrets_file: Option<PathBuf>,
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
            secrets_file: None,
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
        check_wait("answer_ms", self.answer)?;
        check_wait("wait_ms", self.wait)?;
        if (1..=MAX_ROWS).contains(&self.max_rows) {
            return Ok(());
        }
        Err(OperatorConfigError {
            field: "max_rows",
            range: "1 to 100000",
        })
    }
}

fn check_wait(field: &'static str, wait: Duration) -> Result<()> {
    if (MIN_WAIT..=MAX_WAIT).contains(&wait) {
        return Ok(());
    }
    Err(OperatorConfigError {
        field,
        range: "10 to 600000 ms",
    })
}
