//! Determines which endpoints are draining.

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

/// Endpoint hosts; true if the platform last listed the host as leaving.
type HostStates = BTreeMap<String, bool>;

/// Cached result of marking the endpoints of a service.
#[derive(Debug)]
struct MarkedEndpoints {
    configured: Candidates,
    host_states: Arc<HostStates>,
    marked: Candidates,
}

#[derive(Debug, Default)]
struct Shared {
    host_states: ArcSwap<HostStates>,
    marked: Mutex<HashMap<ServiceId, MarkedEndpoints>>,
}

/// Determines which endpoints are draining; clones share the state.
///
/// An endpoint is draining if either its configured state or the platform's
/// list of endpoint hosts says so. Connection failures are handled separately
/// by placing, which ejects such endpoints for a while.
#[derive(Clone, Debug, Default)]
pub struct DrainingEndpoints {
    shared: Arc<Shared>,
}

impl DrainingEndpoints {
    /// Whether an endpoint is draining and must get no new calls.
    pub fn is_draining(&self, endpoint: &Endpoint) -> bool {
        is_draining(&self.shared.host_states.load(), endpoint)
    }

    /// Returns the endpoints of a service, with the draining ones in state
    /// [`EndpointState::Draining`].
    ///
    /// Returns the same allocation until the endpoints or the host list change,
    /// so that placing can detect changes by comparing pointers.
    pub fn mark_draining(&self, service: &ServiceId, configured: Candidates) -> Candidates {
        let host_states = self.shared.host_states.load_full();
        if !configured
            .iter()
            .any(|e| is_drained_by_host(&host_states, &e.endpoint))
        {
            return configured;
        }
        let mut cache = self.shared.marked.lock();
        if let Some(cached) = cache.get(service)
            && Arc::ptr_eq(&cached.configured, &configured)
            && Arc::ptr_eq(&cached.host_states, &host_states)
        {
            return Candidates::clone(&cached.marked);
        }
        let marked: Candidates = configured
            .iter()
            .map(|e| mark_endpoint(&host_states, e))
            .collect();
        let entry = MarkedEndpoints {
            configured,
            host_states,
            marked: Candidates::clone(&marked),
        };
        cache.insert(service.clone(), entry);
        marked
    }

    /// Applies a list of endpoint hosts; returns whether any state changed.
    ///
    /// Hosts missing from the list keep their state, so that a host that has
    /// left and is no longer listed gets no calls either.
    pub fn apply(&self, list: Vec<HostStatus>) -> bool {
        let mut host_states = HostStates::clone(&self.shared.host_states.load());
        let mut has_changed = false;
        for HostStatus { host, leaving } in list {
            let before = host_states
                .insert(host.clone(), leaving)
                .unwrap_or_default();
            if before != leaving {
                has_changed = true;
                log::info!("endpoint host state changed leaving={leaving} host={host}");
            }
        }
        if host_states != **self.shared.host_states.load() {
            self.shared.host_states.store(Arc::new(host_states));
        }
        has_changed
    }

    /// Returns every host that was ever listed, with its latest state.
    pub fn list(&self) -> Vec<HostStatus> {
        let host_states = self.shared.host_states.load();
        let status = |(host, leaving): (&String, &bool)| HostStatus {
            host: host.clone(),
            leaving: *leaving,
        };
        host_states.iter().map(status).collect()
    }
}

fn is_draining(host_states: &HostStates, endpoint: &Endpoint) -> bool {
    let is_leaving = |host: &String| host_states.get(host).copied().unwrap_or_default();
    endpoint.state == EndpointState::Draining || endpoint.host.as_ref().is_some_and(is_leaving)
}

/// Whether the endpoint drains only because its host is leaving, not by its
/// configured state.
fn is_drained_by_host(host_states: &HostStates, endpoint: &Endpoint) -> bool {
    endpoint.state != EndpointState::Draining && is_draining(host_states, endpoint)
}

fn mark_endpoint(host_states: &HostStates, configured: &ConfiguredEndpoint) -> ConfiguredEndpoint {
    let ConfiguredEndpoint { id, endpoint } = configured;
    if !is_drained_by_host(host_states, endpoint) {
        return configured.clone();
    }
    let mut draining = Endpoint::clone(endpoint);
    draining.state = EndpointState::Draining;
    ConfiguredEndpoint {
        id: id.clone(),
        endpoint: Arc::new(draining),
    }
}
