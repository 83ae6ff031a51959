//! Interface to the platform's object store.
//!
//! Values are opaque bytes. Every write is conditional. If the answer to a
//! write is lost, the object is read back: the [`Nonce`] in the [`Envelope`] of
//! the stored value shows whether the write took effect.

use std::future::Future;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::ids::Version;

pub mod counters;
pub mod exchange;
pub mod http;
pub mod memory;
pub mod settle;

/// Maximum size of an object's value, in bytes.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// Why a call to the platform failed.
#[derive(Clone, Debug, Eq, thiserror::Error, PartialEq)]
pub enum PlatformError {
    /// The platform no longer stores the changes since the requested version.
    #[error("the platform no longer stores the requested changes")]
    HistoryLost,
    /// A stored value cannot be decoded as the expected type, or the kind, name or
    /// value of a call is not valid.
    #[error("malformed object {kind}/{name}: {detail}")]
    Malformed {
        /// Kind of the object.
        kind: String,
        /// Name of the object.
        name: String,
        /// What is malformed, or the error reported by the parser.
        detail: String,
    },
    /// The value is larger than the platform allows; holds its size in bytes.
    #[error("a value of {0} bytes exceeds the platform's limit")]
    TooLarge(usize),
    /// The platform could not be reached, did not answer in time, or answered with
    /// an error.
    #[error("the platform is unavailable: {0}")]
    Unavailable(String),
    /// The answer to a write was lost, and its outcome could not be determined in
    /// time.
    #[error("the outcome of a platform write is unknown")]
    UnknownOutcome,
}

/// Result of a platform call.
pub type Result<T> = std::result::Result<T, PlatformError>;

/// A stored object.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Object {
    /// Name within its kind.
    pub name: String,
    /// Version of the last write; grows with every write to any object.
    pub version: Version,
    /// Stored value.
    pub value: Vec<u8>,
}

/// Precondition of a conditional write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Expect {
    /// No object of that name exists.
    Absent,
    /// The object exists at this version.
    At(Version),
}

/// Result of a conditional write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Written {
    /// The write took effect. Holds the new version of the object, or after a
    /// removal the version of the store; 0 if the platform does not report it.
    Done(Version),
    /// The object was not at the expected version; nothing changed.
    Conflict,
}

/// Objects from a list, or changes from a watch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Changes {
    /// Version up to which all changes are included.
    pub upto: Version,
    /// Latest state of each object that is listed or has changed.
    pub objects: Vec<Object>,
    /// Names of the objects removed since the requested version; empty for a list.
    pub removed: Vec<String>,
    /// Whether earlier states of these objects were received, too: the watch lags
    /// behind the changes.
    pub has_superseded: bool,
    /// These earlier states, as far as they are small.
    pub superseded: Vec<Object>,
}

/// Size up to which an earlier state of an object is kept, in bytes.
const MAX_SUPERSEDED_BYTES: usize = 4 << 10;

impl Changes {
    /// Creates changes up to a version, without any object.
    pub fn up_to(upto: Version) -> Self {
        Self {
            upto,
            objects: Vec::new(),
            removed: Vec::new(),
            has_superseded: false,
            superseded: Vec::new(),
        }
    }

    /// Adds the state of an object, in place of an earlier one.
    pub fn put(&mut self, object: Object) {
        self.discard(&object.name);
        self.objects.push(object);
    }

    /// Adds the removal of an object, in place of an earlier state.
    pub fn remove(&mut self, name: String) {
        self.discard(&name);
        self.removed.push(name);
    }

    fn discard(&mut self, name: &str) {
        let earlier = self.objects.extract_if(.., |object| object.name == name);
        for object in earlier {
            self.has_superseded = true;
            if object.value.len() <= MAX_SUPERSEDED_BYTES {
                self.superseded.push(object);
            }
        }
        self.removed.retain(|removed| removed != name);
    }
}

