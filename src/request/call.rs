//! One call as read from its caller, before anything is decided about it.

use std::fmt;
use std::str::FromStr;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use serde_with::DeserializeFromStr;
use serde_with::SerializeDisplay;
use sha2::Digest;
use sha2::Sha256;

use crate::ids::CustomerId;
use crate::ids::Ordinal;
use crate::ids::ProgramId;
use crate::ids::ServiceId;
use crate::units::Moment;
use crate::version::history::Tip;
use crate::version::objects::KeyRef;

/// Longest idempotency key, in bytes.
pub const MAX_IDEMPOTENCY_KEY_BYTES: usize = 128;

/// Not 1 to 128 visible ASCII characters.
#[derive(Clone, Copy, Debug, Eq, thiserror::Error, PartialEq)]
#[error("an idempotency key is 1 to {MAX_IDEMPOTENCY_KEY_BYTES} visible ASCII characters")]
pub struct IdempotencyKeyError;

/// A caller's name for one call that may not be repeated.
#[derive(
    Clone, Debug, DeserializeFromStr, Eq, Hash, Ord, PartialEq, PartialOrd, SerializeDisplay,
)]
pub struct IdempotencyKey(Box<str>);

impl IdempotencyKey {
    /// The key as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for IdempotencyKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for IdempotencyKey {
    type Err = IdempotencyKeyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let length = (1..=MAX_IDEMPOTENCY_KEY_BYTES).contains(&text.len());
        if length && text.bytes().all(|b| b.is_ascii_graphic()) {
            Ok(Self(text.into()))
        } else {
            Err(IdempotencyKeyError)
        }
    }
}

/// On whose behalf a call runs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Caller {
    /// The customer whose key came with the call.
    Customer(KeyRef),
    /// Nobody in particular: the route is open.
    Open,
}

impl Caller {
    /// The customer that the call is charged to.
    pub fn account(&self) -> &CustomerId {
        match self {
            Self::Customer(key) => &key.customer,
            Self::Open => CustomerId::open(),
        }
    }

    /// The key that came with the call, unless the route is open.
    pub fn key(&self) -> Option<&KeyRef> {
        match self {
            Self::Customer(key) => Some(key),
            Self::Open => None,
        }
    }

    /// The customer, unless the route is open.
    pub fn customer(&self) -> Option<&CustomerId> {
        self.key().map(|key| &key.customer)
    }
}

/// One call with its whole body.
#[derive(Clone, Debug)]
pub struct Call {
    /// On whose behalf it runs.
    pub caller: Caller,
    /// HTTP method.
    pub method: Method,
    /// Service it calls.
    pub service: ServiceId,
    /// Path and query after the service, with a leading slash.
    pub path: String,
    /// Program it belongs to; absent for a program of one call.
    pub program: Option<ProgramId>,
    /// Position within its program, if the caller gives one.
    pub ordinal: Option<Ordinal>,
    /// Last turn of a held conversation whose answer the caller has.
    pub after: Option<Tip>,
    /// Present if the call may not be repeated under this name.
    pub idempotency_key: Option<IdempotencyKey>,
    /// Headers that go on to the endpoint; no key and no connection header.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// When the answer must have ended.
    pub deadline: Moment,
}

impl Call {
    /// The customer that the call is charged to.
    pub fn account(&self) -> &CustomerId {
        self.caller.account()
    }

    /// SHA-256 over method, service, path and body: what a retry must repeat.
    pub fn digest(&self) -> [u8; 32] {
        let mut hash = Sha256::new();
        for part in [self.method.as_str(), self.service.as_str(), &self.path] {
            hash.update(part.len().to_be_bytes());
            hash.update(part);
        }
        hash.update(&self.body);
        hash.finalize().into()
    }
}
