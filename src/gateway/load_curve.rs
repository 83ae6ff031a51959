//! Estimates how the duration of a call grows with the load of its endpoint.

/// Factor by which each new sample reduces the weight of older ones.
const SAMPLE_DECAY: f64 = 0.99;
/// Weight of the assumed growth, in samples.
const PRIOR_SAMPLES: f64 = 10.0;
/// Distance of the prior samples from the mean load, as a fraction of the mean
/// load.
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
    initial_ms: f64,
    /// Growth at a load of one that is assumed without samples, as a fraction
    /// of the mean time.
    assumed_growth: f64,
    weight_sum: f64,
    load_sum: f64,
    time_sum: f64,
    load_squared_sum: f64,
    load_time_sum: f64,
}

impl LoadCurve {
    /// Creates a curve without samples. `assumed_growth` is the growth at a
    /// load of one, as a fraction of the mean time.
    pub fn new(initial_ms: f64, assumed_growth: f64) -> Self {
        Self {
            initial_ms,
            assumed_growth,
            weight_sum: 0.0,
            load_sum: 0.0,
            time_sum: 0.0,
            load_squared_sum: 0.0,
            load_time_sum: 0.0,
        }
    }

    /// Adds a call that took `time_ms` at an endpoint with this load.
    pub fn add(&mut self, load: f64, time_ms: f64) {
        for sum in [
            &mut self.weight_sum,
            &mut self.load_sum,
            &mut self.time_sum,
            &mut self.load_squared_sum,
            &mut self.load_time_sum,
        ] {
            *sum *= SAMPLE_DECAY;
        }
        self.weight_sum += 1.0;
        self.load_sum += load;
        self.time_sum += time_ms;
        self.load_squared_sum += load * load;
        self.load_time_sum += load * time_ms;
    }

    /// Mean time of recent calls, at any load.
    pub fn mean_ms(&self) -> f64 {
        if self.weight_sum > 0.0 {
            self.time_sum / self.weight_sum
        } else {
            self.initial_ms
        }
    }

    /// Time that a load of one adds to a call; never less than the assumed
    /// growth.
    pub fn growth_ms(&self) -> f64 {
        let assumed = self.assumed_growth * self.mean_ms();
        if self.weight_sum <= 0.0 {
            return assumed;
        }
        let mean_load = self.load_sum / self.weight_sum;
        let load_variance = self.load_squared_sum - self.load_sum * mean_load;
        let covariance = self.load_time_sum - self.time_sum * mean_load;
        let prior = PRIOR_SAMPLES * (PRIOR_DISTANCE * mean_load).powi(2);
        if load_variance + prior <= 0.0 {
            return assumed;
        }
        let growth = (covariance + prior * assumed) / (load_variance + prior);
        growth.max(assumed)
    }

    /// Estimated time of a call without load.
    pub fn idle_ms(&self) -> f64 {
        let mean_load = if self.weight_sum > 0.0 {
            self.load_sum / self.weight_sum
        } else {
            0.0
        };
        let mean = self.mean_ms();
        (mean - self.growth_ms() * mean_load).max(MIN_IDLE_SHARE * mean)
    }

    /// Estimated time of a call at a load.
    pub fn time_ms(&self, load: f64) -> f64 {
        self.idle_ms() + self.growth_ms() * load
    }
}
