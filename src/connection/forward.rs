//! Forwards a call to the host that owns its program.

use std::net::SocketAddr;
use std::time::Duration;

use chicoryarch_net::Body;
use chicoryarch_net::Client;
use chicoryarch_net::client;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::header;
use hyper::body::Incoming;

use super::headers;
use super::peer::PeerSecret;
use crate::ids::ServiceId;
use crate::request::call::Call;
use crate::request::call::Caller;
use crate::request::outcome::Reason;
use crate::request::outcome::Refusal;
use crate::request::outcome::Result;
use crate::units::Moment;
use crate::version::objects::KeyRef;

/// Path prefix of forwarded calls on the peers' port.
pub const CALL_PREFIX: &str = "/call/";

/// Time after a call's deadline during which the entry host still waits for the
/// owner's refusal.
const REFUSAL_GRACE: Duration = Duration::from_millis(500);

/// Scheduler headers that are returned to the caller.
const RETURNED_HEADERS: [http::HeaderName; 5] = [
    headers::DURABILITY,
    headers::MOVED,
    headers::OUTCOME,
    headers::PROGRAM,
    headers::REPLAYED,
];

/// Sends a call to its owner's peer address and waits for the response head.
///
/// # Errors
///
/// Returns the errors of [`Client::send`].
pub async fn forward(
    client: &Client,
    secret: &PeerSecret,
    to: SocketAddr,
    call: &Call,
) -> client::Result<Response<Body>> {
    let remaining = Moment::now().until(call.deadline);
    let req = build_request(secret, to, call, remaining);
    let response = client.send(to, req, remaining + REFUSAL_GRACE).await?;
    Ok(relay_response(response))
}

/// Whether the host refused the call because it no longer serves the program;
/// another host may serve it.
pub fn is_moved(response: &Response<Body>) -> bool {
    response.headers().contains_key(headers::MOVED)
}

/// Builds the response for the caller from the owner's; the body is streamed.
pub fn relay_response(response: Response<Incoming>) -> Response<Body> {
    let (head, body) = response.into_parts();
    let mut out = Response::new(Body::from(body));
    *out.status_mut() = head.status;
    *out.headers_mut() = headers::forwardable(&head.headers);
    for name in RETURNED_HEADERS {
        if let Some(value) = head.headers.get(&name) {
            out.headers_mut().insert(name, value.clone());
        }
    }
    out
}

fn build_request(
    secret: &PeerSecret,
    to: SocketAddr,
    call: &Call,
    remaining: Duration,
) -> Request<Body> {
    let path = format!("{CALL_PREFIX}{}{}", call.service, call.path);
    let mut req = Request::new(Body::from_bytes(call.body.clone()));
    *req.method_mut() = call.method.clone();
    *req.uri_mut() = path.parse().expect("the path came from a valid URI");
    let fields = req.headers_mut();
    *fields = call.headers.clone();
    fields.insert(header::HOST, headers::value(to));
    fields.insert(header::AUTHORIZATION, headers::value(secret.header()));
    fields.insert(headers::CALLER, headers::value(format_caller(&call.caller)));
    fields.insert(headers::REMAINING_MS, headers::value(remaining.as_millis()));
    if let Some(program) = &call.program {
        fields.insert(headers::PROGRAM, headers::value(program));
    }
    if let Some(ordinal) = call.ordinal {
        fields.insert(headers::CALL, headers::value(ordinal));
    }
    if let Some(after) = call.after {
        fields.insert(headers::AFTER, headers::value(after));
    }
    if let Some(key) = &call.idempotency_key {
        fields.insert(headers::IDEMPOTENCY_KEY, headers::value(key));
    }
    req
}

/// Formats the caller as `customer/key`; empty if the service needs no key.
fn format_caller(caller: &Caller) -> String {
    match caller {
        Caller::Customer(KeyRef { customer, key }) => format!("{customer}/{key}"),
        Caller::Open => String::new(),
    }
}

fn malformed(detail: &str) -> Refusal {
    Refusal::not_run(Reason::BadRequest, format!("forwarded call: {detail}"))
}

/// Reads the caller as identified by the entry host.
///
/// # Errors
///
/// Returns a bad-request refusal if the header is missing or malformed.
pub fn read_caller(fields: &HeaderMap) -> Result<Caller> {
    let value = fields.get(&headers::CALLER);
    let text = value.and_then(|v| v.to_str().ok());
    let text = text.ok_or_else(|| malformed("no caller"))?;
    if text.is_empty() {
        return Ok(Caller::Open);
    }
    let (customer, key) = text.split_once('/').ok_or_else(|| malformed("caller"))?;
    Ok(Caller::Customer(KeyRef {
        customer: customer.parse().map_err(|_| malformed("customer"))?,
        key: key.parse().map_err(|_| malformed("key"))?,
    }))
}

/// Reads the time left until the call's deadline.
///
/// # Errors
///
/// Returns a bad-request refusal if the header is missing or malformed.
pub fn read_remaining(fields: &HeaderMap) -> Result<Duration> {
    let millis = headers::read_one::<u64>(fields, &headers::REMAINING_MS)?;
    let millis = millis.ok_or_else(|| malformed("no remaining time"))?;
    Ok(Duration::from_millis(millis))
}

/// Splits a call's path into the service and the path at the endpoint, which
/// starts with `/` and includes the query.
///
/// # Errors
///
/// Returns an unknown-service refusal if the first segment is not a valid
/// service name.
pub fn split_path(path_and_query: &str) -> Result<(ServiceId, String)> {
    let unknown = || Refusal::not_run(Reason::UnknownService, "the path names no service");
    let path = path_and_query.strip_prefix('/').ok_or_else(unknown)?;
    let end = path.find(['/', '?']).unwrap_or(path.len());
    let (service, rest) = path.split_at(end);
    let service = service.parse().map_err(|_| unknown())?;
    let rest = if rest.starts_with('/') {
        rest.to_owned()
    } else {
        format!("/{rest}")
    };
    Ok((service, rest))
}
