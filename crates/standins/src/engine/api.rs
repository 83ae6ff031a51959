//! HTTP interface of the model engine stand-in.

use std::net::SocketAddr;
use std::sync::Arc;

use chicoryarch_net::Body;
use chicoryarch_net::Spawner;
use chicoryarch_net::server::Handler;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use serde_json::Value;

use super::completion::Completion;
use super::fences;
use super::orders::Export;
use super::orders::Exported;
use super::orders::Import;
use super::orders::Order;
use super::orders::Release;
use super::shared::Shared;
use crate::digest;
use crate::headers;
use crate::reply;
use crate::reply::Rejection;
use crate::reply::Result;

/// Maximum body size of a completion request, in bytes.
const MAX_PROMPT_BYTES: usize = 64 * 1024 * 1024;
/// Fencing scope of orders that apply to the whole engine.
const ENGINE_SCOPE: &str = "engine";

/// Request handler of the model engine stand-in.
#[derive(Clone, Debug)]
pub(crate) struct Api {
    pub(crate) shared: Arc<Shared>,
    pub(crate) spawner: Spawner,
}

impl Handler for Api {
    async fn handle(&self, req: Request<Incoming>, _from: SocketAddr) -> Response<Body> {
        self.route(req).await.unwrap_or_else(Response::from)
    }
}

impl Api {
    async fn route(&self, req: Request<Incoming>) -> Result<Response<Body>> {
        let path = req.uri().path().to_owned();
        let segments: Vec<&str> = path.split('/').skip(1).collect();
        match (req.method(), segments.as_slice()) {
            (&Method::POST, ["v1", "chat", "completions"]) => self.complete(req).await,
            (&Method::POST, ["cache", "export"]) => self.export(req).await,
            (&Method::POST, ["cache", "import"]) => self.import(req).await,
            (&Method::POST, ["cache", "release"]) => self.release(req).await,
            (&Method::POST, ["orders", name]) => self.accept_order(name, req).await,
            (&Method::PUT, ["switches"]) => {
                let switches = reply::read_json(req.into_body()).await?;
                self.shared.set_switches(switches);
                Ok(reply::empty(StatusCode::NO_CONTENT))
            }
            (&Method::GET, segments) => self.report(segments, req.uri().query()),
            _ => Err(no_such_path()),
        }
    }

    fn report(&self, segments: &[&str], query: Option<&str>) -> Result<Response<Body>> {
        let shared = &self.shared;
        let ok = StatusCode::OK;
        match segments {
            ["cache"] => Ok(reply::json(ok, &shared.cache_contents())),
            ["cache", "events"] => Ok(reply::json(ok, &shared.events_since(parse_since(query)?))),
            ["counts"] => Ok(reply::json(ok, &shared.counts())),
            ["load"] => Ok(reply::json(ok, &shared.load())),
            ["orders"] => Ok(reply::json(ok, &shared.orders())),
            ["runs"] => Ok(reply::json(ok, &shared.runs.runs())),
            ["switches"] => Ok(reply::json(ok, &shared.switches())),
            _ => Err(no_such_path()),
        }
    }

    async fn complete(&self, req: Request<Incoming>) -> Result<Response<Body>> {
        let (head, body) = req.into_parts();
        let bytes = Body::collect(body, MAX_PROMPT_BYTES)
            .await
            .map_err(|e| Rejection::bad_request(e.to_string()))?;
        let completion = Completion {
            req: serde_json::from_slice(&bytes)
                .map_err(|e| Rejection::bad_request(e.to_string()))?,
            headers: head.headers,
            path: head.uri.path().to_owned(),
            body_digest: digest::sha256_hex(&bytes),
        };
        completion.answer(&self.shared, &self.spawner).await
    }

    async fn release(&self, req: Request<Incoming>) -> Result<Response<Body>> {
        let order: Release = reply::read_json(req.into_body()).await?;
        self.check_fence(&order.handle, order.fence)?;
        self.shared.release(&order.handle);
        Ok(reply::empty(StatusCode::NO_CONTENT))
    }

    async fn export(&self, req: Request<Incoming>) -> Result<Response<Body>> {
        let order: Export = reply::read_json(req.into_body()).await?;
        self.check_fence(&order.handle, order.fence)?;
        let messages = self
            .shared
            .export(&order.handle)
            .ok_or_else(|| Rejection::not_found("nothing is held under the handle"))?;
        let exported = Exported {
            handle: order.handle,
            messages,
        };
        Ok(reply::json(StatusCode::OK, &exported))
    }

    async fn import(&self, req: Request<Incoming>) -> Result<Response<Body>> {
        let order: Import = reply::read_json(req.into_body()).await?;
        self.check_fence(&order.handle, order.fence)?;
        self.shared.store_prefix(&order.handle, order.messages);
        Ok(reply::empty(StatusCode::NO_CONTENT))
    }

    async fn accept_order(&self, name: &str, req: Request<Incoming>) -> Result<Response<Body>> {
        let (head, body) = req.into_parts();
        let fence = headers::number(&head.headers, headers::FENCE);
        let body: Value = reply::read_json(body).await?;
        self.shared.check_fence(ENGINE_SCOPE, fence)?;
        self.shared.accept_order(Order {
            name: name.to_owned(),
            fence,
            body,
        });
        Ok(reply::empty(StatusCode::NO_CONTENT))
    }

    fn check_fence(&self, handle: &str, fence: u64) -> Result<()> {
        let scope = fences::scope_of_handle(handle);
        self.shared.check_fence(scope, Some(fence))?;
        Ok(())
    }
}

fn parse_since(query: Option<&str>) -> Result<u64> {
    let Some(query) = query else {
        return Ok(0);
    };
    query
        .strip_prefix("since=")
        .and_then(|digits| digits.parse().ok())
        .ok_or_else(|| Rejection::bad_request("the only parameter is `since`, a number"))
}

fn no_such_path() -> Rejection {
    Rejection::not_found("there is no such path and method")
}
