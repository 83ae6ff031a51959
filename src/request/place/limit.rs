//! Adaptive concurrency limit of an endpoint.

use super::average::Average;
use crate::configs::place::PlaceConfig;
use crate::units::Moment;

/// Factor by which the baseline latency grows with each sample, so that it
/// adapts to an endpoint that has become permanently slower.
const BASELINE_GROWTH: f64 = 1.002;
/// Weight of the latest sample in the recent latency.
const SMOOTHING: f64 = 0.2;
/// Decrease of the limit, in calls, with each slow call. As many slow calls as
/// the limit allows at a time lower the limit by about this fraction.
const DECREASE_PER_CALL: f64 = 0.3;
/// Minimum fraction of the limit in use for the limit to grow.
const MIN_USED_FRACTION: f64 = 0.7;

/// Concurrency limit with additive increase and multiplicative decrease.
///
/// The limit falls while the recent latency exceeds the baseline times
/// `latency_tolerance`. Otherwise it grows by about one with each full round of
/// calls, provided that enough of the limit is in use.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConcurrencyLimit {
    current: Option<f64>,
    baseline: Option<f64>,
    recent: Average,
}

impl ConcurrencyLimit {
    /// Maximum number of concurrent calls, from 1 to `slots`.
    pub fn get(&self, slots: u32) -> u32 {
        let current = self.current.unwrap_or(f64::from(slots));
        current.min(f64::from(slots)).max(1.0) as u32
    }

    /// Records the latency of a call that ended while `in_flight` calls ran,
    /// itself included.
    pub fn record_latency(
        &mut self,
        now: Moment,
        latency: f64,
        in_flight: u32,
        slots: u32,
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
        let max = f64::from(slots);
        let current = self.current.unwrap_or(max).min(max);
        let next = if recent > baseline * cfg.latency_tolerance {
            current - DECREASE_PER_CALL
        } else if f64::from(in_flight) >= current.floor() * MIN_USED_FRACTION {
            current + 1.0 / current
        } else {
            current
        };
        self.current = Some(next.clamp(1.0, max));
    }
}
