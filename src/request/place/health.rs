//! Passive health checks: ejects an endpoint after consecutive failed calls.

use std::time::Duration;

use super::average::Average;
use crate::configs::place::PlaceConfig;
use crate::units::Moment;

/// Weight of the latest call in the failure rate.
const SMOOTHING: f64 = 0.1;
/// Half-life of the failure rate while an endpoint gets no calls.
const HALF_LIFE: Duration = Duration::from_secs(10);
/// Maximum number of doublings of the ejection time.
const MAX_DOUBLINGS: u32 = 16;

/// Health state of an endpoint, which limits the calls that it gets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HealthState {
    /// Gets calls up to its concurrency limit.
    Healthy,
    /// Gets one call at a time to test whether it has recovered.
    Probing,
    /// Gets no calls until this time.
    Ejected(Moment),
}

/// Failure history and health state of one endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    consecutive_failures: u32,
    ejections: u32,
    ejected_at: Moment,
    ejected_until: Option<Moment>,
    failure_rate: Average,
}

impl Health {
    /// Health state at `now`; an ejection that has expired becomes a probe.
    pub fn state(&self, now: Moment) -> HealthState {
        match self.ejected_until {
            None => HealthState::Healthy,
            Some(until) if now >= until => HealthState::Probing,
            Some(until) => HealthState::Ejected(until),
        }
    }

    /// Expected fraction of calls that fail, from 0 to 1.
    pub fn failure_rate(&self, now: Moment) -> f64 {
        self.failure_rate.decayed_towards(now, 0.0, HALF_LIFE)
    }

    /// Records an answered call and ends an ejection.
    ///
    /// Returns whether the endpoint was ejected or probing before.
    pub fn record_success(&mut self, now: Moment) -> bool {
        self.failure_rate.add(now, 0.0, SMOOTHING);
        self.consecutive_failures = 0;
        self.ejections = 0;
        self.ejected_until.take().is_some()
    }

    /// Records the failure of a call that started at `started`.
    ///
    /// Returns whether this failure ejects the endpoint. Calls that started
    /// before an ejection do not extend it.
    pub fn record_failure(&mut self, now: Moment, started: Moment, cfg: &PlaceConfig) -> bool {
        self.failure_rate.add(now, 1.0, SMOOTHING);
        if self.ejected_until.is_some() && started < self.ejected_at {
            return false;
        }
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        let probe_failed = self.ejected_until.is_some();
        if !probe_failed && self.consecutive_failures < cfg.eject_after {
            return false;
        }
        let doublings = self.ejections.min(MAX_DOUBLINGS);
        let span = cfg.eject_min.saturating_mul(1 << doublings);
        self.ejected_until = Some(now + span.min(cfg.eject_max));
        self.ejected_at = now;
        self.ejections = self.ejections.saturating_add(1);
        true
    }
}
