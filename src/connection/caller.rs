//! HTTP port for callers.

use std::net::SocketAddr;

use chicoryarch_net::Body;
use chicoryarch_net::server::Handler;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;

use super::platform::Platform;
use super::problem;
use crate::process::context::Cx;
use crate::request::entry;
use crate::request::outcome::Result;
use crate::request::programs;

/// Path of the liveness check.
const LIVE_PATH: &str = "/health/live";
/// Path of the readiness check, which fails while the host does not accept
/// calls.
const READY_PATH: &str = "/health/ready";
/// Path at which programs are created.
const PROGRAMS_PATH: &str = "/programs";
/// Prefix of a program's path; the rest is the program's id.
const PROGRAM_PREFIX: &str = "/programs/";

/// Service names that are not allowed, because the callers' port uses them as
/// first path segments.
pub const RESERVED_SERVICES: [&str; 2] = ["health", "programs"];

/// Handles the requests of callers.
pub struct CallerPort<P: Platform>(pub Cx<P>);

impl<P: Platform> Clone for CallerPort<P> {
    fn clone(&self) -> Self {
        Self(Cx::clone(&self.0))
    }
}

impl<P: Platform> Handler for CallerPort<P> {
    async fn handle(&self, req: Request<Incoming>, _from: SocketAddr) -> Response<Body> {
        match route(&self.0, req).await {
            Ok(response) => response,
            Err(refusal) => {
                self.0.metrics.record_refusal(&refusal);
                problem::response(&refusal)
            }
        }
    }
}

async fn route<P: Platform>(cx: &Cx<P>, req: Request<Incoming>) -> Result<Response<Body>> {
    let path = req.uri().path();
    match (req.method(), path) {
        (&Method::GET, LIVE_PATH) => Ok(health_response(true)),
        (&Method::GET, READY_PATH) => Ok(health_response(cx.readiness.is_ready())),
        (&Method::POST, PROGRAMS_PATH) => programs::open(cx, req).await,
        (&Method::DELETE, _) if path.starts_with(PROGRAM_PREFIX) => {
            let id = path[PROGRAM_PREFIX.len()..].to_owned();
            programs::end(cx, req.headers(), &id).await
        }
        _ => entry::serve(cx, req).await,
    }
}

fn health_response(is_healthy: bool) -> Response<Body> {
    let mut response = Response::new(Body::from(if is_healthy { "ok\n" } else { "draining\n" }));
    if !is_healthy {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}
