//! Answers that go back to the caller in one piece.

use bytes::Bytes;
use chicoryarch_net::Body;
use http::Response;
use http::StatusCode;
use http::response;
use serde::Serialize;

use super::attempt::Call;
use super::attempt::Place;
use super::context::Gateway;
use crate::connection::platform::Platform;
use crate::platform::endpoints;
use crate::units::Moment;

/// Largest answer that is held until it is whole, in bytes.
pub const MAX_WHOLE_BYTES: usize = 4 << 20;

#[derive(Serialize)]
struct EndedLine<'a> {
    request: &'a str,
    program: Option<&'a str>,
    route: &'a str,
    service: &'a str,
    endpoint: &'a str,
    status: u16,
    spent_ms: u128,
}

/// An endpoint's answer whose body was read to its end.
pub fn whole(head: &response::Parts, body: Bytes) -> Response<Body> {
    let mut response = Response::new(Body::from_bytes(body));
    *response.status_mut() = head.status;
    *response.headers_mut() = endpoints::answer_headers(head);
    response
}

/// Logs and counts a request that an endpoint has answered.
pub fn log_ended<P: Platform>(cx: &Gateway<P>, call: &Call, place: &Place, status: StatusCode) {
    let spent = Moment::now().since(call.received);
    let line = EndedLine {
        request: &call.meta.id,
        program: call.meta.program.as_ref().map(|program| &*program.id),
        route: &call.route.name,
        service: &call.service,
        endpoint: &place.endpoint().id,
        status: status.as_u16(),
        spent_ms: spent.as_millis(),
    };
    cx.log.request("answered", &line);
    cx.metrics.ended("answered", spent);
}
