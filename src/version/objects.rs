//! Configuration objects held by the platform, as typed values.
//!
//! Each lives in one platform object of kind [`Kind`] and the name of the
//! thing it describes, wrapped in [`Record`] with its last changes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::hex::Hex;
use serde_with::serde_as;

use crate::ids::CustomerId;
use crate::ids::DataCentre;
use crate::ids::KeyId;
use crate::ids::ServiceId;
use crate::ids::Version;
use crate::units::Tokens;

/// Kinds of configuration objects; the text is the platform's kind.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A [`Customer`].
    Customer,
    /// An [`Endpoint`].
    Endpoint,
    /// The [`KeySet`] of one customer.
    Keys,
    /// A [`Service`].
    Service,
}

impl Kind {
    /// Every kind, in order.
    pub const ALL: [Self; 4] = [Self::Customer, Self::Endpoint, Self::Keys, Self::Service];

    /// The platform's name of the kind.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Customer => "customer",
            Self::Endpoint => "endpoint",
            Self::Keys => "keys",
            Self::Service => "service",
        }
    }
}

/// A customer's rate, burst and weight.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Customer {
    /// Calls a second over all hosts together.
    pub rate: f64,
    /// Calls that may come at once, over all hosts together.
    pub burst: f64,
    /// Share of contended capacity relative to other customers.
    pub weight: f64,
    /// Largest budget of one program.
    pub max_budget: Tokens,
    /// Fraction of the rate refilled in each data centre; equal where absent.
    pub shares: BTreeMap<DataCentre, f64>,
}

impl Default for Customer {
    fn default() -> Self {
        Self {
            rate: 10.0,
            burst: 20.0,
            weight: 1.0,
            max_budget: Tokens(1_000_000),
            shares: BTreeMap::new(),
        }
    }
}

/// One caller's key: the SHA-256 of its secret and whether it is withdrawn.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// SHA-256 of the secret.
    #[serde_as(as = "Hex")]
    pub hash: [u8; 32],
    /// Once true it never becomes false again.
    #[serde(default)]
    pub withdrawn: bool,
}

/// The keys of one customer; the object's name is the customer's.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct KeySet {
    /// Keys by name.
    pub keys: BTreeMap<KeyId, Key>,
}

/// What kind of endpoint serves a service.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceKind {
    /// Model engines with prefix caches and streamed completions.
    Model,
    /// Plain request and response services.
    #[default]
    Plain,
}

/// How calls of one service are treated.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Service {
    /// Kind of its endpoints.
    pub kind: ServiceKind,
    /// True if no key is needed; a key that comes along is passed on.
    pub open: bool,
    /// True if a call may run more than once.
    pub repeatable: bool,
    /// True if its calls use the reserved capacity.
    pub interactive: bool,
    /// Longest time from receipt to the end of the answer.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "deadline_ms")]
    pub deadline: Duration,
    /// Cost of one call of a plain service.
    pub cost: Tokens,
}

impl Default for Service {
    fn default() -> Self {
        Self {
            kind: ServiceKind::Plain,
            open: false,
            repeatable: false,
            interactive: false,
            deadline: Duration::from_secs(30),
            cost: Tokens(1),
        }
    }
}

/// Whether an endpoint takes new work.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndpointState {
    /// Takes new work.
    #[default]
    Serving,
    /// Finishes what it has and takes no new work.
    Leaving,
}

/// One endpoint.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// Where it listens.
    pub address: SocketAddr,
    /// Data centre of its host.
    pub data_centre: DataCentre,
    /// Services it serves.
    pub services: BTreeSet<ServiceId>,
    /// Calls it runs at once.
    #[serde(default = "default_concurrency")]
    pub concurrency: u32,
    /// True if it refuses orders with an old fencing number.
    #[serde(default)]
    pub checks_fence: bool,
    /// Whether it takes new work.
    #[serde(default)]
    pub state: EndpointState,
}

/// Calls an endpoint runs at once if its configuration does not say.
pub const DEFAULT_CONCURRENCY: u32 = 8;

const fn default_concurrency() -> u32 {
    DEFAULT_CONCURRENCY
}

/// One accepted change of an object, kept inside the object itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Operator who made the change.
    pub actor: String,
    /// Milliseconds since the Unix epoch, by the accepting host's clock.
    pub at_ms: u64,
    /// Text of the command; holds no secret.
    pub command: String,
    /// Version the change was made to, absent for a creation.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub old: Option<Version>,
}

/// Changes kept inside an object; older ones are dropped.
pub const KEPT_CHANGES: usize = 16;

/// A configuration object as stored: its value and its last changes.
///
/// A removed object keeps its record with `value` absent, so that removal has
/// a version like any other change.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Record<T> {
    /// The value; absent once removed.
    pub value: Option<T>,
    /// Last changes, oldest first.
    #[serde(default = "Vec::new")]
    pub changes: Vec<Change>,
}

/// Reference to a customer's key, carried with a call to check it again.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct KeyRef {
    /// Customer whose key it is.
    pub customer: CustomerId,
    /// The key's name.
    pub key: KeyId,
}
