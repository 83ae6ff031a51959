//! Typed values of the configuration objects that the platform stores.
//!
//! Each value is stored in one platform object of its [`Kind`], named after
//! the customer, service, endpoint or host. A [`Record`] wraps the value with
//! its latest changes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::hex::Hex;
use serde_with::serde_as;

use crate::connection::platform::Nonce;
use crate::ids::CustomerId;
use crate::ids::DataCentre;
use crate::ids::KeyId;
use crate::ids::ServiceId;
use crate::ids::Version;
use crate::units::Tokens;

/// Kind of a configuration object; written as the platform names it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A [`Customer`].
    Customer,
    /// An [`Endpoint`].
    Endpoint,
    /// A [`HostSetting`].
    Host,
    /// The [`KeySet`] of one customer.
    Keys,
    /// A [`Service`].
    Service,
}

impl Kind {
    /// All kinds in the order of the variants.
    pub const ALL: [Self; 5] = [
        Self::Customer,
        Self::Endpoint,
        Self::Host,
        Self::Keys,
        Self::Service,
    ];

    /// Returns the kind's name in the platform's object API.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Customer => "customer",
            Self::Endpoint => "endpoint",
            Self::Host => "host",
            Self::Keys => "keys",
            Self::Service => "service",
        }
    }
}

/// Limits and scheduling weight of one customer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Customer {
    /// Calls per second, summed over all hosts.
    pub rate: f64,
    /// Size of a burst in calls, summed over all hosts.
    pub burst: f64,
    /// Weight in the fair sharing of contended capacity among customers.
    pub weight: f64,
    /// Upper limit of one program's budget.
    pub max_budget: Tokens,
    /// Fraction of the rate that is refilled in each data centre. An empty map
    /// splits the rate equally; otherwise a data centre without an entry gets
    /// nothing.
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

/// One caller's key; the secret itself is not stored.
#[serde_as]
#[derive(Clone, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// SHA-256 of the secret.
    #[serde_as(as = "Hex")]
    pub hash: [u8; 32],
    /// Whether the key is withdrawn; a withdrawal is permanent.
    #[serde(default)]
    pub withdrawn: bool,
}

impl fmt::Debug for Key {
    /// Omits the hash, which must not reach logs or panic messages.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Key")
            .field("withdrawn", &self.withdrawn)
            .finish_non_exhaustive()
    }
}

/// The keys of one customer, stored under the customer's name.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct KeySet {
    /// Keys by name.
    pub keys: BTreeMap<KeyId, Key>,
}

/// Kind of the endpoints that serve a service.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceKind {
    /// Model engines with prefix caches and streaming completions.
    Model,
    /// Plain request/response services.
    #[default]
    Plain,
}

/// Configuration of one service: how its calls are admitted and scheduled.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Service {
    /// Kind of the endpoints that serve it.
    pub kind: ServiceKind,
    /// Whether calls need no key; a key that a caller sends is neither checked
    /// nor forwarded.
    pub open: bool,
    /// Whether a call may run more than once.
    pub repeatable: bool,
    /// Whether calls use the capacity reserved for interactive work.
    pub interactive: bool,
    /// Timeout of a call, from its receipt to the end of the answer.
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

/// Whether an endpoint accepts new calls.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndpointState {
    /// Accepts new calls.
    #[default]
    Serving,
    /// Completes its running calls and accepts no new ones.
    #[serde(rename = "leaving")]
    Draining,
}

/// Configuration of one endpoint.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// Address that the endpoint listens on.
    pub address: SocketAddr,
    /// Data centre that the endpoint runs in.
    pub data_centre: DataCentre,
    /// Services that the endpoint serves.
    pub services: BTreeSet<ServiceId>,
    /// Number of calls that the endpoint runs concurrently; at least 1.
    #[serde(default = "default_concurrency")]
    pub concurrency: u32,
    /// Whether the endpoint rejects requests with an outdated fencing token.
    #[serde(default)]
    pub checks_fence: bool,
    /// State set by operators.
    #[serde(default)]
    pub state: EndpointState,
    /// Platform's name of the machine that the endpoint runs on; `None` if it
    /// is not configured, and the platform's host list then has no effect.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub host: Option<String>,
}

/// Default of [`Endpoint::concurrency`], in calls.
pub const DEFAULT_CONCURRENCY: u32 = 8;

const fn default_concurrency() -> u32 {
    DEFAULT_CONCURRENCY
}

/// Operators' setting for one host of the scheduler.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct HostSetting {
    /// Whether the host has to hand over its partitions and stop.
    pub retired: bool,
}

/// Origin of a change: operator, time and command.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Stamp {
    /// Operator who makes the change.
    pub actor: String,
    /// Milliseconds since the Unix epoch, by the accepting host's clock.
    pub at_ms: u64,
    /// Text of the command, without secrets.
    pub command: String,
}

