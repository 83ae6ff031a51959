//! The port for operators: queries, commands and metrics.

use std::net::SocketAddr;
use std::sync::Arc;

use chicoryarch_net::Body;
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
use crate::process::backend::Backend;
use crate::process::context::Cx;
use crate::process::links::KnownHosts;

/// Path of queries and commands.
pub const OPERATE_PATH: &str = "/operate";
/// Path of the metrics.
pub const METRICS_PATH: &str = "/metrics";
/// Media type of the metrics.
const OPENMETRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
/// Media type of answers.
const JSON: &str = "application/json";
/// Longest query or command, in bytes.
const MAX_TEXT_BYTES: usize = 64 * 1024;

/// Executes operators' statements at this host.
pub type HostOperator<P> = StatementExecutor<P, HttpPeers, KnownHosts, Backend<P>>;

/// Answers the requests of operators.
pub struct OperatorPort<P: Platform> {
    /// Context of the host.
    pub cx: Cx<P>,
    /// Executes statements.
    pub operator: Arc<HostOperator<P>>,
    /// Operators' credentials; absent if the settings name none.
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
            (&Method::POST, OPERATE_PATH) => self.operate(req).await,
            _ => status(StatusCode::NOT_FOUND),
        }
    }
}

impl<P: Platform> OperatorPort<P> {
    async fn operate(&self, req: Request<Incoming>) -> Response<Body> {
        let sent = req.headers().get(header::AUTHORIZATION);
        let secrets = self.secrets.as_ref();
        let sent = sent.map(|value| value.as_bytes());
        let Some(actor) = secrets.and_then(|s| s.identify_header(sent)) else {
            return status(StatusCode::UNAUTHORIZED);
        };
        let Ok(body) = Body::collect(req.into_body(), MAX_TEXT_BYTES).await else {
            return status(StatusCode::PAYLOAD_TOO_LARGE);
        };
        let Ok(text) = std::str::from_utf8(&body) else {
            return status(StatusCode::BAD_REQUEST);
        };
        match self.operator.execute(text, &actor.name, &actor.scope).await {
            Ok(answer) => json(StatusCode::OK, &answer),
            Err(report) => {
                let code = StatusCode::from_u16(report.failure.status());
                json(code.unwrap_or(StatusCode::BAD_REQUEST), &report)
            }
        }
    }
}

fn json<T: Serialize>(code: StatusCode, value: &T) -> Response<Body> {
    let text = serde_json::to_string(value).expect("typed answers always encode as JSON");
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

fn status(code: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = code;
    response
}
