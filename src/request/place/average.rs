//! Exponentially weighted moving average with decay between samples.

use std::time::Duration;

use crate::units::Moment;

/// An exponentially weighted moving average.
///
/// The first samples have equal weights, so the average needs no initial value.
#[derive(Clone, Copy, Debug, Default)]
pub struct Average {
    value: f64,
    samples: u32,
    last_sample: Moment,
}

impl Average {
    /// Adds a sample with the weight `smoothing`, or 1/n for the n-th sample if
    /// that is larger.
    pub fn add(&mut self, now: Moment, sample: f64, smoothing: f64) {
        self.samples = self.samples.saturating_add(1);
        let weight = smoothing.max(1.0 / f64::from(self.samples));
        self.value += weight * (sample - self.value);
        self.last_sample = now;
    }

    /// The average, or `None` before the first sample.
    pub fn get(&self) -> Option<f64> {
        (self.samples > 0).then_some(self.value)
    }

    /// The average, decayed towards `mean` with the given half-life since the
    /// last sample; `mean` before the first sample.
    pub fn decayed_towards(&self, now: Moment, mean: f64, half_life: Duration) -> f64 {
        let Some(value) = self.get() else {
            return mean;
        };
        let half_lives = now.since(self.last_sample).as_secs_f64() / half_life.as_secs_f64();
        mean + (value - mean) * 0.5_f64.powf(half_lives)
    }
}
