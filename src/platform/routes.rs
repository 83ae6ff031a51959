//! Decodes the operators' configuration object.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde_json::value::RawValue;
use serde_json::value::to_raw_value;

use crate::gateway::routes::CallerLimits;
use crate::gateway::routes::ColdSpec;
use crate::gateway::routes::Configuration;
use crate::gateway::routes::ConfigurationParts;
use crate::gateway::routes::Customer;
use crate::gateway::routes::EngineSpec;
use crate::gateway::routes::Rate;
use crate::gateway::routes::Route;
use crate::gateway::routes::RouteKind;
use crate::gateway::routes::ServiceSpec;
use crate::gateway::routes::Target;
use crate::gateway::routes::hash_key;
use crate::protection::homes::Homes;

/// Number of endpoints that one request of a caller may run on if the route
/// sets none.
const DEFAULT_MAX_RUNS: u32 = 2;
/// Timeout of a call if the route sets none.
const DEFAULT_TIMEOUT_MS: u64 = 30_000;
/// Bytes of the hash that stands for a key where keys are not shown.
const SHOWN_HASH_BYTES: usize = 4;
/// Field with the list of customers.
const CUSTOMERS_FIELD: &str = "tenants";
/// Field with the keys of a customer.
const KEYS_FIELD: &str = "api_keys";

/// Object whose fields are copied as they are.
type RawObject = BTreeMap<String, Box<RawValue>>;

#[derive(Deserialize)]
struct Document {
    version: u64,
    #[serde(default)]
    routes: Vec<RouteEntry>,
    #[serde(default)]
    services: Vec<ServiceEntry>,
    limits: Option<LimitsEntry>,
    tenants: Option<Vec<TenantEntry>>,
}

#[derive(Deserialize)]
struct RouteEntry {
    name: String,
    host: String,
    path_prefix: String,
    /// `safe` if calls may be repeated, `unsafe` if not, `streaming` for streams.
    route_type: String,
    timeout_ms: Option<u64>,
    /// Latency up to which an answer has its full value; not a timeout.
    target_latency_ms: Option<f64>,
    #[serde(default)]
    priority: u8,
    service: Option<String>,
    /// Services among which calls are split by weight; overrides `service`.
    backends: Option<Vec<SplitEntry>>,
    /// Number of endpoints that one request of a caller may run on.
    max_attempts: Option<u32>,
    #[serde(default)]
    public: bool,
    #[serde(default)]
    sticky: bool,
    #[serde(default)]
    resumable: bool,
    /// Whether the scheduler keeps turns, so that a call continues one by its id.
    #[serde(default)]
    retain_context: bool,
    /// How long a turn is kept, in seconds.
    retention_s: Option<f64>,
    /// Regions in which the calls must stay; absent or empty means anywhere.
    allowed_regions: Option<Homes>,
}

#[derive(Deserialize)]
struct SplitEntry {
    service: String,
    weight: f64,
}

#[derive(Deserialize)]
struct ServiceEntry {
    name: String,
    engine: Option<EngineEntry>,
    /// How long an endpoint is cold after its start, in seconds.
    cold_start_s: Option<f64>,
    /// Requests a second that a cold endpoint takes from all hosts together.
    cold_per_s: Option<f64>,
}

#[derive(Deserialize)]
struct EngineEntry {
    /// Number of tokens in each event of a stream.
    stream_stride: Option<u64>,
    slots: Option<u32>,
    kv_capacity_tokens: Option<u64>,
}

#[derive(Deserialize)]
struct LimitsEntry {
    max_header_bytes: Option<usize>,
    max_body_bytes: Option<usize>,
    idle_timeout_ms: Option<u64>,
}

#[derive(Deserialize)]
struct TenantEntry {
    name: String,
    #[serde(default)]
    api_keys: Vec<String>,
    priority: Option<u8>,
    /// Requests per second over all hosts; 0 means no limit.
    #[serde(default)]
    rate_per_s: f64,
    #[serde(default)]
    burst: f64,
    /// Regions in which the customer's calls must stay, as for a route.
    allowed_regions: Option<Homes>,
}

