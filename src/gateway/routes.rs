//! Routing table, built from the operators' configuration.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use sha2::Digest;
use sha2::Sha256;

use super::fraction;
use crate::protection::homes::Homes;

/// Whether and how the calls of a route may be repeated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteKind {
    /// Calls are safe to run more than once.
    Idempotent,
    /// Each request of a caller runs at most once.
    Once,
    /// Answers are streams of events with increasing ids.
    Stream {
        /// Whether a stream can be resumed after a given event.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a call without an answer may run again.
    pub const fn is_repeatable(self) -> bool {
        match self {
            Self::Idempotent => true,
            Self::Once => false,
            Self::Stream { resumable } => resumable,
        }
    }
}

/// A service and its share of a route's calls.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Name of the service.
    pub service: Arc<str>,
    /// Share of the calls, relative to the weights of the other targets.
    pub weight: f64,
}

/// Services and limits for the calls of one host name and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route, as written in logs.
    pub name: Arc<str>,
    /// Host name that the route matches.
    pub host: Box<str>,
    /// Path prefix that the route matches; begins and ends with a slash.
    pub path_prefix: Box<str>,
    /// Whether calls may be repeated.
    pub kind: RouteKind,
    /// Services that run the calls; never empty.
    pub targets: Vec<Target>,
    /// Time within which the caller gets an answer or a refusal.
    pub timeout: Duration,
    /// Target latency of an answer.
    pub objective: Duration,
    /// Priority of the calls; 0 is the most urgent.
    pub priority: u8,
    /// Maximum number of endpoints that may run one request; at least 1.
    pub max_runs: u32,
    /// Whether callers need no key.
    pub is_public: bool,
    /// Whether endpoints cache objects, so that calls with the same affinity
    /// key should go to the same endpoint.
    pub is_sticky: bool,
    /// How long a turn is kept after its end, so that callers can continue it by
    /// its id; `None` if each turn brings its whole prompt.
    pub retention: Option<Duration>,
    /// Regions in which the calls must stay.
    pub homes: Homes,
}

/// Settings of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Settings of its engines; `None` if the service generates no tokens.
    pub engine: Option<EngineSpec>,
    /// What its endpoints bear after their start; `None` if they need no care.
    pub cold: Option<ColdSpec>,
}

/// What a service's endpoints bear while they are cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdSpec {
    /// Requests a second that a cold endpoint takes from all hosts together.
    pub per_s: f64,
    /// Time for which an endpoint is cold after its start.
    pub duration: Duration,
}

/// Settings of a service's model engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSpec {
    /// Tokens in one event of a stream; at least 1.
    pub tokens_per_event: u64,
    /// Maximum number of requests that run at the same time; `None` if unknown.
    pub slots: Option<u32>,
    /// Tokens that the memory for running requests and cached prompts holds;
    /// `None` if unknown.
    pub memory_tokens: Option<u64>,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Maximum size of the header section, in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a body, in bytes.
    pub max_body_bytes: usize,
    /// Time after which an idle connection is closed.
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

/// A customer with its priority and rate.
#[derive(Clone, Debug, PartialEq)]
pub struct Customer {
    /// Name of the customer, as sent to endpoints.
    pub name: Arc<str>,
    /// Priority of the customer's calls, which overrides the route's.
    pub priority: Option<u8>,
    /// Rate limit over all hosts; `None` if there is no limit.
    pub rate: Option<Rate>,
    /// Regions in which the customer's calls must stay.
    pub homes: Homes,
}

/// Rate limit of a customer over all hosts together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    /// Requests per second.
    pub per_s: f64,
    /// Requests that may exceed the rate in a burst.
    pub burst: f64,
}

/// SHA-256 hash of a caller's key.
pub type KeyHash = [u8; 32];

/// Hashes a caller's key. The gateway stores and compares only hashes.
pub fn hash_key(key: &[u8]) -> KeyHash {
    Sha256::digest(key).into()
}

/// One version of the operators' configuration, indexed for lookups.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    /// Version of the configuration; 0 before one is received.
    pub version: u64,
    routes: HashMap<Box<str>, Vec<Arc<Route>>>,
    services: HashMap<Arc<str>, Arc<ServiceSpec>>,
    keys: Option<HashMap<KeyHash, Arc<Customer>>>,
    rates: HashMap<Arc<str>, Rate>,
    /// Limits on callers' requests and connections.
    pub limits: CallerLimits,
}

/// Contents of a configuration, as decoded from the platform's format.
#[derive(Clone, Debug, Default)]
pub struct ConfigurationParts {
    /// Version of the configuration.
    pub version: u64,
    /// Routes, in any order.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: Vec<(Arc<str>, ServiceSpec)>,
    /// Customers, also those that hold no key.
    pub customers: Vec<Arc<Customer>>,
    /// Customer of each key; `None` if callers need no key.
    pub keys: Option<Vec<(KeyHash, Arc<Customer>)>>,
    /// Limits on callers' requests and connections.
    pub limits: CallerLimits,
}

impl From<ConfigurationParts> for Configuration {
    fn from(parts: ConfigurationParts) -> Self {
        let mut routes: HashMap<Box<str>, Vec<Arc<Route>>> = HashMap::new();
        for route in parts.routes {
            let host = route.host.clone();
            routes.entry(host).or_default().push(Arc::new(route));
        }
        for host_routes in routes.values_mut() {
            host_routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
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
    /// Whether a route keeps callers' turns.
    pub fn keeps_turns(&self) -> bool {
        let mut routes = self.routes.values().flatten();
        routes.any(|route| route.retention.is_some())
    }

    /// Longest time for which a route keeps turns; `None` if none does.
    pub fn longest_retention(&self) -> Option<Duration> {
        let routes = self.routes.values().flatten();
        routes.filter_map(|route| route.retention).max()
    }

    /// Whether no configuration has been received yet.
    pub const fn is_unknown(&self) -> bool {
        self.version == 0
    }

    /// Returns the route with the longest prefix that matches the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host_routes = self.routes.get(host)?;
        host_routes
            .iter()
            .find(|route| path.starts_with(&*route.path_prefix))
    }

    /// Returns the settings of a service.
    pub fn service(&self, name: &str) -> Option<&Arc<ServiceSpec>> {
        self.services.get(name)
    }

    /// Whether calls on routes that are not public need a key.
    pub const fn requires_keys(&self) -> bool {
        self.keys.is_some()
    }

    /// Returns the rate limit of a customer, if it has one.
    pub fn rate_of(&self, customer: &str) -> Option<Rate> {
        self.rates.get(customer).copied()
    }

    /// Returns the customer that holds a key.
    pub fn customer(&self, key: &KeyHash) -> Option<&Arc<Customer>> {
        self.keys.as_ref()?.get(key)
    }
}

impl Route {
    /// Returns the target for a call, by weight. Equal seeds give the same
    /// target.
    pub fn target(&self, seed: u64) -> &Target {
        let total: f64 = self.targets.iter().map(|target| target.weight).sum();
        let mut remaining = fraction(seed) * total;
        for target in &self.targets {
            remaining -= target.weight;
            if remaining < 0.0 {
                return target;
            }
        }
        self.targets.last().expect("a route has a target")
    }

    /// Whether calls may go to a service.
    pub fn leads_to(&self, service: &str) -> bool {
        let mut targets = self.targets.iter();
        targets.any(|target| target.weight > 0.0 && *target.service == *service)
    }
}
