//! Settings of the queue of calls that wait for an endpoint.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use super::Result;
use super::check_range;

/// Settings of the queue of calls that wait for an endpoint.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct QueueConfig {
    /// Most calls that may wait for one service.
    pub max_waiting: usize,
    /// Seconds of attained service that one second of waiting offsets for a
    /// program.
    pub ageing: f64,
    /// Upper bound of the attained service that lowers the priority of a
    /// program.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "max_attained_ms")]
    pub max_attained: Duration,
    /// Time without calls after which the attained service of a program is
    /// discarded.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "program_idle_ms")]
    pub program_idle: Duration,
    /// Number of waiting calls that are tried for one free slot.
    pub look_ahead: usize,
}

impl Default for QueueConfig {
    fn default() -> Self {
        Self {
            max_waiting: 4096,
            ageing: 0.1,
            max_attained: Duration::from_secs(60),
            program_idle: Duration::from_secs(600),
            look_ahead: 16,
        }
    }
}

impl QueueConfig {
    /// Checks that every setting is within its range.
    ///
    /// # Errors
    ///
    /// Returns the first setting that is out of range.
    pub fn check(&self) -> Result<()> {
        check_range("max_waiting", self.max_waiting, 1, MAX_WAITING)?;
        check_range("ageing", self.ageing, MIN_AGEING, MAX_AGEING)?;
        let max = Duration::from_secs(24 * 60 * 60);
        check_range("max_attained_ms", self.max_attained, Duration::ZERO, max)?;
        let min = Duration::from_secs(1);
        check_range("program_idle_ms", self.program_idle, min, max)?;
        check_range("look_ahead", self.look_ahead, 1, MAX_LOOK_AHEAD)
    }
}

const MAX_WAITING: usize = 1_000_000;
const MIN_AGEING: f64 = 0.001;
const MAX_AGEING: f64 = 1_000.0;
const MAX_LOOK_AHEAD: usize = 1_024;
