//! Choice of the hosts through which a host that is cut off from a service
//! sends its calls.

use std::collections::HashMap;

use crate::ids::HostId;
use crate::units::Moment;

/// Added to the cost of a host outside the endpoint's data centre, in calls.
const REMOTE_COST: f64 = 2.0;
/// Costs that differ by less than this count as equal, in calls.
const TIE: f64 = 0.5;

/// What a host knows of the other hosts' ability to help it.
#[derive(Clone, Debug, Default)]
pub struct Helpers {
    /// Hosts that are not asked before a time, by service; an empty name
    /// stands for all services.
    avoided: HashMap<(HostId, Box<str>), Moment>,
    /// This host's open calls through each host.
    open: HashMap<HostId, u32>,
}

impl Helpers {
    /// Asks a host for no call of a service before a time.
    pub fn avoid(&mut self, host: &HostId, service: &str, until: Moment, now: Moment) {
        self.avoided.retain(|_, until| now < *until);
        let key = (host.clone(), service.into());
        let known = self.avoided.entry(key).or_insert(until);
        *known = until.max(*known);
    }

    /// Asks a host for calls of all services again.
    pub fn allow(&mut self, host: &HostId) {
        self.avoided.retain(|(avoided, _), _| avoided != host);
    }

    /// Asks a host for no call of any service before a time.
    pub fn avoid_host(&mut self, host: &HostId, until: Moment, now: Moment) {
        self.avoid(host, "", until, now);
    }

    /// Returns the cost of sending a call through a host; `None` if the host
    /// is not to be asked. `is_near` tells whether the host and the endpoint
    /// are in one data centre, `tie` is random in `0..1`.
    pub fn cost(
        &self,
        host: &HostId,
        service: &str,
        is_near: bool,
        tie: f64,
        now: Moment,
    ) -> Option<f64> {
        let is_avoided = |service: &str| {
            let until = self.avoided.get(&(host.clone(), service.into()));
            until.is_some_and(|until| now < *until)
        };
        if !self.avoided.is_empty() && (is_avoided(service) || is_avoided("")) {
            return None;
        }
        let open = self.open.get(host).copied().unwrap_or_default();
        let distance = if is_near { 0.0 } else { REMOTE_COST };
        Some(f64::from(open) + distance + tie * TIE)
    }

    /// Counts a call that begins to go through a host.
    pub fn begin(&mut self, host: &HostId) {
        *self.open.entry(host.clone()).or_default() += 1;
    }

    /// Removes a call from the count.
    pub fn end(&mut self, host: &HostId) {
        let Some(open) = self.open.get_mut(host) else {
            return;
        };
        *open -= 1;
        if *open == 0 {
            self.open.remove(host);
        }
    }
}
