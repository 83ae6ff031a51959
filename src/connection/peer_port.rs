//! HTTP port for other hosts: control calls and forwarded calls.

use std::net::SocketAddr;
use std::sync::Arc;

use chicoryarch_net::Body;
use chicoryarch_net::body::BodyError;
use chicoryarch_net::buffered::BodyMemory;
use chicoryarch_net::buffered::BufferedBody;
use chicoryarch_net::server;
use chicoryarch_net::server::Handler;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use hyper::body::Incoming;
use jsonrpsee_core::server::RpcModule;

use super::forward;
use super::forward::CALL_PREFIX;
use super::headers;
use super::headers::CallHeaders;
use super::peer::RPC_PATH;
use super::platform::Platform;
use super::problem;
use crate::process::context::Cx;
use crate::request::call::Call;
use crate::request::entry;
use crate::request::outcome::Reason;
use crate::request::outcome::Refusal;
use crate::request::outcome::Result;
use crate::request::receive;
use crate::request::run;
use crate::units::Moment;

/// Capacity of the notification buffer of a control call. It stays empty, since
/// no method has subscriptions.
const NOTIFICATION_CAPACITY: usize = 1;

/// Handles the requests of other hosts.
pub struct PeerPort<P: Platform> {
    /// Context of the host.
    pub cx: Cx<P>,
    /// Control methods of all modules.
    pub module: Arc<RpcModule<()>>,
}

impl<P: Platform> Clone for PeerPort<P> {
    fn clone(&self) -> Self {
        Self {
            cx: Cx::clone(&self.cx),
            module: Arc::clone(&self.module),
        }
    }
}

impl<P: Platform> Handler for PeerPort<P> {
    async fn handle(&self, req: Request<Incoming>, _from: SocketAddr) -> Response<Body> {
        let authorization = req.headers().get(header::AUTHORIZATION);
        if !self
            .cx
            .secret
            .accepts(authorization.map(|value| value.as_bytes()))
        {
            return unauthorized_response();
        }
        let path = req.uri().path();
        if req.method() == Method::POST && path == RPC_PATH {
            let max_bytes = self.cx.cfg.peer.max_message_bytes;
            let memory = &self.cx.door.message_memory;
            return handle_control(&self.module, req, memory, max_bytes).await;
        }
        if path.starts_with(CALL_PREFIX) {
            return match handle_forwarded(&self.cx, req).await {
                Ok(response) => response,
                Err(refusal) => {
                    self.cx.metrics.record_refusal(&refusal);
                    refusal_response(&refusal)
                }
            };
        }
        empty_response(StatusCode::NOT_FOUND)
    }
}

/// Executes a control call with the methods of `module`. A body that is
/// larger than `max_bytes` or not a JSON-RPC request gets status 400, and one
/// that does not fit the memory for messages 503.
pub async fn handle_control<C: Send + Sync + 'static>(
    module: &RpcModule<C>,
    req: Request<Incoming>,
    memory: &BodyMemory,
    max_bytes: usize,
) -> Response<Body> {
    let (head, body) = req.into_parts();
    let receiving = server::receive_body(&head.extensions);
    let received = BufferedBody::read_contiguous(body, memory, max_bytes).await;
    drop(receiving);
    match received {
        Ok((body, _memory)) => execute_control(module, &body).await,
        Err(BodyError::MemoryFull(_)) => empty_response(StatusCode::SERVICE_UNAVAILABLE),
        Err(_) => empty_response(StatusCode::BAD_REQUEST),
    }
}

/// Executes a control call whose body has been received. A body that is not a
/// JSON-RPC request gets status 400.
pub async fn execute_control<C: Send + Sync + 'static>(
    module: &RpcModule<C>,
    body: &[u8],
) -> Response<Body> {
    let Ok(text) = std::str::from_utf8(body) else {
        return empty_response(StatusCode::BAD_REQUEST);
    };
    match module.raw_json_request(text, NOTIFICATION_CAPACITY).await {
        Ok((answer, _notifications)) => json_response(answer.get().to_owned()),
        Err(_) => empty_response(StatusCode::BAD_REQUEST),
    }
}

async fn handle_forwarded<P: Platform>(
    cx: &Cx<P>,
    req: Request<Incoming>,
) -> Result<Response<Body>> {
    let received = Moment::now();
    let (head, body) = req.into_parts();
    let target = head.uri.path_and_query().map_or("", |p| p.as_str());
    // The last `/` of the prefix is kept, since `split_path` expects a leading one.
    let target = &target[CALL_PREFIX.len() - 1..];
    let (service, path) = forward::split_path(target)?;
    let fields = CallHeaders::read(&head.headers)?;
    let call = Call {
        caller: forward::read_caller(&head.headers)?,
        method: head.method,
        service,
        path,
        program: fields.program,
        ordinal: fields.ordinal,
        after: fields.after,
        idempotency_key: fields.idempotency_key,
        deadline: received + forward::read_remaining(&head.headers)?,
        headers: headers::forwardable(&head.headers),
        body: receive::read_body(
            &cx.cfg.caller,
            &cx.door.request_memory,
            &head.extensions,
            body,
        )
        .await?,
    };
    if cx.configuration.service(&call.service).is_none() {
        let detail = "the service is not known to the program's host";
        return Err(Refusal::not_run(Reason::UnknownService, detail));
    }
    run::run(cx, call).await
}

fn refusal_response(refusal: &Refusal) -> Response<Body> {
    let mut response = problem::response(refusal);
    if entry::may_run_elsewhere(refusal) {
        let moved = headers::value(true);
        response.headers_mut().insert(headers::MOVED, moved);
    }
    response
}

/// Response to a host without a valid secret. It carries [`headers::MOVED`],
/// since no call has run.
fn unauthorized_response() -> Response<Body> {
    let mut response = empty_response(StatusCode::UNAUTHORIZED);
    let moved = headers::value(true);
    response.headers_mut().insert(headers::MOVED, moved);
    response
}

fn json_response(text: String) -> Response<Body> {
    let mut response = Response::new(Body::from(text));
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, headers::value("application/json"));
    response
}

fn empty_response(code: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = code;
    response
}
