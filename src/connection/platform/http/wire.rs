//! Paths, entity tags and JSON bodies of the platform's object API.

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

/// Returns the path of an object.
pub(super) fn object_path(kind: &str, name: &str) -> Result<String> {
    check_segment(kind, name, kind)?;
    check_segment(kind, name, name)?;
    Ok(format!("/objects/{kind}/{name}"))
}

/// Returns the path to list the objects of a kind, optionally by name prefix.
pub(super) fn list_path(kind: &str, prefix: &str) -> Result<String> {
    check_segment(kind, prefix, kind)?;
    if prefix.is_empty() {
        return Ok(format!("/objects/{kind}"));
    }
    check_segment(kind, prefix, prefix)?;
    Ok(format!("/objects/{kind}?prefix={prefix}"))
}

/// Returns the path to watch the objects of a kind.
pub(super) fn watch_path(kind: &str, since: Version, wait: Duration) -> Result<String> {
    check_segment(kind, "", kind)?;
    let wait_ms = wait.as_millis();
    Ok(format!("/watch/{kind}?since={since}&timeout_ms={wait_ms}"))
}

/// Rejects names with characters that could change the meaning of a path.
fn check_segment(kind: &str, name: &str, part: &str) -> Result<()> {
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

/// Formats a version as an entity tag.
pub(super) fn format_etag(version: Version) -> String {
    format!("\"{version}\"")
}

/// Parses the version in an entity tag.
pub(super) fn parse_etag(tag: &HeaderValue) -> Option<Version> {
    let text = tag.to_str().ok()?;
    let digits = text.strip_prefix('"')?.strip_suffix('"')?;
    digits.parse().ok().map(Version)
}

/// Returns the name and value of the header for a precondition.
pub(super) fn precondition_header(expect: Expect) -> (http::HeaderName, String) {
    match expect {
        Expect::Absent => (http::header::IF_NONE_MATCH, "*".to_owned()),
        Expect::At(version) => (http::header::IF_MATCH, format_etag(version)),
    }
}

/// Parses the answer to a read; `None` if the object does not exist.
pub(super) fn parse_object(name: &str, answer: &Answer) -> Result<Option<Object>> {
    if answer.status == StatusCode::NOT_FOUND {
        return Ok(None);
    }
    let version = answer
        .version
        .ok_or_else(|| unavailable("the answer to a read has no version"))?;
    Ok(Some(Object {
        name: name.to_owned(),
        version,
        value: answer.body.to_vec(),
    }))
}

/// Parses the answer to a list or watch.
pub(super) fn parse_changes(kind: &str, answer: &Answer) -> Result<Changes> {
    let listing: Listing =
        serde_json::from_slice(&answer.body).map_err(|e| malformed(kind, "", &e.to_string()))?;
    let (removed, present): (Vec<_>, Vec<_>) =
        listing.objects.into_iter().partition(|entry| entry.removed);
    Ok(Changes {
        upto: listing.upto,
        objects: present.into_iter().map(Object::from).collect(),
        removed: removed.into_iter().map(|entry| entry.name).collect(),
        has_superseded: false,
        superseded: Vec::new(),
    })
}

/// Parses the list of endpoint hosts.
pub(super) fn parse_hosts(answer: &Answer) -> Result<Vec<HostStatus>> {
    serde_json::from_slice(&answer.body).map_err(|e| unavailable(&e.to_string()))
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

fn unavailable(detail: &str) -> PlatformError {
    PlatformError::Unavailable(detail.to_owned())
}
