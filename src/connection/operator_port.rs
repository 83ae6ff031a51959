//! The port for operators: queries, commands and metrics.

use std::net::SocketAddr;

use chicoryarch_net::Body;
use chicoryarch_net::server::Handler;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use hyper::body::Incoming;

use super::headers;
use super::platform::Platform;
use crate::process::context::Cx;

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";
/// Media type of the metrics.
const OPENMETRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Answers the requests of operators.
pub struct OperatorPort<P: Platform>(pub Cx<P>);

impl<P: Platform> Clone for OperatorPort<P> {
    fn clone(&self) -> Self {
        Self(Cx::clone(&self.0))
    }
}

impl<P: Platform> Handler for OperatorPort<P> {
    async fn handle(&self, req: Request<Incoming>, _from: SocketAddr) -> Response<Body> {
        match (req.method(), req.uri().path()) {
            (&Method::GET, METRICS_PATH) => self.metrics(),
            _ => {
                let mut response = Response::new(Body::empty());
                *response.status_mut() = StatusCode::NOT_FOUND;
                response
            }
        }
    }
}

impl<P: Platform> OperatorPort<P> {
    fn metrics(&self) -> Response<Body> {
        let mut response = Response::new(Body::from(self.0.metrics.render()));
        response
            .headers_mut()
            .insert(header::CONTENT_TYPE, headers::value(OPENMETRICS));
        response
    }
}
