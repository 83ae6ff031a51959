//! Number of calls that an endpoint runs well at once.

use super::average::Average;
use crate::configs::place::PlaceConfig;
use crate::units::Moment;

/// Growth of the least latency with each sample, so that it follows an
/// endpoint that became slower for good.
const BASELINE_GROWTH: f64 = 1.002;
/// Weight of the newest sample in the recent latency.
const SMOOTHING: f64 = 0.2;
/// Fraction of the limit given up in the time of one full round of calls.
const DECREASE: f64 = 0.3;
/// Fraction of the limit that must be in use for it to grow.
const USED_FRACTION: f64 = 0.7;

/// Additive increase and multiplicative decrease by latency.
#[derive(Clone, Copy, Debug, Default)]
pub struct Limit {
    current: Option<f64>,
    baseline: Option<f64>,
    recent: Average,
}

impl Limit {
    /// Calls that may run at once, at most `places`.
    pub fn get(&self, places: u32) -> u32 {
        let current = self.current.unwrap_or(f64::from(places));
        current.min(f64::from(places)).max(1.0) as u32
    }

    /// Records the latency of a call that ended beside `in_flight` others.
    pub fn sample(
        &mut self,
        now: Moment,
        latency: f64,
        in_flight: u32,
        places: u32,
        cfg: &PlaceConfig,
    ) {
        if !cfg.adaptive_concurrency {
            return;
        }
        self.recent.add(now, latency, SMOOTHING);
        let recent = self.recent.get().unwrap_or(latency);
        let baseline = self.baseline.unwrap_or(latency) * BASELINE_GROWTH;
        let baseline = baseline.min(recent);
        self.baseline = Some(baseline);
        let most = f64::from(places);
        let current = self.current.unwrap_or(most).min(most);
        let next = if recent > baseline * cfg.latency_tolerance {
            current - DECREASE
        } else if f64::from(in_flight) >= current.floor() * USED_FRACTION {
            current + 1.0 / current
        } else {
            current
        };
        self.current = Some(next.clamp(1.0, most));
    }
}
