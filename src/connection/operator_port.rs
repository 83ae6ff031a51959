//! HTTP port for operators: queries, commands and metrics.

use std::net::SocketAddr;
use std::sync::Arc;

use chicoryarch_net::Body;
use chicoryarch_net::body::BodyError;
use chicoryarch_net::buffered::BufferedBody;
use chicoryarch_net::server;
use chicoryarch_net::server::Handler;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use hyper::body::Incoming;
use serde::Serialize;

use super::headers;
use super::peer::HttpPeers;
use super::platform::Platform;
use crate::operator::OperatorSecrets;
use crate::operator::StatementExecutor;
use crate::process::context::Cx;
use crate::process::links::LiveHosts;
use crate::process::operator_backend::OperatorBackend;

/// Path of queries and commands.
pub const OPERATE_PATH: &str = "/operate";
/// Path of the metrics.
pub const METRICS_PATH: &str = "/metrics";
/// Media type of the metrics.
const OPENMETRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
/// Media type of answers to statements.
const JSON: &str = "application/json";
/// Maximum size of a query or command, in bytes.
const MAX_TEXT_BYTES: usize = 64 * 1024;

/// Executes operators' queries and commands on this host.
pub type HostOperator<P> = StatementExecutor<P, HttpPeers, LiveHosts, OperatorBackend<P>>;

/// Handles the requests of operators.
pub struct OperatorPort<P: Platform> {
    /// Context of the host.
    pub cx: Cx<P>,
    /// Executor of queries and commands.
    pub operator: Arc<HostOperator<P>>,
    /// Operators' credentials. `None` if none are configured; queries and commands
    /// are then refused.
    pub secrets: Option<OperatorSecrets>,
}

impl<P: Platform> Clone for OperatorPort<P> {
    fn clone(&self) -> Self {
        Self {
            cx: Cx::clone(&self.cx),
            operator: Arc::clone(&self.operator),
            secrets: self.secrets.clone(),
        }
    }
}

impl<P: Platform> Handler for OperatorPort<P> {
    async fn handle(&self, req: Request<Incoming>, _from: SocketAddr) -> Response<Body> {
        match (req.method(), req.uri().path()) {
            (&Method::GET, METRICS_PATH) => {
                let text = self.cx.metrics.render();
                response(StatusCode::OK, OPENMETRICS, text)
            }
            (&Method::POST, OPERATE_PATH) => self.execute(req).await,
            _ => empty_response(StatusCode::NOT_FOUND),
        }
    }
}

impl<P: Platform> OperatorPort<P> {
    async fn execute(&self, req: Request<Incoming>) -> Response<Body> {
        let authorization = req.headers().get(header::AUTHORIZATION);
        let secrets = self.secrets.as_ref();
        let authorization = authorization.map(|value| value.as_bytes());
        let Some(actor) = secrets.and_then(|s| s.identify_header(authorization)) else {
            return empty_response(StatusCode::UNAUTHORIZED);
        };
        let (head, body) = req.into_parts();
        let receiving = server::receive_body(&head.extensions);
        let received =
            BufferedBody::read_contiguous(body, &self.cx.door.message_memory, MAX_TEXT_BYTES).await;
        drop(receiving);
        let (body, _memory) = match received {
            Ok(received) => received,
            Err(BodyError::MemoryFull(_)) => {
                return empty_response(StatusCode::SERVICE_UNAVAILABLE);
            }
            Err(_) => return empty_response(StatusCode::PAYLOAD_TOO_LARGE),
        };
        let Ok(text) = std::str::from_utf8(&body) else {
            return empty_response(StatusCode::BAD_REQUEST);
        };
        match self.operator.execute(text, &actor.name, &actor.scope).await {
            Ok(answer) => json_response(StatusCode::OK, &answer),
            Err(report) => {
                let code = StatusCode::from_u16(report.failure.status());
                json_response(code.unwrap_or(StatusCode::BAD_REQUEST), &report)
            }
        }
    }
}

fn json_response<T: Serialize>(code: StatusCode, value: &T) -> Response<Body> {
    let text = serde_json::to_string(value).expect("typed answers always serialize to JSON");
    response(code, JSON, text)
}

fn response(code: StatusCode, media_type: &'static str, text: String) -> Response<Body> {
    let mut response = Response::new(Body::from(text));
    *response.status_mut() = code;
    let media_type = headers::value(media_type);
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, media_type);
    response
}

fn empty_response(code: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = code;
    response
}
