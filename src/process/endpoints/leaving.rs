//! Endpoints that get no new work.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;

use arc_swap::ArcSwap;
use parking_lot::Mutex;

use crate::connection::platform::HostStatus;
use crate::ids::ServiceId;
use crate::process::placing::Candidates;
use crate::version::catalogue::ConfiguredEndpoint;
use crate::version::objects::Endpoint;
use crate::version::objects::EndpointState;

/// Hosts of endpoints as last listed; true once one is leaving.
type Listed = BTreeMap<String, bool>;

/// The endpoints of a service with their state under one list.
#[derive(Debug)]
struct Marked {
    configured: Candidates,
    listed: Arc<Listed>,
    marked: Candidates,
}

#[derive(Debug, Default)]
struct Shared {
    listed: ArcSwap<Listed>,
    marked: Mutex<HashMap<ServiceId, Marked>>,
}

/// Endpoints that get no new work; clones share the knowledge.
///
/// The operators' state in the configuration and the platform's list of
/// endpoint hosts are joined, and the stricter wins. Failed connections count
/// beside them in placing, which passes such endpoints over for a while.
#[derive(Clone, Debug, Default)]
pub struct Leaving {
    shared: Arc<Shared>,
}

impl Leaving {
    /// True if an endpoint must get no new work.
    pub fn is_leaving(&self, endpoint: &Endpoint) -> bool {
        is_leaving(&self.shared.listed.load(), endpoint)
    }

    /// The endpoints of a service, in the state [`EndpointState::Leaving`] if
    /// they must get no new work.
    ///
    /// Gives the same allocation until the endpoints or the list change, so
    /// that placing sees whether there is anything new.
    pub fn mark(&self, service: &ServiceId, configured: Candidates) -> Candidates {
        let listed = self.shared.listed.load_full();
        if !configured.iter().any(|e| changes(&listed, &e.endpoint)) {
            return configured;
        }
        let mut known = self.shared.marked.lock();
        if let Some(known) = known.get(service)
            && Arc::ptr_eq(&known.configured, &configured)
            && Arc::ptr_eq(&known.listed, &listed)
        {
            return Candidates::clone(&known.marked);
        }
        let marked: Candidates = configured.iter().map(|e| mark(&listed, e)).collect();
        let fresh = Marked {
            configured,
            listed,
            marked: Candidates::clone(&marked),
        };
        known.insert(service.clone(), fresh);
        marked
    }

    /// Takes a list of endpoint hosts; true if it changed any state.
    ///
    /// Hosts that are not on it keep their state, so that one that has left
    /// and is no longer listed gets no work either.
    pub fn apply(&self, list: Vec<HostStatus>) -> bool {
        let mut listed = Listed::clone(&self.shared.listed.load());
        let mut is_change = false;
        for HostStatus { host, leaving } in list {
            let before = listed.insert(host.clone(), leaving).unwrap_or_default();
            if before != leaving {
                is_change = true;
                log::info!("endpoint host leaving={leaving} host={host}");
            }
        }
        if listed != **self.shared.listed.load() {
            self.shared.listed.store(Arc::new(listed));
        }
        is_change
    }

    /// Every host that was ever listed, with its last state.
    pub fn list(&self) -> Vec<HostStatus> {
        let listed = self.shared.listed.load();
        let status = |(host, leaving): (&String, &bool)| HostStatus {
            host: host.clone(),
            leaving: *leaving,
        };
        listed.iter().map(status).collect()
    }
}

fn is_leaving(listed: &Listed, endpoint: &Endpoint) -> bool {
    let is_listed = |host: &String| listed.get(host).copied().unwrap_or_default();
    endpoint.state == EndpointState::Leaving || endpoint.host.as_ref().is_some_and(is_listed)
}

/// True if the list is stricter than the configuration.
fn changes(listed: &Listed, endpoint: &Endpoint) -> bool {
    endpoint.state != EndpointState::Leaving && is_leaving(listed, endpoint)
}

fn mark(listed: &Listed, configured: &ConfiguredEndpoint) -> ConfiguredEndpoint {
    let ConfiguredEndpoint { id, endpoint } = configured;
    if !changes(listed, endpoint) {
        return configured.clone();
    }
    let mut leaving = Endpoint::clone(endpoint);
    leaving.state = EndpointState::Leaving;
    ConfiguredEndpoint {
        id: id.clone(),
        endpoint: Arc::new(leaving),
    }
}
