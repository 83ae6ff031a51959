//! The immutable view of the configuration that calls read.

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
    /// Its name.
    pub id: EndpointId,
    /// Its configuration.
    pub endpoint: Arc<Endpoint>,
}

/// The configuration at one moment.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    customers: HashMap<CustomerId, Arc<Customer>>,
    endpoints: BTreeMap<EndpointId, Arc<Endpoint>>,
    by_service: HashMap<ServiceId, Arc<[ConfiguredEndpoint]>>,
    services: HashMap<ServiceId, Arc<Service>>,
    retired: HashSet<HostId>,
    keys: KeyIndex,
    withdrawn: HashSet<KeyRef>,
    version: Version,
    digest: Digest,
}

impl Snapshot {
    /// Builds the view of a catalogue; the values are shared, not copied.
    pub fn build(catalogue: &Catalogue) -> Self {
        let mut view = Self {
            version: catalogue.newest(),
            digest: catalogue.digest().clone(),
            ..Self::default()
        };
        for (_, _, document) in catalogue.documents() {
            view.add(document);
        }
        view.withdrawn = catalogue.tombstones().map(|t| t.key.clone()).collect();
        view.by_service = by_service(&view.endpoints);
        view
    }

    /// The valid key of a secret, if any.
    pub fn identify(&self, secret: &[u8]) -> Option<KeyRef> {
        let valid = |key: &KeyRef| {
            !self.withdrawn.contains(key) && self.customers.contains_key(&key.customer)
        };
        self.keys.find(secret, valid).cloned()
    }

    /// True if the key was ever granted, as far as this host knows.
    pub fn has_key(&self, key: &KeyRef) -> bool {
        self.keys.contains(key)
    }

    /// True if the key is withdrawn.
    pub fn is_withdrawn(&self, key: &KeyRef) -> bool {
        self.withdrawn.contains(key)
    }

    /// Number of withdrawn keys.
    pub fn withdrawn_count(&self) -> usize {
        self.withdrawn.len()
    }

    /// One customer.
    pub fn customer(&self, id: &CustomerId) -> Option<&Arc<Customer>> {
        self.customers.get(id)
    }

    /// All customers, in no order.
    pub fn customers(&self) -> impl Iterator<Item = (&CustomerId, &Arc<Customer>)> {
        self.customers.iter()
    }

    /// One service.
    pub fn service(&self, id: &ServiceId) -> Option<&Arc<Service>> {
        self.services.get(id)
    }

    /// All services, in no order.
    pub fn services(&self) -> impl Iterator<Item = (&ServiceId, &Arc<Service>)> {
        self.services.iter()
    }

    /// One endpoint.
    pub fn endpoint(&self, id: &EndpointId) -> Option<&Arc<Endpoint>> {
        self.endpoints.get(id)
    }

    /// All endpoints, by name.
    pub fn endpoints(&self) -> impl Iterator<Item = (&EndpointId, &Arc<Endpoint>)> {
        self.endpoints.iter()
    }

    /// The endpoints of a service, by name.
    pub fn endpoints_of(&self, service: &ServiceId) -> Arc<[ConfiguredEndpoint]> {
        self.by_service.get(service).cloned().unwrap_or_default()
    }

    /// True if operators retired the host.
    pub fn is_retired(&self, host: &HostId) -> bool {
        self.retired.contains(host)
    }

    /// Highest version applied of any object.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Digest of the versions and withdrawals applied.
    pub fn digest(&self) -> &Digest {
        &self.digest
    }

    /// Stops the process if a later view took anything back.
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

    fn add(&mut self, document: &Document) {
        match document {
            Document::Customer(id, record) => put(&mut self.customers, id, &record.value),
            Document::Service(id, record) => put(&mut self.services, id, &record.value),
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

fn put<K, V>(map: &mut HashMap<K, Arc<V>>, id: &K, value: &Option<Arc<V>>)
where
    K: Clone + Eq + std::hash::Hash,
{
    if let Some(value) = value {
        map.insert(id.clone(), Arc::clone(value));
    }
}

fn by_service(
    endpoints: &BTreeMap<EndpointId, Arc<Endpoint>>,
) -> HashMap<ServiceId, Arc<[ConfiguredEndpoint]>> {
    let mut lists: HashMap<ServiceId, Vec<ConfiguredEndpoint>> = HashMap::new();
    for (id, endpoint) in endpoints {
        for service in &endpoint.services {
            lists
                .entry(service.clone())
                .or_default()
                .push(ConfiguredEndpoint {
                    id: id.clone(),
                    endpoint: Arc::clone(endpoint),
                });
        }
    }
    lists
        .into_iter()
        .map(|(service, list)| (service, list.into()))
        .collect()
}
