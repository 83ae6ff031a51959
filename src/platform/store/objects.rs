//! Objects of the store as they stand in its answers.

use serde::Deserialize;
use serde_json::value::RawValue;

use crate::connection::platform::Object;
use crate::connection::platform::PlatformError;
use crate::connection::platform::Result;
use crate::ids::Version;

#[derive(Deserialize)]
struct Metadata {
    name: String,
    /// Revision of the object's last change.
    revision: u64,
}

#[derive(Deserialize)]
struct StoredObject {
    metadata: Metadata,
    /// What its writer stored.
    spec: Box<RawValue>,
}

#[derive(Deserialize)]
pub(super) struct Page {
    pub(super) items: Vec<Box<RawValue>>,
    /// True if more objects follow the last item by name.
    #[serde(default)]
    pub(super) truncated: bool,
    /// Revision of the store as of this page.
    pub(super) store_revision: u64,
}

#[derive(Deserialize)]
pub(super) struct WatchEvent {
    pub(super) object: Box<RawValue>,
    #[serde(default)]
    pub(super) deleted: bool,
}

#[derive(Deserialize)]
pub(super) struct WatchAnswer {
    pub(super) events: Vec<WatchEvent>,
    pub(super) store_revision: u64,
}

/// The object in the answer to a write or conflict, bare or under `object`.
pub(super) fn stored(body: &[u8]) -> Option<Object> {
    #[derive(Deserialize)]
    struct Wrapped {
        object: Box<RawValue>,
    }
    let text = std::str::from_utf8(body).ok()?;
    readable(text).or_else(|| {
        let wrapped: Wrapped = serde_json::from_str(text).ok()?;
        readable(wrapped.object.get())
    })
}

/// An object, or nothing if another writer left what cannot be read.
pub(super) fn readable(text: &str) -> Option<Object> {
    let stored: StoredObject = serde_json::from_str(text).ok()?;
    Some(Object {
        name: stored.metadata.name,
        version: Version(stored.metadata.revision),
        value: stored.spec.get().as_bytes().to_vec(),
    })
}

pub(super) fn decode(kind: &str, name: &str, body: &[u8]) -> Result<Object> {
    stored(body).ok_or_else(|| malformed(kind, name, &"not an object of the store"))
}

pub(super) fn parse<'a, T: Deserialize<'a>>(kind: &str, name: &str, body: &'a [u8]) -> Result<T> {
    serde_json::from_slice(body).map_err(|e| malformed(kind, name, &e))
}

pub(super) fn malformed(kind: &str, name: &str, detail: &impl ToString) -> PlatformError {
    PlatformError::Malformed {
        kind: kind.to_owned(),
        name: name.to_owned(),
        detail: detail.to_string(),
    }
}
