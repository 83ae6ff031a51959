//! Parser of the object calls of the platform stand-in.

use std::time::Duration;

use chicoryarch_net::Body;
use chicoryarch_net::body::BodyError;
use http::HeaderMap;
use http::Method as HttpMethod;
use http::Request;
use http::StatusCode;
use http::header;
use hyper::body::Incoming;

use super::counts::Method;
use super::store::Condition;
use super::store::MAX_VALUE_BYTES;
use crate::headers;
use crate::reply::Rejection;
use crate::reply::Result;

/// Maximum wait of a watch; longer ones are shortened.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(60);
/// Maximum number of bytes read of an oversized body before it is refused.
const MAX_READ_BYTES: usize = 8 * MAX_VALUE_BYTES;

/// Requested operation with its parameters.
#[derive(Debug)]
pub(crate) enum Action {
    /// Lists the endpoint hosts.
    Hosts,
    /// Lists the objects whose names start with a prefix.
    List { prefix: String },
    /// Reads an object.
    Read { name: String },
    /// Removes an object.
    Remove { name: String, condition: Condition },
    /// Returns the changes after a version, waiting for the first one.
    Watch { since: u64, wait: Duration },
    /// Stores an object.
    Write {
        name: String,
        condition: Condition,
        value: Vec<u8>,
    },
}

/// A call of the object API.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) client: String,
    pub(crate) kind: String,
    pub(crate) action: Action,
}

impl Call {
    /// Parses a request, including its body.
    pub(crate) async fn parse(req: Request<Incoming>) -> Result<Self> {
        let (head, body) = req.into_parts();
        let client = headers::text(&head.headers, headers::HOST)
            .unwrap_or_default()
            .to_owned();
        let query = head.uri.query().unwrap_or_default();
        let segments: Vec<&str> = head.uri.path().split('/').skip(1).collect();
        let (kind, action) = match (&head.method, segments.as_slice()) {
            (&HttpMethod::GET, ["hosts"]) => ("", Action::Hosts),
            (&HttpMethod::GET, ["objects", kind]) => (*kind, parse_list(query)?),
            (&HttpMethod::GET, ["watch", kind]) => (*kind, parse_watch(query)?),
            (&HttpMethod::GET, ["objects", kind, name]) => (*kind, read_action(name)),
            (&HttpMethod::DELETE, ["objects", kind, name]) => {
                (*kind, remove_action(name, &head.headers)?)
            }
            (&HttpMethod::PUT, ["objects", kind, name]) => {
                let condition = parse_condition(&head.headers)?;
                (*kind, parse_write(name, condition, body).await?)
            }
            _ => return Err(Rejection::not_found("there is no such path and method")),
        };
        check_names(&segments)?;
        Ok(Self {
            client,
            kind: kind.to_owned(),
            action,
        })
    }

    /// Returns the method under which the call is counted.
    pub(crate) fn method(&self) -> Method {
        match self.action {
            Action::Hosts => Method::Hosts,
            Action::List { .. } => Method::List,
            Action::Read { .. } => Method::Read,
            Action::Remove { .. } => Method::Remove,
            Action::Watch { .. } => Method::Watch,
            Action::Write { .. } => Method::Write,
        }
    }

    /// Whether the call stores or removes an object.
    pub(crate) fn is_write(&self) -> bool {
        matches!(self.method(), Method::Remove | Method::Write)
    }
}

/// Refuses path segments that are not valid names.
fn check_names(segments: &[&str]) -> Result<()> {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || b"-._".contains(&b);
    let valid = |name: &&str| !name.is_empty() && name.bytes().all(allowed);
    if segments.iter().all(valid) {
        return Ok(());
    }
    let detail = "a name holds letters, digits, `-`, `.` and `_`";
    Err(Rejection::bad_request(detail))
}

fn read_action(name: &str) -> Action {
    Action::Read {
        name: name.to_owned(),
    }
}

fn remove_action(name: &str, headers: &HeaderMap) -> Result<Action> {
    Ok(Action::Remove {
        name: name.to_owned(),
        condition: parse_condition(headers)?,
    })
}

async fn parse_write(name: &str, condition: Condition, body: Incoming) -> Result<Action> {
    let too_large = || {
        let detail = format!("a value holds at most {MAX_VALUE_BYTES} bytes");
        Rejection::new(StatusCode::PAYLOAD_TOO_LARGE, detail)
    };
    let value = match Body::collect(body, MAX_READ_BYTES).await {
        Ok(value) => value,
        Err(BodyError::TooLarge(_)) => return Err(too_large()),
        Err(e) => return Err(Rejection::bad_request(e.to_string())),
    };
    if value.len() > MAX_VALUE_BYTES {
        return Err(too_large());
    }
    Ok(Action::Write {
        name: name.to_owned(),
        condition,
        value: value.to_vec(),
    })
}

fn parse_list(query: &str) -> Result<Action> {
    let mut prefix = String::new();
    for (name, value) in parse_pairs(query) {
        match name {
            "prefix" => value.clone_into(&mut prefix),
            _ => return Err(unknown_parameter(name)),
        }
    }
    Ok(Action::List { prefix })
}

fn parse_watch(query: &str) -> Result<Action> {
    let mut since = 0;
    let mut wait_ms = 0;
    for (name, value) in parse_pairs(query) {
        match name {
            "since" => since = parse_number(value)?,
            "timeout_ms" => wait_ms = parse_number(value)?,
            _ => return Err(unknown_parameter(name)),
        }
    }
    let wait = Duration::from_millis(wait_ms).min(MAX_WATCH_WAIT);
    Ok(Action::Watch { since, wait })
}

fn parse_pairs(query: &str) -> impl Iterator<Item = (&str, &str)> {
    query
        .split('&')
        .filter(|pair| !pair.is_empty())
        .map(|pair| pair.split_once('=').unwrap_or((pair, "")))
}

fn parse_number(text: &str) -> Result<u64> {
    let invalid = |_| Rejection::bad_request(format!("`{text}` is not a number"));
    text.parse().map_err(invalid)
}

fn unknown_parameter(name: &str) -> Rejection {
    Rejection::bad_request(format!("there is no parameter `{name}`"))
}

/// Parses the condition, which every write must carry.
fn parse_condition(headers: &HeaderMap) -> Result<Condition> {
    if let Some(tag) = headers::text(headers, header::IF_MATCH.as_str()) {
        return parse_entity_tag(tag).map(Condition::At);
    }
    match headers::text(headers, header::IF_NONE_MATCH.as_str()) {
        Some("*") => Ok(Condition::Absent),
        Some(_) => Err(Rejection::bad_request("If-None-Match takes only `*`")),
        None => Err(Rejection::new(
            StatusCode::PRECONDITION_REQUIRED,
            "a write needs If-Match or If-None-Match",
        )),
    }
}

fn parse_entity_tag(tag: &str) -> Result<u64> {
    let inner = tag.strip_prefix('"').and_then(|t| t.strip_suffix('"'));
    inner
        .and_then(|digits| digits.parse().ok())
        .ok_or_else(|| Rejection::bad_request(format!("`{tag}` is not the tag of a version")))
}
