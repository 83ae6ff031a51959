//! State of one endpoint in the pool of a service.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::demand::Demand;
use super::health::Health;
use super::health::HealthState;
use super::limit::ConcurrencyLimit;
use super::occupancy::Occupancy;
use super::pool::RunId;
use super::speed::SpeedEstimate;
use crate::configs::place::PlaceConfig;
use crate::ids::EndpointId;
use crate::ids::ProgramId;
use crate::units::Moment;
use crate::version::objects::Endpoint;
use crate::version::objects::EndpointState;

/// A call in flight at an endpoint.
#[derive(Clone, Debug)]
pub(super) struct Run {
    pub(super) started: Moment,
    pub(super) answer_started: Option<Moment>,
    pub(super) expected: Duration,
    pub(super) conversation: Option<ProgramId>,
    pub(super) prompt_bytes: usize,
}

impl Run {
    pub(super) fn new(now: Moment, demand: &Demand, expected: Duration) -> Self {
        Self {
            started: now,
            answer_started: None,
            expected,
            conversation: demand.conversation.clone(),
            prompt_bytes: demand.prompt_bytes,
        }
    }

    fn remaining(&self, now: Moment) -> Duration {
        self.expected.saturating_sub(now.since(self.started))
    }
}

/// State of one endpoint in the pool of a service.
#[derive(Clone, Debug)]
pub(super) struct Member {
    pub(super) id: EndpointId,
    pub(super) endpoint: Arc<Endpoint>,
    pub(super) occupancy: Arc<Occupancy>,
    /// False once the endpoint is draining or removed from the configuration.
    pub(super) serving: bool,
    pub(super) speed: SpeedEstimate,
    pub(super) limit: ConcurrencyLimit,
    pub(super) health: Health,
    pub(super) running: BTreeMap<RunId, Run>,
    pub(super) round_trip: Duration,
}

impl Member {
    pub(super) fn new(
        id: EndpointId,
        endpoint: Arc<Endpoint>,
        occupancy: Arc<Occupancy>,
        round_trip: Duration,
    ) -> Self {
        let serving = endpoint.state == EndpointState::Serving;
        Self {
            id,
            endpoint,
            occupancy,
            serving,
            speed: SpeedEstimate::default(),
            limit: ConcurrencyLimit::default(),
            health: Health::default(),
            running: BTreeMap::new(),
            round_trip,
        }
    }

    /// Applies a changed configuration.
    pub(super) fn update(&mut self, endpoint: &Arc<Endpoint>, round_trip: Duration) {
        self.serving = endpoint.state == EndpointState::Serving;
        self.endpoint = Arc::clone(endpoint);
        self.round_trip = round_trip;
    }

    /// Whether the endpoint gets no calls because of its failures.
    pub(super) fn is_ejected(&self, now: Moment) -> bool {
        matches!(self.health.state(now), HealthState::Ejected(_))
    }

    /// Number of slots reserved for interactive calls.
    pub(super) fn reserved_slots(&self, cfg: &PlaceConfig) -> u32 {
        if !self.occupancy.is_reserved() {
            return 0;
        }
        let limit = self.limit(cfg);
        let share = (f64::from(limit) * cfg.interactive_share).ceil() as u32;
        share.min(limit - 1)
    }

    /// Maximum number of concurrent calls.
    ///
    /// While slots are reserved the limit is at least 2, so that one slot
    /// remains for ordinary calls.
    pub(super) fn limit(&self, cfg: &PlaceConfig) -> u32 {
        let slots = self.endpoint.concurrency.max(1);
        let has_reserved = self.occupancy.is_reserved() && cfg.interactive_share > 0.0;
        let min_limit = if has_reserved { 2 } else { 1 };
        self.limit.get(slots).max(min_limit).min(slots)
    }

    /// Maximum number of calls of this host at the endpoint.
    ///
    /// Calls of other hosts occupy slots too, but each host may always use one
    /// slot, so that it never has to wait for the next load report. The maximum
    /// is 1 while the endpoint is ejected or probing.
    pub(super) fn max_local_calls(&self, now: Moment, interactive: bool, cfg: &PlaceConfig) -> u32 {
        if self.health.state(now) != HealthState::Healthy {
            return 1;
        }
        let reserved = if interactive {
            0
        } else {
            self.reserved_slots(cfg)
        };
        let free = self.limit(cfg) - reserved;
        free.saturating_sub(self.occupancy.remote_calls(now)).max(1)
    }

    /// Whether a slot is free for a call of this class.
    pub(super) fn has_room(&self, now: Moment, interactive: bool, cfg: &PlaceConfig) -> bool {
        self.occupancy.local_calls() < self.max_local_calls(now, interactive, cfg)
    }

    /// Calls of all hosts as a fraction of the concurrency limit.
    pub(super) fn utilisation(&self, now: Moment, cfg: &PlaceConfig) -> f64 {
        let calls = self.occupancy.local_calls() + self.occupancy.remote_calls(now);
        f64::from(calls) / f64::from(self.limit(cfg))
    }

    /// Expected time until the next call ends; 0 if none runs.
    pub(super) fn time_to_next_end(&self, now: Moment) -> Duration {
        let remaining = self.running.values().map(|run| run.remaining(now));
        remaining.min().unwrap_or_default()
    }

    /// Time by which the most overdue call exceeds its expected duration times
    /// `overdue_factor`; 0 if no call is overdue.
    pub(super) fn max_overdue(&self, now: Moment, cfg: &PlaceConfig) -> Duration {
        let overdue = |run: &Run| {
            let allowed = run.expected.mul_f64(cfg.overdue_factor);
            now.since(run.started).saturating_sub(allowed)
        };
        let overdue = self.running.values().map(overdue);
        overdue.max().unwrap_or_default()
    }
}
