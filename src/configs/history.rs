//! Settings of held conversations, whose history the owner stores.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use super::Result;
use super::check_range;

/// Settings of held conversations, whose history the owner stores.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct HistoryConfig {
    /// Largest encoded turn, in bytes.
    pub max_turn_bytes: usize,
    /// Turns of one program that may wait to be written to the platform.
    pub max_pending_turns: usize,
    /// Bytes of turns of all programs that may wait to be written to the
    /// platform.
    pub max_pending_bytes: usize,
    /// Bytes of conversations cached in memory.
    pub max_cached_bytes: usize,
    /// Time between two attempts to write waiting turns.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "flush_interval_ms")]
    pub flush_interval: Duration,
}

impl Default for HistoryConfig {
    fn default() -> Self {
        Self {
            max_turn_bytes: 900 * 1024,
            max_pending_turns: 8,
            max_pending_bytes: 8 * 1024 * 1024,
            max_cached_bytes: 16 * 1024 * 1024,
            flush_interval: Duration::from_secs(1),
        }
    }
}

impl HistoryConfig {
    /// Checks that every setting is within its range.
    ///
    /// # Errors
    ///
    /// Returns the first setting that is out of range.
    pub fn check(&self) -> Result<()> {
        let max_bytes = usize::MAX;
        check_range("max_turn_bytes", self.max_turn_bytes, 1024, 1000 * 1024)?;
        check_range("max_pending_turns", self.max_pending_turns, 1, 1000)?;
        check_range(
            "max_pending_bytes",
            self.max_pending_bytes,
            self.max_turn_bytes,
            max_bytes,
        )?;
        check_range(
            "max_cached_bytes",
            self.max_cached_bytes,
            self.max_turn_bytes,
            max_bytes,
        )?;
        let min = Duration::from_millis(10);
        let max = Duration::from_secs(60);
        check_range("flush_interval_ms", self.flush_interval, min, max)
    }
}
