//! The callers' port.

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

/// Path of the check that the process runs.
const LIVE_PATH: &str = "/health/live";
/// Path of the check that the host wants callers.
const READY_PATH: &str = "/health/ready";
/// Path of the collection of programs.
const PROGRAMS_PATH: &str = "/programs";
/// Prefix of one program's path.
const PROGRAM_PREFIX: &str = "/programs/";

/// First path segments that cannot name a service.
pub const RESERVED_SERVICES: [&str; 2] = ["health", "programs"];

/// Answers the requests of callers.
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
        (&Method::GET, LIVE_PATH) => Ok(health(true)),
        (&Method::GET, READY_PATH) => Ok(health(cx.readiness.is_ready())),
        (&Method::POST, PROGRAMS_PATH) => programs::open(cx, req).await,
        (&Method::DELETE, _) if path.starts_with(PROGRAM_PREFIX) => {
            let id = path[PROGRAM_PREFIX.len()..].to_owned();
            programs::end(cx, req.headers(), &id).await
        }
        _ => entry::serve(cx, req).await,
    }
}

fn health(good: bool) -> Response<Body> {
    let mut response = Response::new(Body::from(if good { "ok\n" } else { "draining\n" }));
    if !good {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}
