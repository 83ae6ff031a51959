//! Immutable view of the configuration for the request path.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;

use super::Catalogue;
use super::Digest;
use super::Document;
use super::index::KeyIndex;
use crate::ids::CustomerId;
use crate::ids::EndpointId;
use crate::ids::HostId;
use crate::ids::ServiceId;
use crate::ids::Version;
use crate::version::objects::Customer;
use crate::version::objects::Endpoint;
use crate::version::objects::KeyRef;
use crate::version::objects::Service;

/// An endpoint with its name.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfiguredEndpoint {
    /// Name of the endpoint.
    pub id: EndpointId,
    /// Configuration of the endpoint.
    pub endpoint: Arc<Endpoint>,
}

/// Immutable view of the configuration at one point in time.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    customers: HashMap<CustomerId, Arc<Customer>>,
    endpoints: BTreeMap<EndpointId, Arc<Endpoint>>,
    endpoints_by_service: HashMap<ServiceId, Arc<[ConfiguredEndpoint]>>,
    services: HashMap<ServiceId, Arc<Service>>,
    retired: HashSet<HostId>,
    keys: KeyIndex,
    withdrawn: HashSet<KeyRef>,
    version: Version,
    digest: Digest,
}

impl Snapshot {
    /// Builds the snapshot of a catalogue; values are shared, not copied.
    pub fn build(catalogue: &Catalogue) -> Self {
        let mut snapshot = Self {
            version: catalogue.max_version(),
            digest: catalogue.digest().clone(),
            ..Self::default()
        };
        for (_, _, document) in catalogue.documents() {
            snapshot.add_document(document);
        }
        snapshot.withdrawn = catalogue.tombstones().map(|t| t.key.clone()).collect();
        snapshot.endpoints_by_service = group_by_service(&snapshot.endpoints);
        snapshot
    }

    /// Returns the valid key of a secret, if any.
    ///
    /// A key is valid if it is not withdrawn and its customer exists.
    pub fn identify(&self, secret: &[u8]) -> Option<KeyRef> {
        let is_valid = |key: &KeyRef| {
            !self.withdrawn.contains(key) && self.customers.contains_key(&key.customer)
        };
        self.keys.find(secret, is_valid).cloned()
    }

    /// Whether the key is in an applied key set; withdrawn keys count as well.
    pub fn has_key(&self, key: &KeyRef) -> bool {
        self.keys.contains(key)
    }

    /// Whether the key is withdrawn.
    pub fn is_withdrawn(&self, key: &KeyRef) -> bool {
        self.withdrawn.contains(key)
    }

    /// Returns the number of withdrawn keys.
    pub fn withdrawn_count(&self) -> usize {
        self.withdrawn.len()
    }

    /// Returns a customer's configuration; `None` if it is unknown or removed.
    pub fn customer(&self, id: &CustomerId) -> Option<&Arc<Customer>> {
        self.customers.get(id)
    }

    /// Returns all customers in arbitrary order.
    pub fn customers(&self) -> impl Iterator<Item = (&CustomerId, &Arc<Customer>)> {
        self.customers.iter()
    }

    /// Returns a service's configuration; `None` if it is unknown or removed.
    pub fn service(&self, id: &ServiceId) -> Option<&Arc<Service>> {
        self.services.get(id)
    }

    /// Returns all services in arbitrary order.
    pub fn services(&self) -> impl Iterator<Item = (&ServiceId, &Arc<Service>)> {
        self.services.iter()
    }

    /// Returns an endpoint's configuration; `None` if it is unknown or removed.
    pub fn endpoint(&self, id: &EndpointId) -> Option<&Arc<Endpoint>> {
        self.endpoints.get(id)
    }

    /// Returns all endpoints, sorted by name.
    pub fn endpoints(&self) -> impl Iterator<Item = (&EndpointId, &Arc<Endpoint>)> {
        self.endpoints.iter()
    }

    /// Returns the endpoints of a service, sorted by name.
    pub fn endpoints_of(&self, service: &ServiceId) -> Arc<[ConfiguredEndpoint]> {
        self.endpoints_by_service
            .get(service)
            .cloned()
            .unwrap_or_default()
    }

    /// Whether operators retired the host.
    pub fn is_retired(&self, host: &HostId) -> bool {
        self.retired.contains(host)
    }

    /// Returns the highest applied version of all objects.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the digest of the applied versions and withdrawals.
    pub fn digest(&self) -> &Digest {
        &self.digest
    }

    /// Panics if this snapshot reverts a version or a withdrawal of an earlier
    /// one.
    pub(super) fn assert_follows(&self, earlier: &Self) {
        assert!(
            self.version >= earlier.version,
            "invariant: the applied version never falls"
        );
        assert!(
            self.withdrawn.is_superset(&earlier.withdrawn),
            "invariant: a withdrawal is never taken back"
        );
    }

    fn add_document(&mut self, document: &Document) {
        match document {
            Document::Customer(id, record) => insert_value(&mut self.customers, id, &record.value),
            Document::Service(id, record) => insert_value(&mut self.services, id, &record.value),
            Document::Endpoint(id, record) => {
                if let Some(endpoint) = &record.value {
                    self.endpoints.insert(id.clone(), Arc::clone(endpoint));
                }
            }
            Document::Host(id, record) => {
                if record.value.is_some_and(|host| host.retired) {
                    self.retired.insert(id.clone());
                }
            }
            Document::Keys(customer, record) => {
                if let Some(set) = &record.value {
                    self.keys.add(customer, set);
                }
            }
        }
    }
}

fn insert_value<K, V>(map: &mut HashMap<K, Arc<V>>, id: &K, value: &Option<Arc<V>>)
where
    K: Clone + Eq + std::hash::Hash,
{
    if let Some(value) = value {
        map.insert(id.clone(), Arc::clone(value));
    }
}

fn group_by_service(
    endpoints: &BTreeMap<EndpointId, Arc<Endpoint>>,
) -> HashMap<ServiceId, Arc<[ConfiguredEndpoint]>> {
    let mut endpoints_by_service: HashMap<ServiceId, Vec<ConfiguredEndpoint>> = HashMap::new();
    for (id, endpoint) in endpoints {
        for service in &endpoint.services {
            endpoints_by_service
                .entry(service.clone())
                .or_default()
                .push(ConfiguredEndpoint {
                    id: id.clone(),
                    endpoint: Arc::clone(endpoint),
                });
        }
    }
    endpoints_by_service
        .into_iter()
        .map(|(service, list)| (service, list.into()))
        .collect()
}