/// Why a configuration is rejected.
#[derive(Debug, thiserror::Error)]
pub enum RoutesError {
    /// The value is not JSON or does not match the schema.
    #[error("the configuration cannot be decoded: {0}")]
    Malformed(#[from] serde_json::Error),
    /// A route has neither `service` nor `backends`.
    #[error("route `{0}` names no service")]
    NoService(String),
    /// The `route_type` of a route is unknown.
    #[error("route `{name}` has the unknown type `{kind}`")]
    UnknownKind {
        /// Name of the route.
        name: String,
        /// Value of its `route_type`.
        kind: String,
    },
}

/// Result of decoding a configuration.
pub type Result<T> = std::result::Result<T, RoutesError>;

/// Decodes the value of the operators' configuration object.
///
/// # Errors
///
/// Returns [`RoutesError`] if the value is not a valid configuration. The
/// platform stores only valid configurations, so an error is unexpected.
pub fn decode(value: &[u8]) -> Result<Configuration> {
    decode_parts(value).map(Configuration::from)
}

/// Decodes the entries of an operators' configuration, in their order.
///
/// # Errors
///
/// As [`decode`].
pub fn decode_parts(value: &[u8]) -> Result<ConfigurationParts> {
    let document: Document = serde_json::from_slice(value)?;
    let routes: Result<Vec<Route>> = document.routes.into_iter().map(route).collect();
    let services = document.services.into_iter().map(service).collect();
    let mut customers = Vec::new();
    let keys = document.tenants.map(|tenants| {
        let mut keys = Vec::new();
        for tenant in tenants {
            let customer = Arc::new(customer(&tenant));
            let hashes = tenant.api_keys.iter().map(|key| hash_key(key.as_bytes()));
            keys.extend(hashes.map(|hash| (hash, Arc::clone(&customer))));
            customers.push(customer);
        }
        keys
    });
    Ok(ConfigurationParts {
        version: document.version,
        routes: routes?,
        services,
        customers,
        keys,
        limits: limits(document.limits),
    })
}

/// Replaces each key of a configuration by the first 8 hex digits of its SHA-256.
/// Other entries stay as they are, including those that this release ignores.
///
/// # Errors
///
/// If the value is not JSON or its customers and keys are not where they belong.
pub fn without_keys(value: &[u8]) -> Result<Vec<u8>> {
    let mut document: RawObject = serde_json::from_slice(value)?;
    if let Some(entry) = document.get_mut(CUSTOMERS_FIELD) {
        let mut customers: Option<Vec<RawObject>> = serde_json::from_str(entry.get())?;
        for customer in customers.iter_mut().flatten() {
            if let Some(entry) = customer.get_mut(KEYS_FIELD) {
                let keys: Vec<String> = serde_json::from_str(entry.get())?;
                let hashes = keys.iter().map(|key| hash_key(key.as_bytes()));
                let shown: Vec<String> = hashes
                    .map(|hash| hex::encode(&hash[..SHOWN_HASH_BYTES]))
                    .collect();
                *entry = to_raw_value(&shown)?;
            }
        }
        *entry = to_raw_value(&customers)?;
    }
    Ok(serde_json::to_vec(&document)?)
}

fn route(entry: RouteEntry) -> Result<Route> {
    let kind = match entry.route_type.as_str() {
        "safe" => RouteKind::Idempotent,
        "unsafe" => RouteKind::Once,
        "streaming" => RouteKind::Stream {
            resumable: entry.resumable,
        },
        _ => {
            return Err(RoutesError::UnknownKind {
                name: entry.name,
                kind: entry.route_type,
            });
        }
    };
    let mut targets: Vec<Target> = entry
        .backends
        .unwrap_or_default()
        .into_iter()
        .map(|split| Target {
            service: split.service.into(),
            weight: split.weight.max(0.0),
        })
        .collect();
    if targets.is_empty() {
        let Some(service) = entry.service else {
            return Err(RoutesError::NoService(entry.name));
        };
        targets.push(Target {
            service: service.into(),
            weight: 1.0,
        });
    }
    let timeout = Duration::from_millis(entry.timeout_ms.unwrap_or(DEFAULT_TIMEOUT_MS));
    let objective = entry
        .target_latency_ms
        .and_then(|ms| Duration::try_from_secs_f64(ms / 1000.0).ok());
    let retention = entry
        .retention_s
        .and_then(|s| Duration::try_from_secs_f64(s).ok());
    Ok(Route {
        name: entry.name.into(),
        host: entry.host.into(),
        path_prefix: entry.path_prefix.into(),
        kind,
        targets,
        timeout,
        objective: objective.unwrap_or(timeout),
        priority: entry.priority,
        max_runs: entry.max_attempts.unwrap_or(DEFAULT_MAX_RUNS).max(1),
        is_public: entry.public,
        is_sticky: entry.sticky,
        retention: retention.filter(|_| entry.retain_context),
        homes: entry.allowed_regions.unwrap_or_default(),
    })
}

fn service(entry: ServiceEntry) -> (Arc<str>, ServiceSpec) {
    let spec = ServiceSpec {
        engine: entry.engine.map(|engine| EngineSpec {
            tokens_per_event: engine.stream_stride.unwrap_or(1).max(1),
            slots: engine.slots,
            memory_tokens: engine.kv_capacity_tokens,
        }),
        cold: cold(entry.cold_per_s, entry.cold_start_s),
    };
    (entry.name.into(), spec)
}

fn cold(per_s: Option<f64>, start_s: Option<f64>) -> Option<ColdSpec> {
    let per_s = per_s.filter(|per_s| per_s.is_finite() && *per_s > 0.0)?;
    let duration = Duration::try_from_secs_f64(start_s?).ok()?;
    (!duration.is_zero()).then_some(ColdSpec { per_s, duration })
}

fn customer(entry: &TenantEntry) -> Customer {
    let rate = (entry.rate_per_s > 0.0).then_some(Rate {
        per_s: entry.rate_per_s,
        burst: entry.burst.max(0.0),
    });
    Customer {
        name: entry.name.as_str().into(),
        priority: entry.priority,
        rate,
        homes: entry.allowed_regions.clone().unwrap_or_default(),
    }
}

fn limits(entry: Option<LimitsEntry>) -> CallerLimits {
    let default = CallerLimits::default();
    let Some(entry) = entry else {
        return default;
    };
    CallerLimits {
        max_header_bytes: entry.max_header_bytes.unwrap_or(default.max_header_bytes),
        max_body_bytes: entry.max_body_bytes.unwrap_or(default.max_body_bytes),
        idle_timeout: entry
            .idle_timeout_ms
            .map_or(default.idle_timeout, Duration::from_millis),
    }
}
