//! How the time of a call at an endpoint grows with the load there.

/// Weight that is left of a sample after each newer one.
const SAMPLE_FADE: f64 = 0.99;
/// Samples that the assumed growth counts as.
const PRIOR_SAMPLES: f64 = 10.0;
/// How far these stand from the mean load, as a part of it.
const PRIOR_DISTANCE: f64 = 0.5;
/// Least part of a call's mean time that is taken to be its time without load.
const MIN_IDLE_SHARE: f64 = 0.2;

/// A line through the times of recent calls over the load at their endpoints.
///
/// Load is in requests for each slot, time in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct LoadCurve {
    /// Time of a call before any has ended.
    first_ms: f64,
    /// Growth with a load of one, as a part of the mean time, that is assumed
    /// until calls show another.
    assumed: f64,
    weight: f64,
    load: f64,
    time: f64,
    load_squared: f64,
    load_time: f64,
}

impl LoadCurve {
    /// A curve before any call has ended.
    pub fn new(first_ms: f64, assumed: f64) -> Self {
        Self {
            first_ms,
            assumed,
            weight: 0.0,
            load: 0.0,
            time: 0.0,
            load_squared: 0.0,
            load_time: 0.0,
        }
    }

    /// Takes up a call that began at a load and took a time.
    pub fn add(&mut self, load: f64, time_ms: f64) {
        for sum in [
            &mut self.weight,
            &mut self.load,
            &mut self.time,
            &mut self.load_squared,
            &mut self.load_time,
        ] {
            *sum *= SAMPLE_FADE;
        }
        self.weight += 1.0;
        self.load += load;
        self.time += time_ms;
        self.load_squared += load * load;
        self.load_time += load * time_ms;
    }

    /// Mean time of recent calls.
    pub fn mean_ms(&self) -> f64 {
        if self.weight > 0.0 {
            self.time / self.weight
        } else {
            self.first_ms
        }
    }

    /// Time that a load of one adds to a call; never less than assumed.
    pub fn growth_ms(&self) -> f64 {
        let assumed = self.assumed * self.mean_ms();
        if self.weight <= 0.0 {
            return assumed;
        }
        let mean = self.load / self.weight;
        let spread = self.load_squared - self.load * mean;
        let joint = self.load_time - self.time * mean;
        let prior = PRIOR_SAMPLES * (PRIOR_DISTANCE * mean).powi(2);
        if spread + prior <= 0.0 {
            return assumed;
        }
        let growth = (joint + prior * assumed) / (spread + prior);
        growth.max(assumed)
    }

    /// Time of a call without load.
    pub fn idle_ms(&self) -> f64 {
        let load = if self.weight > 0.0 {
            self.load / self.weight
        } else {
            0.0
        };
        let mean = self.mean_ms();
        (mean - self.growth_ms() * load).max(MIN_IDLE_SHARE * mean)
    }

    /// Time of a call at a load.
    pub fn time_ms(&self, load: f64) -> f64 {
        self.idle_ms() + self.growth_ms() * load
    }
}
