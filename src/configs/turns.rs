//! Settings of kept turns.

use std::time::Duration;

use super::Result;
use super::check_range;
use super::require;
use crate::turns::record::MAX_FRAME_BYTES;

/// Settings of kept turns at a host that serves callers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TurnsConfig {
    /// Maximum size of a chain with the new input, in bytes.
    pub max_chain_bytes: usize,
    /// Maximum size of a turn's output, in bytes.
    pub max_output_bytes: usize,
    /// Time after which the other archive hosts of the data centre are asked for a
    /// turn beside the first.
    pub near_timeout: Duration,
    /// Time after that at which all archive hosts are asked. It covers a round
    /// trip between data centres.
    pub far_timeout: Duration,
    /// Time after which a search ends with what is known.
    pub lookup_timeout: Duration,
    /// Time after which an archive host that has not stored a record is replaced.
    pub holder_timeout: Duration,
    /// Time after which a turn that is not stored is given up.
    pub store_timeout: Duration,
    /// Time without answers after which an archive host does not count as usable
    /// for new turns. A host that stands still for a moment is not given up.
    pub unusable_after: Duration,
    /// Pause between probes of an archive host that does not answer.
    pub probe_period: Duration,
    /// Minimum time between two reads of the list of archive hosts that prove the
    /// absence of a turn. With 690 hosts it keeps them under half of the store's
    /// 6,000 reads a second.
    pub list_interval: Duration,
}

impl Default for TurnsConfig {
    fn default() -> Self {
        Self {
            max_chain_bytes: 4 << 20,
            max_output_bytes: 1 << 20,
            near_timeout: Duration::from_millis(40),
            far_timeout: Duration::from_millis(120),
            lookup_timeout: Duration::from_millis(1000),
            holder_timeout: Duration::from_millis(150),
            store_timeout: Duration::from_millis(1500),
            unusable_after: Duration::from_millis(500),
            probe_period: Duration::from_millis(250),
            list_interval: Duration::from_millis(250),
        }
    }
}

/// Room of a frame for what a record says beside the text, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

impl TurnsConfig {
    /// Checks that every setting is within its range.
    ///
    /// # Errors
    ///
    /// Returns the first setting that is out of range.
    pub fn check(&self) -> Result<()> {
        let ms = Duration::from_millis;
        let largest = self.max_chain_bytes.saturating_add(self.max_output_bytes);
        require(
            "turns.max_chain_bytes",
            self.max_chain_bytes > 0 && largest <= MAX_FRAME_BYTES - MAX_HEAD_BYTES,
            || "more than 0, and with max_output_bytes fit a frame of 8 MiB",
        )?;
        require(
            "turns.max_output_bytes",
            self.max_output_bytes > 0,
            || "more than 0",
        )?;
        check_range("turns.near_timeout", self.near_timeout, ms(1), ms(1000))?;
        check_range("turns.far_timeout", self.far_timeout, ms(1), ms(1000))?;
        let before = self.near_timeout + self.far_timeout;
        require(
            "turns.lookup_timeout",
            self.lookup_timeout > before && self.lookup_timeout <= ms(10_000),
            || "longer than near_timeout and far_timeout together, at most 10s",
        )?;
        check_range("turns.holder_timeout", self.holder_timeout, ms(1), ms(5000))?;
        require(
            "turns.store_timeout",
            self.store_timeout > self.holder_timeout && self.store_timeout <= ms(10_000),
            || "longer than holder_timeout, at most 10s",
        )?;
        check_range(
            "turns.unusable_after",
            self.unusable_after,
            ms(1),
            ms(60_000),
        )?;
        check_range("turns.probe_period", self.probe_period, ms(10), ms(60_000))?;
        check_range("turns.list_interval", self.list_interval, ms(0), ms(5000))
    }
}
