//! Answers that are buffered until complete before they go to the caller.

use chicoryarch_net::Body;
use chicoryarch_net::buffered::BufferedBody;
use http::Response;
use http::StatusCode;
use http::response;
use serde::Serialize;

use super::attempt::Call;
use super::attempt::PlacementGuard;
use super::context::Gateway;
use crate::connection::platform::Platform;
use crate::ids::HostId;
use crate::platform::endpoints;
use crate::units::Moment;

/// Maximum size of the body of a buffered answer.
pub const MAX_BUFFERED_BYTES: usize = 4 << 20;

#[derive(Serialize)]
struct EndedLine<'a> {
    request: &'a str,
    program: Option<&'a str>,
    route: &'a str,
    service: &'a str,
    endpoint: &'a str,
    /// Host through which the call was sent.
    via: Option<&'a HostId>,
    configuration: u64,
    configuration_age_ms: Option<u128>,
    status: u16,
    spent_ms: u128,
}

/// Builds the caller's answer from an endpoint's head and complete body.
pub fn build_response(head: &response::Parts, body: BufferedBody) -> Response<Body> {
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = head.status;
    *response.headers_mut() = endpoints::answer_headers(head);
    response
}

/// Logs and counts a request that an endpoint has answered.
pub fn log_answered<P: Platform>(
    cx: &Gateway<P>,
    call: &Call,
    placement: &PlacementGuard,
    status: StatusCode,
) {
    let spent = Moment::now().since(call.received);
    let line = EndedLine {
        request: &call.meta.id,
        program: call.meta.program.as_ref().map(|program| &*program.id),
        route: &call.route.name,
        service: &call.service,
        endpoint: &placement.endpoint().id,
        via: placement.via(),
        configuration: call.configuration,
        configuration_age_ms: cx.configuration_age_ms(),
        status: status.as_u16(),
        spent_ms: spent.as_millis(),
    };
    cx.log.request("answered", &line);
    cx.metrics.record_request("answered", spent);
}
