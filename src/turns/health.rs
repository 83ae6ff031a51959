//! Which archive hosts answer, as far as this host knows.

use std::collections::HashMap;
use std::time::Duration;

use crate::ids::HostId;
use crate::units::Moment;

/// Time for which a host that refused a record with 503 gets none unless no other
/// is left. Its disk is full until records expire, which takes tens of seconds.
const FULL_TIME: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, Debug, Default)]
struct Condition {
    /// First request without an answer since the last answer.
    failing_since: Option<Moment>,
    full_until: Option<Moment>,
    /// Whether it is probed until it answers.
    is_probed: bool,
}

/// Hosts that did not answer or refused records of late.
#[derive(Debug, Default)]
pub struct Health(HashMap<HostId, Condition>);

impl Health {
    /// Records that a host answered.
    pub fn record_answer(&mut self, host: &HostId) {
        if let Some(condition) = self.0.get_mut(host) {
            condition.failing_since = None;
            if condition.full_until.is_none() && !condition.is_probed {
                self.0.remove(host);
            }
        }
    }

    /// Records that a host did not answer. Returns whether a probe must begin.
    pub fn record_failure(&mut self, host: &HostId, now: Moment) -> bool {
        let condition = self.0.entry(host.clone()).or_default();
        condition.failing_since.get_or_insert(now);
        !std::mem::replace(&mut condition.is_probed, true)
    }

    /// Whether the probe of a host must go on; otherwise it ends.
    pub fn continue_probe(&mut self, host: &HostId) -> bool {
        let Some(condition) = self.0.get_mut(host) else {
            return false;
        };
        condition.is_probed = condition.failing_since.is_some();
        condition.is_probed
    }

    /// Records that a host refused a record since it has no room.
    pub fn record_full(&mut self, host: &HostId, now: Moment) {
        let condition = self.0.entry(host.clone()).or_default();
        condition.failing_since = None;
        condition.full_until = Some(now + FULL_TIME);
    }

    /// Forgets a host, which is no longer listed or has restarted.
    pub fn forget(&mut self, host: &HostId) {
        self.0.remove(host);
    }

    /// Whether a host has not answered since a request without an answer.
    pub fn is_failing(&self, host: &HostId) -> bool {
        let condition = self.0.get(host);
        condition.is_some_and(|condition| condition.failing_since.is_some())
    }

    /// Whether a host has answered its last request and has room.
    pub fn is_sound(&self, host: &HostId, now: Moment) -> bool {
        self.is_usable(host, Duration::ZERO, now)
    }

    /// Whether a host has room and answered a request less than `grace` before the
    /// first one without an answer.
    pub fn is_usable(&self, host: &HostId, grace: Duration, now: Moment) -> bool {
        let Some(condition) = self.0.get(host) else {
            return true;
        };
        let is_full = condition.full_until.is_some_and(|until| now < until);
        let is_failing = condition
            .failing_since
            .is_some_and(|since| now.since(since) >= grace);
        !is_full && !is_failing
    }
}
