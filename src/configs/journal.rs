//! Settings of the journals of partitions.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use super::Result;
use super::check_range;

/// Settings of one partition's journal.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct JournalConfig {
    /// Shortest time between the starts of two journal writes.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "min_commit_interval_ms")]
    pub min_commit_interval: Duration,
    /// Longest time between the starts of two journal writes while calls wait
    /// for a write.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "max_commit_interval_ms")]
    pub max_commit_interval: Duration,
    /// Limit of journal writes a second for one partition.
    pub writes_per_second: u32,
    /// Time after which changes that no call waits for are written.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "lazy_interval_ms")]
    pub lazy_interval: Duration,
    /// How long a call waits for its journal write.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "commit_wait_ms")]
    pub commit_wait: Duration,
    /// Delay after the first failed platform call; it doubles with each further
    /// failure.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "min_backoff_ms")]
    pub min_backoff: Duration,
    /// Longest delay after a failed platform call.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "max_backoff_ms")]
    pub max_backoff: Duration,
    /// How long a call waits for calls of its program with lower ordinals that
    /// have not arrived.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "gap_wait_ms")]
    pub gap_wait: Duration,
    /// Time without calls after which a program ends.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "idle_end_ms")]
    pub idle_end: Duration,
    /// How long the records of once-only calls are kept after their start.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "once_retention_ms")]
    pub once_retention: Duration,
    /// How long the records of ended programs are kept.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "ended_retention_ms")]
    pub ended_retention: Duration,
    /// How long the release of a partition waits for running once-only calls.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "release_wait_ms")]
    pub release_wait: Duration,
    /// Largest encoded answer stored in the journal itself, in bytes; a larger
    /// one is stored in an object of its own.
    pub inline_answer_bytes: usize,
    /// Largest encoded answer that is stored, in bytes.
    pub max_answer_bytes: usize,
    /// Size from which a journal accepts no new programs and once-only calls,
    /// in bytes.
    pub max_journal_bytes: usize,
    /// Size above which old outcomes are archived, in bytes; names of archives
    /// are not counted.
    pub archive_above_bytes: usize,
    /// Tokens of a budget that one journal write reserves.
    pub budget_slice: u64,
    /// Calls of one program that may wait for their turn.
    pub max_waiting_calls: usize,
    /// Largest depth of sub-agent programs below a root program.
    pub max_depth: usize,
}

impl Default for JournalConfig {
    fn default() -> Self {
        Self {
            min_commit_interval: Duration::from_millis(5),
            max_commit_interval: Duration::from_secs(1),
            writes_per_second: 10,
            lazy_interval: Duration::from_secs(5),
            commit_wait: Duration::from_secs(2),
            min_backoff: Duration::from_millis(50),
            max_backoff: Duration::from_secs(2),
            gap_wait: Duration::from_secs(2),
            idle_end: Duration::from_secs(30 * 60),
            once_retention: Duration::from_secs(24 * 60 * 60),
            ended_retention: Duration::from_secs(10 * 60),
            release_wait: Duration::from_secs(10),
            inline_answer_bytes: 4 * 1024,
            max_answer_bytes: 1000 * 1024,
            max_journal_bytes: 960 * 1024,
            archive_above_bytes: 256 * 1024,
            budget_slice: 20_000,
            max_waiting_calls: 64,
            max_depth: 8,
        }
    }
}

impl JournalConfig {
    /// Checks that every setting is within its range.
    ///
    /// # Errors
    ///
    /// Returns the first setting that is out of range.
    pub fn check(&self) -> Result<()> {
        self.check_times()?;
        self.check_sizes()
    }

    fn check_times(&self) -> Result<()> {
        let ms = Duration::from_millis;
        let day = Duration::from_secs(24 * 60 * 60);
        let min = ms(1);
        check_range(
            "min_commit_interval_ms",
            self.min_commit_interval,
            min,
            self.max_commit_interval,
        )?;
        check_range(
            "max_commit_interval_ms",
            self.max_commit_interval,
            min,
            ms(60_000),
        )?;
        check_range("lazy_interval_ms", self.lazy_interval, ms(10), ms(600_000))?;
        check_range("commit_wait_ms", self.commit_wait, ms(10), ms(60_000))?;
        check_range("min_backoff_ms", self.min_backoff, min, self.max_backoff)?;
        check_range("max_backoff_ms", self.max_backoff, min, ms(60_000))?;
        check_range("gap_wait_ms", self.gap_wait, min, ms(60_000))?;
        check_range("idle_end_ms", self.idle_end, ms(100), day)?;
        check_range("once_retention_ms", self.once_retention, ms(1000), day * 30)?;
        check_range("ended_retention_ms", self.ended_retention, ms(100), day)?;
        check_range("release_wait_ms", self.release_wait, min, day)
    }

    fn check_sizes(&self) -> Result<()> {
        check_range(
            "writes_per_second",
            self.writes_per_second,
            1,
            MAX_WRITES_PER_SECOND,
        )?;
        check_range(
            "inline_answer_bytes",
            self.inline_answer_bytes,
            64,
            64 * 1024,
        )?;
        check_range(
            "max_answer_bytes",
            self.max_answer_bytes,
            self.inline_answer_bytes,
            1000 * 1024,
        )?;
        check_range(
            "max_journal_bytes",
            self.max_journal_bytes,
            4 * 1024,
            1000 * 1024,
        )?;
        check_range(
            "archive_above_bytes",
            self.archive_above_bytes,
            1024,
            self.max_journal_bytes,
        )?;
        check_range("budget_slice", self.budget_slice, 1, u64::MAX)?;
        check_range("max_waiting_calls", self.max_waiting_calls, 1, 10_000)?;
        check_range("max_depth", self.max_depth, 1, 64)
    }
}

/// Largest share of the platform's writes that can be set for one journal.
const MAX_WRITES_PER_SECOND: u32 = 1000;
