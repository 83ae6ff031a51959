//! JSON format of the store's objects and answers.

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
    /// The stored value, as raw JSON.
    spec: Box<RawValue>,
}

#[derive(Deserialize)]
pub(super) struct Page {
    pub(super) items: Vec<Box<RawValue>>,
    /// Whether objects with names after the last item's are left out.
    #[serde(default)]
    pub(super) truncated: bool,
    /// Revision of the store when it built this page.
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

/// Parses the object in the answer to a read, write or conflict, which is the
/// whole body or under `object`.
pub(super) fn parse_answer(body: &[u8]) -> Option<Object> {
    #[derive(Deserialize)]
    struct Wrapped {
        object: Box<RawValue>,
    }
    let text = std::str::from_utf8(body).ok()?;
    parse_object(text).or_else(|| {
        let wrapped: Wrapped = serde_json::from_str(text).ok()?;
        parse_object(wrapped.object.get())
    })
}

/// Parses an object; `None` if it does not have the expected fields, since other
/// programs write to the store too.
pub(super) fn parse_object(text: &str) -> Option<Object> {
    let stored: StoredObject = serde_json::from_str(text).ok()?;
    Some(Object {
        name: stored.metadata.name,
        version: Version(stored.metadata.revision),
        value: stored.spec.get().as_bytes().to_vec(),
    })
}

pub(super) fn decode(kind: &str, name: &str, body: &[u8]) -> Result<Object> {
    parse_answer(body).ok_or_else(|| malformed(kind, name, &"not an object of the store"))
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
