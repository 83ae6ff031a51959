//! Moving averages.

use std::time::Duration;

use crate::units::Moment;

/// An exponentially weighted moving average.
///
/// Its first samples count equally, so that it does not start from a guess.
#[derive(Clone, Copy, Debug, Default)]
pub struct Average {
    value: f64,
    samples: u32,
    last: Moment,
}

impl Average {
    /// Adds a sample with at least the weight `smoothing`.
    pub fn add(&mut self, now: Moment, sample: f64, smoothing: f64) {
        self.samples = self.samples.saturating_add(1);
        let weight = smoothing.max(1.0 / f64::from(self.samples));
        self.value += weight * (sample - self.value);
        self.last = now;
    }

    /// The average, if there is a sample.
    pub fn get(&self) -> Option<f64> {
        (self.samples > 0).then_some(self.value)
    }

    /// The average, moved towards `mean` by half in each `half_life` since the
    /// last sample; `mean` if there is none.
    pub fn towards(&self, now: Moment, mean: f64, half_life: Duration) -> f64 {
        let Some(value) = self.get() else {
            return mean;
        };
        let lives = now.since(self.last).as_secs_f64() / half_life.as_secs_f64();
        mean + (value - mean) * 0.5_f64.powf(lives)
    }
}
