//! Configuration objects held by the platform, as typed values.
//!
//! Each lives in one platform object of kind [`Kind`] and the name of the
//! thing it describes, wrapped in [`Record`] with its last changes.

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

/// Kinds of configuration objects; the text is the platform's kind.
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
    /// Every kind, in order.
    pub const ALL: [Self; 5] = [
        Self::Customer,
        Self::Endpoint,
        Self::Host,
        Self::Keys,
        Self::Service,
    ];

    /// The platform's name of the kind.
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
#[derive(Clone, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// SHA-256 of the secret.
    #[serde_as(as = "Hex")]
    pub hash: [u8; 32],
    /// Once true it never becomes false again.
    #[serde(default)]
    pub withdrawn: bool,
}

impl fmt::Debug for Key {
    /// Leaves the hash out of logs and panics.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Key")
            .field("withdrawn", &self.withdrawn)
            .finish_non_exhaustive()
    }
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
    /// True if no key is needed; a key that comes along is not looked at and
    /// not passed on.
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
    /// The platform's name of the machine that it runs on.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub host: Option<String>,
}

/// Calls an endpoint runs at once if its configuration does not say.
pub const DEFAULT_CONCURRENCY: u32 = 8;

const fn default_concurrency() -> u32 {
    DEFAULT_CONCURRENCY
}

/// What operators decided about one host of the scheduler.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct HostSetting {
    /// True if the host is to hand its partitions over and stop.
    pub retired: bool,
}

/// Who makes a change, when and by which command.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Stamp {
    /// Operator who makes the change.
    pub actor: String,
    /// Milliseconds since the Unix epoch, by the accepting host's clock.
    pub at_ms: u64,
    /// Text of the command; holds no secret.
    pub command: String,
}

impl Stamp {
    /// A change made now by an operator's command.
    pub fn now(actor: impl Into<String>, command: impl Into<String>) -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let millis = since_epoch.unwrap_or_default().as_millis();
        Self {
            actor: actor.into(),
            at_ms: u64::try_from(millis).unwrap_or(u64::MAX),
            command: command.into(),
        }
    }

    /// The change that a write makes to an object.
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
    /// Names the write that made the change, to settle a lost answer.
    pub writer: Nonce,
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

impl<T> Default for Record<T> {
    fn default() -> Self {
        Self {
            value: None,
            changes: Vec::new(),
        }
    }
}

impl<T> Record<T> {
    /// The next record: a new value and one more change.
    #[must_use]
    pub fn with(mut self, value: Option<T>, change: Change) -> Self {
        self.changes.push(change);
        let surplus = self.changes.len().saturating_sub(KEPT_CHANGES);
        self.changes.drain(..surplus);
        self.value = value;
        self
    }
}

/// A value that is decoded but outside its bounds.
#[derive(Clone, Debug, Eq, thiserror::Error, PartialEq)]
#[error("{field} must be {expected}")]
pub struct OutOfBounds {
    /// Field of the value.
    pub field: &'static str,
    /// Range allowed.
    pub expected: &'static str,
}

/// Result of checking a value's bounds.
pub type Result<T> = std::result::Result<T, OutOfBounds>;

/// Highest rate or burst of a customer, in calls.
pub const MAX_RATE: f64 = 1_000_000.0;

/// Highest weight of a customer.
pub const MAX_WEIGHT: f64 = 1_000.0;

/// Tolerance for the sum of shares, for decimal fractions.
const SHARE_TOLERANCE: f64 = 1e-9;

/// Longest deadline of a service.
pub const MAX_DEADLINE: Duration = Duration::from_secs(24 * 60 * 60);

/// A configuration value with bounds.
pub trait Bounded {
    /// Checks every field against its bounds.
    ///
    /// # Errors
    ///
    /// The first field outside its bounds.
    fn check(&self) -> Result<()>;
}

fn require(holds: bool, field: &'static str, expected: &'static str) -> Result<()> {
    if holds {
        Ok(())
    } else {
        Err(OutOfBounds { field, expected })
    }
}

impl Bounded for Customer {
    fn check(&self) -> Result<()> {
        let calls = 0.0..=MAX_RATE;
        let share_sum: f64 = self.shares.values().sum();
        let shares_positive = self.shares.values().all(|share| *share >= 0.0);
        let shares_fit = shares_positive && share_sum <= 1.0 + SHARE_TOLERANCE;
        require(calls.contains(&self.rate), "rate", "from 0 to 1000000")?;
        require(calls.contains(&self.burst), "burst", "from 0 to 1000000")?;
        let weight_fits = self.weight > 0.0 && self.weight <= MAX_WEIGHT;
        require(weight_fits, "weight", "above 0 and at most 1000")?;
        require(shares_fit, "shares", "from 0 to 1 with a sum of at most 1")
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
        let fits = !self.deadline.is_zero() && self.deadline <= MAX_DEADLINE;
        require(fits, "deadline_ms", "from 1 to 86400000")
    }
}

/// Reference to a customer's key, carried with a call to check it again.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct KeyRef {
    /// Customer whose key it is.
    pub customer: CustomerId,
    /// The key's name.
    pub key: KeyId,
}