/// Entry of the platform's list of endpoint hosts, which may be out of date.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostStatus {
    /// Name of the host; the prefix of its endpoints' addresses.
    pub host: String,
    /// Whether the host is about to be removed.
    pub leaving: bool,
}

/// Client of the platform's object store.
pub trait Platform: Clone + Send + Sync + 'static {
    /// Reads an object; `None` if it does not exist.
    fn read(&self, kind: &str, name: &str) -> impl Future<Output = Result<Option<Object>>> + Send;

    /// Reads all objects of a kind whose names start with `prefix`.
    fn list(&self, kind: &str, prefix: &str) -> impl Future<Output = Result<Changes>> + Send;

    /// Writes an object if its current state matches `expect`.
    ///
    /// `nonce` must be the one in the envelope of `value`: if the answer is lost,
    /// it is compared with the stored one.
    fn write(
        &self,
        kind: &str,
        name: &str,
        expect: Expect,
        nonce: Nonce,
        value: Vec<u8>,
    ) -> impl Future<Output = Result<Written>> + Send;

    /// Removes an object if it is at the given version.
    fn remove(
        &self,
        kind: &str,
        name: &str,
        at: Version,
    ) -> impl Future<Output = Result<Written>> + Send;

    /// Waits up to `wait` for changes to objects of a kind after version `since`.
    fn watch(
        &self,
        kind: &str,
        since: Version,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes>> + Send;

    /// Lists the endpoint hosts; the list may be out of date.
    fn hosts(&self) -> impl Future<Output = Result<Vec<HostStatus>>> + Send;
}

/// Random number that identifies one write.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Nonce(pub u64);

impl Nonce {
    /// Generates a nonce.
    pub fn random() -> Self {
        Self(rand::random())
    }
}

/// Stored form of a value: the value with the nonce of its write.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Envelope<T> {
    /// Nonce of the write that stored the value.
    pub writer: Nonce,
    /// Stored value.
    pub value: T,
}

/// Returns the nonce of a stored value; `None` if it is not an envelope.
pub fn nonce_of(value: &[u8]) -> Option<Nonce> {
    #[derive(Deserialize)]
    struct Header {
        writer: Nonce,
    }
    let header: Header = serde_json::from_slice(value).ok()?;
    Some(header.writer)
}

/// Reads and decodes an object; `None` if it does not exist.
///
/// # Errors
///
/// Returns the errors of [`Platform::read`], or [`PlatformError::Malformed`] if
/// the value cannot be decoded.
pub async fn read_value<T: DeserializeOwned>(
    platform: &impl Platform,
    kind: &str,
    name: &str,
) -> Result<Option<(Version, T)>> {
    let Some(object) = platform.read(kind, name).await? else {
        return Ok(None);
    };
    let value = decode(kind, &object)?;
    Ok(Some((object.version, value)))
}

/// Decodes the value of an object.
///
/// # Errors
///
/// Returns [`PlatformError::Malformed`] if the value is not an envelope of `T`.
pub fn decode<T: DeserializeOwned>(kind: &str, object: &Object) -> Result<T> {
    serde_json::from_slice::<Envelope<T>>(&object.value)
        .map(|envelope| envelope.value)
        .map_err(|e| PlatformError::Malformed {
            kind: kind.to_owned(),
            name: object.name.clone(),
            detail: e.to_string(),
        })
}

/// Encodes and writes an object with a new nonce.
///
/// # Errors
///
/// Returns the errors of [`Platform::write`], or [`PlatformError::TooLarge`].
pub async fn write_value<T: Serialize + Sync>(
    platform: &impl Platform,
    kind: &str,
    name: &str,
    expect: Expect,
    value: &T,
) -> Result<Written> {
    let writer = Nonce::random();
    let bytes = serde_json::to_vec(&Envelope { writer, value })
        .expect("typed values always serialize to JSON");
    if bytes.len() > MAX_VALUE_BYTES {
        return Err(PlatformError::TooLarge(bytes.len()));
    }
    platform.write(kind, name, expect, writer, bytes).await
}
