//! Pacing of a journal's platform calls.

use std::time::Duration;

use crate::configs::journal::JournalConfig;
use crate::units::Moment;

/// Divisor of the newest latency in the moving average.
const LATENCY_WEIGHT: u32 = 4;

/// Consecutive failures after which the platform counts as unavailable.
const OUTAGE_FAILURES: u32 = 3;

/// Writes that a partition can accumulate while it writes less than its share.
const BURST_WRITES: u32 = 10;

/// Decides when the next journal write or read may start.
#[derive(Debug)]
pub(super) struct Pacer {
    min_interval: Duration,
    max_interval: Duration,
    time_per_write: Duration,
    credit: Duration,
    min_backoff: Duration,
    max_backoff: Duration,
    latency: Duration,
    last_start: Option<Moment>,
    failures: u32,
    failed_at: Moment,
}

impl Pacer {
    pub(super) fn new(cfg: &JournalConfig) -> Self {
        let time_per_write = Duration::from_secs(1) / cfg.writes_per_second;
        Self {
            min_interval: cfg.min_commit_interval,
            max_interval: cfg.max_commit_interval,
            time_per_write,
            credit: time_per_write * BURST_WRITES,
            min_backoff: cfg.min_backoff,
            max_backoff: cfg.max_backoff,
            latency: Duration::ZERO,
            last_start: None,
            failures: 0,
            failed_at: Moment::default(),
        }
    }

    /// Current minimum interval between the starts of two writes: the average
    /// write latency within the configured limits.
    pub(super) fn interval(&self) -> Duration {
        self.latency.clamp(self.min_interval, self.max_interval)
    }

    /// Earliest start of the next write.
    pub(super) fn next_write(&self) -> Moment {
        let paced = self
            .last_start
            .map(|at| {
                at + self
                    .interval()
                    .max(self.time_per_write.saturating_sub(self.credit))
            })
            .unwrap_or_default();
        paced.max(self.next_try())
    }

    /// Earliest next platform call; backs off after failures.
    pub(super) fn next_try(&self) -> Moment {
        if self.failures == 0 {
            return Moment::default();
        }
        self.failed_at + self.backoff()
    }

    /// Delay after the latest failure; doubles with each consecutive one.
    pub(super) fn backoff(&self) -> Duration {
        let doublings = self.failures.saturating_sub(1).min(16);
        self.min_backoff
            .saturating_mul(1 << doublings)
            .min(self.max_backoff)
    }

    /// Whether a platform call has failed and none has succeeded since.
    pub(super) fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Whether the platform counts as unavailable.
    pub(super) fn is_platform_out(&self) -> bool {
        self.failures >= OUTAGE_FAILURES
    }

    /// Records the start of a write: the time since the last one is added to the
    /// credit, and each write takes `time_per_write` from it.
    pub(super) fn record_start(&mut self, now: Moment) {
        let elapsed = self.last_start.map_or(Duration::ZERO, |at| now.since(at));
        let credit = self.credit.saturating_add(elapsed);
        let credit = credit.saturating_sub(self.time_per_write);
        self.credit = credit.min(self.time_per_write * BURST_WRITES);
        self.last_start = Some(now);
    }

    /// Records the success and the latency of a write.
    pub(super) fn record_success(&mut self, now: Moment) {
        self.failures = 0;
        let Some(started) = self.last_start else {
            return;
        };
        let rest = self.latency * (LATENCY_WEIGHT - 1);
        self.latency = (rest + now.since(started)) / LATENCY_WEIGHT;
    }

    pub(super) fn reset_failures(&mut self) {
        self.failures = 0;
    }

    pub(super) fn record_failure(&mut self, now: Moment) {
        self.failures = self.failures.saturating_add(1);
        self.failed_at = now;
    }
}
