//! Settings of the journal part.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use super::Result;
use super::within;

/// Settings of one partition's journal.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct JournalConfig {
    /// Shortest time between the starts of two journal writes.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "min_commit_interval_ms")]
    pub min_commit_interval: Duration,
    /// Longest time between the starts of two journal writes with calls waiting.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "max_commit_interval_ms")]
    pub max_commit_interval: Duration,
    /// Journal writes a second that one partition may use.
    pub writes_per_second: u32,
    /// Time after which changes that no call waits for are written.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "lazy_interval_ms")]
    pub lazy_interval: Duration,
    /// Longest wait of a call for its journal write.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "commit_wait_ms")]
    pub commit_wait: Duration,
    /// First delay after a failed platform call; doubles with every failure.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "min_backoff_ms")]
    pub min_backoff: Duration,
    /// Longest delay after a failed platform call.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "max_backoff_ms")]
    pub max_backoff: Duration,
    /// Longest wait of a call for missing earlier ordinals of its program.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "gap_wait_ms")]
    pub gap_wait: Duration,
    /// Time without calls after which a program ends.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "idle_end_ms")]
    pub idle_end: Duration,
    /// Time that once-only calls are kept after their start.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "once_retention_ms")]
    pub once_retention: Duration,
    /// Time that ended programs are kept.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "ended_retention_ms")]
    pub ended_retention: Duration,
    /// Longest wait of a release for running once-only calls.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "release_wait_ms")]
    pub release_wait: Duration,
    /// Largest encoded answer kept inside the journal; larger ones get an object.
    pub inline_answer_bytes: usize,
    /// Largest encoded answer kept at all.
    pub max_answer_bytes: usize,
    /// Size from which a journal takes no new programs and once-only calls.
    pub max_journal_bytes: usize,
    /// Size, without the names of archives, above which old outcomes are archived.
    pub archive_above_bytes: usize,
    /// Tokens of a budget reserved by one write.
    pub budget_slice: u64,
    /// Calls of one program that may wait for their turn.
    pub max_waiting_calls: usize,
    /// Longest chain of sub-agent programs below a root.
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
    /// Checks that every setting lies in its range.
    ///
    /// # Errors
    ///
    /// The first setting that does not.
    pub fn check(&self) -> Result<()> {
        self.check_times()?;
        self.check_sizes()
    }

    fn check_times(&self) -> Result<()> {
        let ms = Duration::from_millis;
        let day = Duration::from_secs(24 * 60 * 60);
        let least = ms(1);
        within(
            "min_commit_interval_ms",
            self.min_commit_interval,
            least,
            self.max_commit_interval,
        )?;
        within(
            "max_commit_interval_ms",
            self.max_commit_interval,
            least,
            ms(60_000),
        )?;
        within("lazy_interval_ms", self.lazy_interval, ms(10), ms(600_000))?;
        within("commit_wait_ms", self.commit_wait, ms(10), ms(60_000))?;
        within("min_backoff_ms", self.min_backoff, least, self.max_backoff)?;
        within("max_backoff_ms", self.max_backoff, least, ms(60_000))?;
        within("gap_wait_ms", self.gap_wait, least, ms(60_000))?;
        within("idle_end_ms", self.idle_end, ms(100), day)?;
        within("once_retention_ms", self.once_retention, ms(1000), day * 30)?;
        within("ended_retention_ms", self.ended_retention, ms(100), day)?;
        within("release_wait_ms", self.release_wait, least, day)
    }

    fn check_sizes(&self) -> Result<()> {
        within(
            "writes_per_second",
            self.writes_per_second,
            1,
            MAX_WRITES_PER_SECOND,
        )?;
        within(
            "inline_answer_bytes",
            self.inline_answer_bytes,
            64,
            64 * 1024,
        )?;
        within(
            "max_answer_bytes",
            self.max_answer_bytes,
            self.inline_answer_bytes,
            1000 * 1024,
        )?;
        within(
            "max_journal_bytes",
            self.max_journal_bytes,
            4 * 1024,
            1000 * 1024,
        )?;
        within(
            "archive_above_bytes",
            self.archive_above_bytes,
            1024,
            self.max_journal_bytes,
        )?;
        within("budget_slice", self.budget_slice, 1, u64::MAX)?;
        within("max_waiting_calls", self.max_waiting_calls, 1, 10_000)?;
        within("max_depth", self.max_depth, 1, 64)
    }
}

/// Largest share of the platform's writes that one journal may be given.
const MAX_WRITES_PER_SECOND: u32 = 1000;
