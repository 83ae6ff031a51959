//! Drain rate of a queue.

use std::time::Duration;

use crate::units::Moment;

/// Weight of the latest interval in the average.
const SMOOTHING: f64 = 0.05;
/// Number of intervals before the average is used.
const MIN_SAMPLES: u32 = 20;

/// Average interval between starts while calls wait.
#[derive(Clone, Copy, Debug, Default)]
pub struct DrainRate {
    interval_start: Option<Moment>,
    interval: f64,
    samples: u32,
}

impl DrainRate {
    /// Records that a waiting call started; `others_wait` is set if further
    /// calls wait.
    pub fn record_start(&mut self, now: Moment, others_wait: bool) {
        if let Some(start) = self.interval_start {
            self.add_sample(now.since(start).as_secs_f64());
        }
        self.interval_start = others_wait.then_some(now);
    }

    /// Records that a call waits from now on.
    pub fn mark_backlogged(&mut self, now: Moment) {
        self.interval_start.get_or_insert(now);
    }

    /// Records that the queue is empty.
    pub fn mark_empty(&mut self) {
        self.interval_start = None;
    }

    /// Average interval between starts; `None` until there are enough samples.
    ///
    /// Returns the time since the last start if that is longer, so that a
    /// stalled queue is detected.
    pub fn interval(&self, now: Moment) -> Option<Duration> {
        if self.samples < MIN_SAMPLES {
            return None;
        }
        let since = self
            .interval_start
            .map(|start| now.since(start))
            .unwrap_or_default();
        Some(Duration::from_secs_f64(self.interval).max(since))
    }

    fn add_sample(&mut self, interval: f64) {
        let weight = SMOOTHING.max(1.0 / f64::from(self.samples + 1));
        self.interval += weight * (interval - self.interval);
        self.samples = self.samples.saturating_add(1);
    }
}
