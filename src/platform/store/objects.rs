//! JSON format of the store's objects and answers.
//!
//! Other programs write to the store too. An object that they left is skipped,
//! whatever it holds, and keeps no other from being read.

use std::borrow::Cow;

use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;

use crate::connection::platform::Changes;
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
struct PageAnswer {
    items: Vec<Box<RawValue>>,
    /// Whether objects with names after the last item's are left out.
    #[serde(default)]
    truncated: bool,
    /// Revision of the store when it built this page.
    store_revision: u64,
}

#[derive(Deserialize)]
struct WatchEvent {
    object: Box<RawValue>,
    #[serde(default)]
    deleted: bool,
}

#[derive(Deserialize)]
struct WatchAnswer {
    events: Vec<WatchEvent>,
    store_revision: u64,
}

/// Part of a list.
#[derive(Clone, Debug, PartialEq)]
pub struct Page {
    /// Objects that could be read.
    pub objects: Vec<Object>,
    /// Name after which the list goes on; `None` at its end.
    pub next: Option<String>,
    /// Version of the store when it built the page.
    pub version: Version,
}

/// Decodes a page of a list; `after` is the name that was asked for.
///
/// # Errors
///
/// Returns [`PlatformError::Malformed`] if the answer is no page, or if it does
/// not show where the list goes on.
pub fn decode_page(kind: &str, after: &str, body: &[u8]) -> Result<Page> {
    let answer: PageAnswer = parse(kind, body)?;
    let objects = answer.items.iter().map(|item| parse_object(item.get()));
    let objects: Vec<Object> = objects.flatten().collect();
    let next = match (answer.truncated, objects.last()) {
        (false, _) => None,
        (true, Some(last)) if last.name != after => Some(last.name.clone()),
        (true, _) => return Err(malformed(kind, after, &"no object to go on from")),
    };
    Ok(Page {
        objects,
        next,
        version: Version(answer.store_revision),
    })
}

/// Decodes the answer to a watch.
///
/// # Errors
///
/// Returns [`PlatformError::Malformed`] if it is none.
pub fn decode_changes(kind: &str, body: &[u8]) -> Result<Changes> {
    let answer: WatchAnswer = parse(kind, body)?;
    let mut changes = Changes::up_to(Version(answer.store_revision));
    for event in answer.events {
        match parse_object(event.object.get()) {
            Some(object) if event.deleted => changes.remove(object.name),
            Some(object) => changes.put(object),
            None => log::debug!("skipping malformed watch event of kind {kind}"),
        }
    }
    Ok(changes)
}

/// Parses the object in the answer to a read, write or conflict, which is the
/// whole body or under `object`.
pub(super) fn parse_answer(body: &[u8]) -> Option<Object> {
    #[derive(Deserialize)]
    struct Wrapped {
        object: Box<RawValue>,
    }
    let text = String::from_utf8_lossy(body);
    parse_object(&text).or_else(|| {
        let wrapped: Wrapped = serde_json::from_str(&text).ok()?;
        parse_object(wrapped.object.get())
    })
}

/// Parses an object; `None` if it does not have the expected fields.
fn parse_object(text: &str) -> Option<Object> {
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

/// Parses an answer. Bytes that JSON does not allow can only be part of a string
/// that another program wrote; they are replaced, since they would fail the
/// whole answer.
fn parse<T: DeserializeOwned>(kind: &str, body: &[u8]) -> Result<T> {
    serde_json::from_slice(body).or_else(|_| {
        let text = replace_invalid(body);
        serde_json::from_str(&text).map_err(|e| malformed(kind, "", &e))
    })
}

fn replace_invalid(body: &[u8]) -> Cow<'_, str> {
    let text = String::from_utf8_lossy(body);
    match text.contains(is_control) {
        true => Cow::Owned(text.replace(is_control, " ")),
        false => text,
    }
}

const fn is_control(c: char) -> bool {
    c.is_ascii_control()
}

/// Returns a name as part of a URL.
pub(super) fn url_encoded(name: &str) -> String {
    let mut encoded = String::with_capacity(name.len());
    for byte in name.bytes() {
        match byte {
            b'A'..=b'Z' | b'a'..=b'z' | b'0'..=b'9' | b'-' | b'.' | b'_' | b'~' => {
                encoded.push(char::from(byte));
            }
            _ => encoded.push_str(&format!("%{byte:02X}")),
        }
    }
    encoded
}

pub(super) fn malformed(kind: &str, name: &str, detail: &impl ToString) -> PlatformError {
    PlatformError::Malformed {
        kind: kind.to_owned(),
        name: name.to_owned(),
        detail: detail.to_string(),
    }
}
