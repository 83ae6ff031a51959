//! Endpoints that get no new work.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use parking_lot::Mutex;

use crate::connection::platform::HostStatus;
use crate::ids::EndpointId;
use crate::process::placing::Candidates;
use crate::units::Moment;
use crate::version::catalogue::ConfiguredEndpoint;
use crate::version::objects::Endpoint;
use crate::version::objects::EndpointState;

/// Machines of endpoints as last listed; true once one is leaving.
type Listed = BTreeMap<String, bool>;

/// Endpoints that get no new work; clones share the knowledge.
///
/// Three sources are joined and the strictest wins: the operators' state in
/// the configuration, the platform's list of endpoint hosts, and refused
/// connections. The first two are final until they are taken back. A refused
/// connection passes an endpoint over for a while, unless nothing else is left.
#[derive(Clone, Debug)]
pub struct Leaving {
    listed: Arc<ArcSwap<Listed>>,
    unreachable: Arc<Mutex<HashMap<EndpointId, Moment>>>,
    hold: Duration,
}

impl Leaving {
    /// No endpoint is leaving; a refused connection counts for `hold`.
    pub fn new(hold: Duration) -> Self {
        Self {
            listed: Arc::default(),
            unreachable: Arc::default(),
            hold,
        }
    }

    /// True if an endpoint must get no new work.
    pub fn is_leaving(&self, _id: &EndpointId, endpoint: &Endpoint) -> bool {
        let is_listed = |host: &String| self.listed.load().get(host).copied().unwrap_or_default();
        endpoint.state == EndpointState::Leaving || endpoint.host.as_ref().is_some_and(is_listed)
    }

    /// True while a refused connection counts against an endpoint.
    pub fn is_unreachable(&self, id: &EndpointId, now: Moment) -> bool {
        let unreachable = self.unreachable.lock();
        unreachable
            .get(id)
            .is_some_and(|since| now.since(*since) < self.hold)
    }

    /// Notes that an endpoint refused a connection.
    pub fn refused(&self, id: &EndpointId, now: Moment) {
        self.unreachable.lock().insert(id.clone(), now);
    }

    /// Notes that an endpoint accepted a connection.
    pub fn connected(&self, id: &EndpointId) {
        self.unreachable.lock().remove(id);
    }

    /// The endpoints that new work may go to.
    pub fn usable(&self, endpoints: Candidates, now: Moment) -> Candidates {
        let staying = filter(endpoints, |e| !self.is_leaving(&e.id, &e.endpoint));
        let reachable = filter(Candidates::clone(&staying), |e| {
            !self.is_unreachable(&e.id, now)
        });
        if reachable.is_empty() {
            staying
        } else {
            reachable
        }
    }

    /// Takes a list of endpoint hosts.
    ///
    /// Hosts that are not on it keep their state, so that one that has left
    /// and is no longer listed gets no work either.
    pub fn apply(&self, list: Vec<HostStatus>) {
        let mut listed = Listed::clone(&self.listed.load());
        for HostStatus { host, leaving } in list {
            let before = listed.insert(host.clone(), leaving).unwrap_or_default();
            if before != leaving {
                log::info!("endpoint host leaving={leaving} host={host}");
            }
        }
        self.listed.store(Arc::new(listed));
    }

    /// Every host that was ever listed, with its last state.
    pub fn list(&self) -> Vec<HostStatus> {
        let listed = self.listed.load();
        let status = |(host, leaving): (&String, &bool)| HostStatus {
            host: host.clone(),
            leaving: *leaving,
        };
        listed.iter().map(status).collect()
    }
}

/// Keeps the endpoints that fit; copies nothing if all do.
fn filter(endpoints: Candidates, fits: impl Fn(&ConfiguredEndpoint) -> bool) -> Candidates {
    if endpoints.iter().all(&fits) {
        return endpoints;
    }
    let fitting = endpoints.iter().filter(|e| fits(e));
    fitting.cloned().collect()
}
