//! Failures of an endpoint, found from the calls themselves.

use std::time::Duration;

use super::average::Average;
use crate::configs::place::PlaceConfig;
use crate::units::Moment;

/// Weight of the newest call in the failure rate.
const SMOOTHING: f64 = 0.1;
/// Time without calls in which a failure rate falls by half.
const HALF_LIFE: Duration = Duration::from_secs(10);
/// Most doublings of the time without calls.
const MAX_DOUBLINGS: u32 = 16;

/// Whether an endpoint may be given a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Standing {
    /// As many as it has places.
    Healthy,
    /// One call, to find out whether it answers again.
    Probing,
    /// None until this moment.
    Ejected(Moment),
}

/// Failures of one endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    consecutive: u32,
    ejections: u32,
    ejected_at: Moment,
    until: Option<Moment>,
    failure_rate: Average,
}

impl Health {
    /// Whether the endpoint may be given a call.
    pub fn standing(&self, now: Moment) -> Standing {
        match self.until {
            None => Standing::Healthy,
            Some(until) if now >= until => Standing::Probing,
            Some(until) => Standing::Ejected(until),
        }
    }

    /// Expected fraction of failed calls.
    pub fn failure_rate(&self, now: Moment) -> f64 {
        self.failure_rate.towards(now, 0.0, HALF_LIFE)
    }

    /// Records an answer; true if the endpoint was ejected until now.
    pub fn answered(&mut self, now: Moment) -> bool {
        self.failure_rate.add(now, 0.0, SMOOTHING);
        self.consecutive = 0;
        self.ejections = 0;
        self.until.take().is_some()
    }

    /// Records the failure of a call that started at `started`; true if the
    /// endpoint is ejected for it.
    ///
    /// Calls from before an ejection do not prolong it.
    pub fn failed(&mut self, now: Moment, started: Moment, cfg: &PlaceConfig) -> bool {
        self.failure_rate.add(now, 1.0, SMOOTHING);
        if self.until.is_some() && started < self.ejected_at {
            return false;
        }
        self.consecutive = self.consecutive.saturating_add(1);
        let probe_failed = self.until.is_some();
        if !probe_failed && self.consecutive < cfg.eject_after {
            return false;
        }
        let doublings = self.ejections.min(MAX_DOUBLINGS);
        let span = cfg.eject_min.saturating_mul(1 << doublings);
        self.until = Some(now + span.min(cfg.eject_max));
        self.ejected_at = now;
        self.ejections = self.ejections.saturating_add(1);
        true
    }
}
