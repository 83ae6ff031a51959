//! Paths, tags and JSON bodies of the platform's object API.

use std::time::Duration;

use http::HeaderValue;
use http::StatusCode;
use serde::Deserialize;
use serde_with::base64::Base64;
use serde_with::serde_as;

use super::exchange::Answer;
use crate::connection::platform::Changes;
use crate::connection::platform::Expect;
use crate::connection::platform::HostStatus;
use crate::connection::platform::Object;
use crate::connection::platform::PlatformError;
use crate::connection::platform::Result;
use crate::ids::Version;

/// Path of the list of endpoint hosts.
pub(super) const HOSTS_PATH: &str = "/hosts";

#[serde_as]
#[derive(Deserialize)]
struct Entry {
    name: String,
    version: Version,
    #[serde_as(as = "Base64")]
    value: Vec<u8>,
    #[serde(default)]
    removed: bool,
}

#[derive(Deserialize)]
struct Listing {
    upto: Version,
    objects: Vec<Entry>,
}

/// Path of one object.
pub(super) fn object_path(kind: &str, name: &str) -> Result<String> {
    check(kind, name, kind)?;
    check(kind, name, name)?;
    Ok(format!("/objects/{kind}/{name}"))
}

/// Path of the list of a kind.
pub(super) fn list_path(kind: &str, prefix: &str) -> Result<String> {
    check(kind, prefix, kind)?;
    if prefix.is_empty() {
        return Ok(format!("/objects/{kind}"));
    }
    check(kind, prefix, prefix)?;
    Ok(format!("/objects/{kind}?prefix={prefix}"))
}

/// Path of the watch of a kind.
pub(super) fn watch_path(kind: &str, since: Version, wait: Duration) -> Result<String> {
    check(kind, "", kind)?;
    let wait_ms = wait.as_millis();
    Ok(format!("/watch/{kind}?since={since}&timeout_ms={wait_ms}"))
}

/// Refuses a part that would change the meaning of a path.
fn check(kind: &str, name: &str, part: &str) -> Result<()> {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || b"-._".contains(&b);
    if !part.is_empty() && part.bytes().all(allowed) {
        return Ok(());
    }
    Err(malformed(
        kind,
        name,
        "not a name of letters, digits, `-`, `.` and `_`",
    ))
}

/// Tag of a version, as a condition carries it.
pub(super) fn tag_of(version: Version) -> String {
    format!("\"{version}\"")
}

/// Version in a tag.
pub(super) fn version_of(tag: &HeaderValue) -> Option<Version> {
    let text = tag.to_str().ok()?;
    let digits = text.strip_prefix('"')?.strip_suffix('"')?;
    digits.parse().ok().map(Version)
}

/// Name and value of the header that carries a condition.
pub(super) fn condition_of(expect: Expect) -> (http::HeaderName, String) {
    match expect {
        Expect::Absent => (http::header::IF_NONE_MATCH, "*".to_owned()),
        Expect::At(version) => (http::header::IF_MATCH, tag_of(version)),
    }
}

/// The object in an answer to a read.
pub(super) fn object(name: &str, answer: &Answer) -> Result<Option<Object>> {
    if answer.status == StatusCode::NOT_FOUND {
        return Ok(None);
    }
    let version = answer
        .version
        .ok_or_else(|| unreadable("the answer to a read has no version"))?;
    Ok(Some(Object {
        name: name.to_owned(),
        version,
        value: answer.body.to_vec(),
    }))
}

/// The objects in an answer to a list or a watch, and the names of removed ones.
pub(super) fn changes(kind: &str, answer: &Answer) -> Result<Changes> {
    let listing: Listing =
        serde_json::from_slice(&answer.body).map_err(|e| malformed(kind, "", &e.to_string()))?;
    let (removed, present): (Vec<_>, Vec<_>) =
        listing.objects.into_iter().partition(|entry| entry.removed);
    Ok(Changes {
        upto: listing.upto,
        objects: present.into_iter().map(Object::from).collect(),
        removed: removed.into_iter().map(|entry| entry.name).collect(),
    })
}

/// The hosts in an answer.
pub(super) fn hosts(answer: &Answer) -> Result<Vec<HostStatus>> {
    serde_json::from_slice(&answer.body).map_err(|e| unreadable(&e.to_string()))
}

impl From<Entry> for Object {
    fn from(entry: Entry) -> Self {
        Self {
            name: entry.name,
            version: entry.version,
            value: entry.value,
        }
    }
}

fn malformed(kind: &str, name: &str, detail: &str) -> PlatformError {
    PlatformError::Malformed {
        kind: kind.to_owned(),
        name: name.to_owned(),
        detail: detail.to_owned(),
    }
}

fn unreadable(detail: &str) -> PlatformError {
    PlatformError::Unavailable(detail.to_owned())
}
