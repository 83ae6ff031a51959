//! The platform's object API as the scheduler uses it.
//!
//! Values are opaque bytes. Every write is conditional. A write whose answer
//! is lost is settled by reading back and comparing the writer's [`Nonce`],
//! which each stored value carries in its [`Envelope`].

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

/// Largest value of an object, in bytes.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// Why the platform gave no result.
#[derive(Clone, Debug, Eq, thiserror::Error, PartialEq)]
pub enum PlatformError {
    /// The platform no longer holds the changes since the given version.
    #[error("the platform no longer holds the changes that were asked for")]
    HistoryLost,
    /// A stored value cannot be read as the type expected.
    #[error("object {kind}/{name} holds an unreadable value: {detail}")]
    Malformed {
        /// Kind of the object.
        kind: String,
        /// Name of the object.
        name: String,
        /// What the parser reported.
        detail: String,
    },
    /// The value is larger than [`MAX_VALUE_BYTES`].
    #[error("a value of {0} bytes is larger than the platform holds")]
    TooLarge(usize),
    /// No answer in time, or an answer that says the service is out.
    #[error("the platform is unavailable: {0}")]
    Unavailable(String),
    /// A write was sent and neither its answer nor a read back came.
    #[error("the outcome of a platform write is unknown")]
    UnknownOutcome,
}

/// Result of a platform call.
pub type Result<T> = std::result::Result<T, PlatformError>;

/// An object's value with its version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Object {
    /// Name within its kind.
    pub name: String,
    /// Version; grows with every write over all objects.
    pub version: Version,
    /// Stored bytes.
    pub value: Vec<u8>,
}

/// What a conditional write expects to find.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Expect {
    /// No object of that name.
    Absent,
    /// The object at this version.
    At(Version),
}

/// Result of a conditional write that was carried out or refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Written {
    /// The write took effect and gave this version.
    Done(Version),
    /// The object was not at the expected version; nothing changed.
    Conflict,
}

/// A batch of changed objects from a watch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Changes {
    /// Version up to which all changes have been reported.
    pub upto: Version,
    /// The latest state of each changed object.
    pub objects: Vec<Object>,
    /// Names of the objects removed since the given version; empty for a list.
    pub removed: Vec<String>,
}

/// One line of the platform's lagging list of endpoint hosts.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostStatus {
    /// Host name, the prefix of its endpoints' addresses.
    pub host: String,
    /// True once the host is about to go.
    pub leaving: bool,
}

/// The platform's object API.
pub trait Platform: Clone + Send + Sync + 'static {
    /// Reads one object.
    fn read(&self, kind: &str, name: &str) -> impl Future<Output = Result<Option<Object>>> + Send;

    /// Reads all objects of a kind whose names start with `prefix`.
    fn list(&self, kind: &str, prefix: &str) -> impl Future<Output = Result<Changes>> + Send;

    /// Writes one object if it is as expected.
    ///
    /// `nonce` is the one inside `value`'s envelope; a lost answer is settled
    /// by reading back and comparing it.
    fn write(
        &self,
        kind: &str,
        name: &str,
        expect: Expect,
        nonce: Nonce,
        value: Vec<u8>,
    ) -> impl Future<Output = Result<Written>> + Send;

    /// Removes one object if it is at the version.
    fn remove(
        &self,
        kind: &str,
        name: &str,
        at: Version,
    ) -> impl Future<Output = Result<Written>> + Send;

    /// Waits up to `wait` for changes of a kind after `since`.
    fn watch(
        &self,
        kind: &str,
        since: Version,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes>> + Send;

    /// The lagging list of live and leaving endpoint hosts.
    fn hosts(&self) -> impl Future<Output = Result<Vec<HostStatus>>> + Send;
}

/// Random number that names one write of one writer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Nonce(pub u64);

impl Nonce {
    /// A fresh nonce.
    pub fn random() -> Self {
        Self(rand::random())
    }
}

/// A stored value with the nonce of the write that stored it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Envelope<T> {
    /// Names the write.
    pub writer: Nonce,
    /// The value itself.
    pub value: T,
}

/// Reads the nonce of a stored value, if it is an envelope.
pub fn nonce_of(value: &[u8]) -> Option<Nonce> {
    #[derive(Deserialize)]
    struct Header {
        writer: Nonce,
    }
    let header: Header = serde_json::from_slice(value).ok()?;
    Some(header.writer)
}

/// Reads and decodes one object.
///
/// # Errors
///
/// What [`Platform::read`] reports, or [`PlatformError::Malformed`].
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
/// [`PlatformError::Malformed`] if it is not an envelope of a `T`.
pub fn decode<T: DeserializeOwned>(kind: &str, object: &Object) -> Result<T> {
    serde_json::from_slice::<Envelope<T>>(&object.value)
        .map(|envelope| envelope.value)
        .map_err(|e| PlatformError::Malformed {
            kind: kind.to_owned(),
            name: object.name.clone(),
            detail: e.to_string(),
        })
}

/// Encodes and writes one object under a fresh nonce.
///
/// # Errors
///
/// What [`Platform::write`] reports, or [`PlatformError::TooLarge`].
pub async fn write_value<T: Serialize + Sync>(
    platform: &impl Platform,
    kind: &str,
    name: &str,
    expect: Expect,
    value: &T,
) -> Result<Written> {
    let writer = Nonce::random();
    let bytes = serde_json::to_vec(&Envelope { writer, value })
        .expect("typed values always encode as JSON");
    if bytes.len() > MAX_VALUE_BYTES {
        return Err(PlatformError::TooLarge(bytes.len()));
    }
    platform.write(kind, name, expect, writer, bytes).await
}
