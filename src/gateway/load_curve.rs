//! Estimates how the duration of a call grows with the load of its endpoint.

/// Factor by which each new sample reduces the weight of older ones.
const SAMPLE_FADE: f64 = 0.99;
/// Weight of the assumed growth, in samples.
const PRIOR_SAMPLES: f64 = 10.0;
/// Distance of these prior samples from the mean load, as a fraction of it.
const PRIOR_DISTANCE: f64 = 0.5;
/// Lower bound of a call's time without load, as a fraction of its mean time.
const MIN_IDLE_SHARE: f64 = 0.2;

/// Linear regression of the duration of recent calls on the load of their
/// endpoints.
///
/// Load is in requests per slot, time in milliseconds. Recent samples have the
/// most weight.
#[derive(Clone, Copy, Debug)]
pub struct LoadCurve {
    /// Mean time that is assumed before the first sample.
    first_ms: f64,
    /// Growth at a load of one that is assumed without samples, as a fraction
    /// of the mean time.
    assumed: f64,
    weight: f64,
    load: f64,
    time: f64,
    load_squared: f64,
    load_time: f64,
}

impl LoadCurve {
    /// Creates a curve without samples. `assumed` is the growth at a load of
    /// one, as a fraction of the mean time.
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

    /// Adds a call that took `time_ms` at an endpoint with this load.
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

    /// Mean time of recent calls, at any load.
    pub fn mean_ms(&self) -> f64 {
        if self.weight > 0.0 {
            self.time / self.weight
        } else {
            self.first_ms
        }
    }

    /// Time that a load of one adds to a call; never less than the assumed
    /// growth.
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

    /// Estimated time of a call without load.
    pub fn idle_ms(&self) -> f64 {
        let load = if self.weight > 0.0 {
            self.load / self.weight
        } else {
            0.0
        };
        let mean = self.mean_ms();
        (mean - self.growth_ms() * load).max(MIN_IDLE_SHARE * mean)
    }

    /// Estimated time of a call at a load.
    pub fn time_ms(&self, load: f64) -> f64 {
        self.idle_ms() + self.growth_ms() * load
    }
}