impl Stamp {
    /// Creates a stamp with the present time of this host's clock.
    pub fn now(actor: impl Into<String>, command: impl Into<String>) -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let millis = since_epoch.unwrap_or_default().as_millis();
        Self {
            actor: actor.into(),
            at_ms: u64::try_from(millis).unwrap_or(u64::MAX),
            command: command.into(),
        }
    }

    /// Returns the change for a write to the object at version `old`; `None`
    /// creates the object.
    pub fn change(&self, old: Option<Version>, writer: Nonce) -> Change {
        Change {
            actor: self.actor.clone(),
            at_ms: self.at_ms,
            command: self.command.clone(),
            old,
            writer,
        }
    }
}

/// One accepted change of an object, stored within the object.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Operator who made the change.
    pub actor: String,
    /// Milliseconds since the Unix epoch, by the accepting host's clock.
    pub at_ms: u64,
    /// Text of the command, without secrets.
    pub command: String,
    /// Version before the change; `None` if the change created the object.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub old: Option<Version>,
    /// Identifies the write, so that a writer whose answer was lost can find out
    /// whether the write succeeded.
    pub writer: Nonce,
}

/// Upper limit of the changes stored in an object; older ones are dropped.
pub const MAX_CHANGES: usize = 16;

/// A stored configuration object: its value and its latest changes.
///
/// The record of a removed object remains, without a value, so that the removal
/// has a version like any other change.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Record<T> {
    /// The value; `None` if the object is removed.
    pub value: Option<T>,
    /// Latest changes, oldest first.
    #[serde(default = "Vec::new")]
    pub changes: Vec<Change>,
}

impl<T> Default for Record<T> {
    fn default() -> Self {
        Self {
            value: None,
            changes: Vec::new(),
        }
    }
}

impl<T> Record<T> {
    /// Sets the value and appends the change, dropping the oldest changes.
    #[must_use]
    pub fn with_change(mut self, value: Option<T>, change: Change) -> Self {
        self.changes.push(change);
        let surplus = self.changes.len().saturating_sub(MAX_CHANGES);
        self.changes.drain(..surplus);
        self.value = value;
        self
    }
}

/// A field of a decoded value is out of bounds.
#[derive(Clone, Debug, Eq, thiserror::Error, PartialEq)]
#[error("{field} must be {expected}")]
pub struct OutOfBounds {
    /// Name of the field as it is written.
    pub field: &'static str,
    /// Allowed range, as it completes "must be".
    pub expected: &'static str,
}

/// Result of a bounds check.
pub type Result<T> = std::result::Result<T, OutOfBounds>;

/// Upper limit of a customer's rate (calls per second) and burst (calls).
pub const MAX_RATE: f64 = 1_000_000.0;

/// Upper limit of a customer's weight.
pub const MAX_WEIGHT: f64 = 1_000.0;

/// Tolerance for the sum of shares; decimal fractions are not exact in binary.
const SHARE_TOLERANCE: f64 = 1e-9;

/// Upper limit of a service's deadline.
pub const MAX_DEADLINE: Duration = Duration::from_secs(24 * 60 * 60);

/// A configuration value with bounds.
pub trait Bounded {
    /// Checks every field against its bounds.
    ///
    /// # Errors
    ///
    /// [`OutOfBounds`] for the first field that is out of bounds.
    fn check(&self) -> Result<()>;
}

fn require(is_valid: bool, field: &'static str, expected: &'static str) -> Result<()> {
    if is_valid {
        Ok(())
    } else {
        Err(OutOfBounds { field, expected })
    }
}

impl Bounded for Customer {
    fn check(&self) -> Result<()> {
        let allowed_rate = 0.0..=MAX_RATE;
        let share_sum: f64 = self.shares.values().sum();
        let has_nonnegative_shares = self.shares.values().all(|share| *share >= 0.0);
        let has_valid_shares = has_nonnegative_shares && share_sum <= 1.0 + SHARE_TOLERANCE;
        require(
            allowed_rate.contains(&self.rate),
            "rate",
            "from 0 to 1000000",
        )?;
        require(
            allowed_rate.contains(&self.burst),
            "burst",
            "from 0 to 1000000",
        )?;
        let has_valid_weight = self.weight > 0.0 && self.weight <= MAX_WEIGHT;
        require(has_valid_weight, "weight", "above 0 and at most 1000")?;
        require(
            has_valid_shares,
            "shares",
            "from 0 to 1 with a sum of at most 1",
        )
    }
}

impl Bounded for Endpoint {
    fn check(&self) -> Result<()> {
        require(self.concurrency > 0, "concurrency", "at least 1")
    }
}

impl Bounded for HostSetting {
    fn check(&self) -> Result<()> {
        Ok(())
    }
}

impl Bounded for KeySet {
    fn check(&self) -> Result<()> {
        Ok(())
    }
}

impl Bounded for Service {
    fn check(&self) -> Result<()> {
        let is_valid = !self.deadline.is_zero() && self.deadline <= MAX_DEADLINE;
        require(is_valid, "deadline_ms", "from 1 to 86400000")
    }
}

/// Reference to a customer's key.
///
/// A call carries it so that a withdrawal of the key can be detected later.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct KeyRef {
    /// Customer that the key belongs to.
    pub customer: CustomerId,
    /// Name of the key within the customer.
    pub key: KeyId,
}
