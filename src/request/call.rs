//! A call as read from its caller, before admission and dispatch.

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

/// Maximum length of an idempotency key, in bytes.
pub const MAX_IDEMPOTENCY_KEY_BYTES: usize = 128;

/// Returned if an idempotency key is not 1 to 128 visible ASCII characters.
#[derive(Clone, Copy, Debug, Eq, thiserror::Error, PartialEq)]
#[error("an idempotency key is 1 to {MAX_IDEMPOTENCY_KEY_BYTES} visible ASCII characters")]
pub struct IdempotencyKeyError;

/// Caller-chosen identifier of a call that may run only once.
///
/// 1 to 128 visible ASCII characters; its scope is the customer.
#[derive(
    Clone, Debug, DeserializeFromStr, Eq, Hash, Ord, PartialEq, PartialOrd, SerializeDisplay,
)]
pub struct IdempotencyKey(Box<str>);

impl IdempotencyKey {
    /// Returns the key as sent by the caller.
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
        let is_valid_length = (1..=MAX_IDEMPOTENCY_KEY_BYTES).contains(&text.len());
        if is_valid_length && text.bytes().all(|b| b.is_ascii_graphic()) {
            Ok(Self(text.into()))
        } else {
            Err(IdempotencyKeyError)
        }
    }
}

/// Identity on whose behalf a call runs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Caller {
    /// A customer, identified by the key sent with the call.
    Customer(KeyRef),
    /// An anonymous caller; the service is open and requires no key.
    Open,
}

impl Caller {
    /// Returns the customer that the call is charged to: the built-in open
    /// customer if the service is open.
    pub fn account(&self) -> &CustomerId {
        match self {
            Self::Customer(key) => &key.customer,
            Self::Open => CustomerId::open(),
        }
    }

    /// Returns the key sent with the call; `None` if the service is open.
    pub fn key(&self) -> Option<&KeyRef> {
        match self {
            Self::Customer(key) => Some(key),
            Self::Open => None,
        }
    }

    /// Returns the customer; `None` if the service is open.
    pub fn customer(&self) -> Option<&CustomerId> {
        self.key().map(|key| &key.customer)
    }
}

/// A call with its complete body.
#[derive(Clone, Debug)]
pub struct Call {
    /// Identity on whose behalf the call runs.
    pub caller: Caller,
    /// HTTP method.
    pub method: Method,
    /// Service that is called.
    pub service: ServiceId,
    /// Path and query after the service segment, with a leading slash.
    pub path: String,
    /// Program that the call belongs to; `None` for a single call.
    pub program: Option<ProgramId>,
    /// Position within the program; `None` if the caller did not set one.
    pub ordinal: Option<Ordinal>,
    /// Last turn of the held conversation whose answer the caller received;
    /// `None` if the caller did not name one.
    pub after: Option<Tip>,
    /// Idempotency key; when set, the call runs only once under this key.
    pub idempotency_key: Option<IdempotencyKey>,
    /// Headers forwarded to the endpoint, without the caller's key and
    /// hop-by-hop headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Time by which the answer must be complete.
    pub deadline: Moment,
}

impl Call {
    /// Returns the customer that the call is charged to.
    pub fn account(&self) -> &CustomerId {
        self.caller.account()
    }

    /// Returns the SHA-256 digest of method, service, path and body.
    ///
    /// A retry under the same idempotency key must have the same digest.
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
