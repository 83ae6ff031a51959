//! The operators' configuration as a routing table.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use sha2::Digest;
use sha2::Sha256;

use super::fraction;

/// What may be repeated on a route.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteKind {
    /// Calls may run more than once.
    Idempotent,
    /// Calls run at most once for each attempt of the caller.
    Once,
    /// Answers are streams of events with increasing ids.
    Stream {
        /// True if a stream may go on after a given event.
        resumable: bool,
    },
}

/// A service and its part of a route's calls.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Name of the service.
    pub service: Arc<str>,
    /// Part of the calls, relative to the other targets.
    pub weight: f64,
}

/// Where calls of a host and path go, and how long they may take.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name in logs.
    pub name: Arc<str>,
    /// Value of the caller's `Host` header.
    pub host: Box<str>,
    /// Start of the path, with a slash at both ends.
    pub path_prefix: Box<str>,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Services that may run the calls; at least one.
    pub targets: Vec<Target>,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is on time.
    pub objective: Duration,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Endpoints that one attempt of a caller may run on.
    pub max_runs: u32,
    /// True if no key is needed.
    pub is_public: bool,
    /// True if an endpoint that has seen the call's object is faster.
    pub is_sticky: bool,
}

/// What the operators say of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Present if its endpoints generate tokens.
    pub engine: Option<EngineSpec>,
}

/// What the operators say of model engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSpec {
    /// Tokens in one event of a stream.
    pub tokens_per_event: u64,
}

/// Bounds on what callers may send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Largest header section, in bytes.
    pub max_header_bytes: usize,
    /// Largest body, in bytes.
    pub max_body_bytes: usize,
    /// Longest idle time of a connection.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A customer's rank and rate.
#[derive(Clone, Debug, PartialEq)]
pub struct Customer {
    /// Name that endpoints are told.
    pub name: Arc<str>,
    /// Rank, if the customer has one; it goes before the route's.
    pub priority: Option<u8>,
    /// Rate over all hosts; `None` if there is no limit.
    pub rate: Option<Rate>,
}

/// Rate of a customer over all hosts together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    /// Requests a second.
    pub per_s: f64,
    /// Requests beyond the rate at one moment.
    pub burst: f64,
}

/// SHA-256 of a caller's key.
pub type KeyHash = [u8; 32];

/// Hash under which a caller's key is kept.
pub fn hash_key(key: &[u8]) -> KeyHash {
    Sha256::digest(key).into()
}

/// One version of the operators' configuration.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    /// The operators' version; 0 before any is known.
    pub version: u64,
    routes: HashMap<Box<str>, Vec<Arc<Route>>>,
    services: HashMap<Arc<str>, Arc<ServiceSpec>>,
    keys: Option<HashMap<KeyHash, Arc<Customer>>>,
    rates: HashMap<Arc<str>, Rate>,
    /// Bounds on what callers may send.
    pub limits: CallerLimits,
}

/// Parts of a configuration, as an adapter decodes them.
#[derive(Clone, Debug, Default)]
pub struct ConfigurationParts {
    /// The operators' version.
    pub version: u64,
    /// Routes in any order.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: Vec<(Arc<str>, ServiceSpec)>,
    /// Customers by the hash of each of their keys; `None` if no key is needed.
    pub keys: Option<Vec<(KeyHash, Arc<Customer>)>>,
    /// Bounds on what callers may send.
    pub limits: CallerLimits,
}

impl From<ConfigurationParts> for Configuration {
    fn from(parts: ConfigurationParts) -> Self {
        let mut routes: HashMap<Box<str>, Vec<Arc<Route>>> = HashMap::new();
        for route in parts.routes {
            let host = route.host.clone();
            routes.entry(host).or_default().push(Arc::new(route));
        }
        for of_host in routes.values_mut() {
            of_host.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let services = parts.services.into_iter();
        let customers = parts.keys.iter().flatten().map(|(_, customer)| customer);
        let rates = customers
            .filter_map(|customer| Some((Arc::clone(&customer.name), customer.rate?)))
            .collect();
        Self {
            version: parts.version,
            routes,
            services: services
                .map(|(name, spec)| (name, Arc::new(spec)))
                .collect(),
            keys: parts.keys.map(|keys| keys.into_iter().collect()),
            rates,
            limits: parts.limits,
        }
    }
}

impl Configuration {
    /// True before any configuration is known.
    pub const fn is_unknown(&self) -> bool {
        self.version == 0
    }

    /// The route with the longest prefix that begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let of_host = self.routes.get(host)?;
        of_host
            .iter()
            .find(|route| path.starts_with(&*route.path_prefix))
    }

    /// What is said of a service.
    pub fn service(&self, name: &str) -> Option<&Arc<ServiceSpec>> {
        self.services.get(name)
    }

    /// True if calls on routes that are not public need a key.
    pub const fn needs_keys(&self) -> bool {
        self.keys.is_some()
    }

    /// The rate of a customer, if it has one.
    pub fn rate_of(&self, customer: &str) -> Option<Rate> {
        self.rates.get(customer).copied()
    }

    /// The customer that holds a key.
    pub fn customer(&self, key: &KeyHash) -> Option<&Arc<Customer>> {
        self.keys.as_ref()?.get(key)
    }
}

impl Route {
    /// The target for a call, by weight; the same seed gives the same target.
    pub fn target(&self, seed: u64) -> &Target {
        let total: f64 = self.targets.iter().map(|target| target.weight).sum();
        let mut left = fraction(seed) * total;
        for target in &self.targets {
            left -= target.weight;
            if left < 0.0 {
                return target;
            }
        }
        self.targets.last().expect("a route has a target")
    }
}
