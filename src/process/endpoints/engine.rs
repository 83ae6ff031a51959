//! Client of the engines' cache API.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use async_io::Timer;
use chicoryarch_net::Body;
use chicoryarch_net::body::BodyError;
use chicoryarch_net::client::ClientError;
use futures_lite::future;
use http::Method;
use http::Request;
use http::StatusCode;
use http::header;
use serde::Deserialize;
use serde::Serialize;

use crate::connection::headers;
use crate::connection::platform::Platform;
use crate::ids::Epoch;
use crate::process::context::Cx;
use crate::version::engine_memory::CacheHandle;
use crate::version::engine_memory::ReleaseRequest;

/// Path that lists an engine's caches.
const LIST_PATH: &str = "/cache";
/// Path of release requests.
const RELEASE_PATH: &str = "/cache/release";

/// Failure of a request to an engine.
#[derive(Debug, thiserror::Error)]
pub(super) enum EngineError {
    /// The request failed before a response arrived.
    #[error(transparent)]
    Client(#[from] ClientError),
    /// The response body is truncated or too large.
    #[error(transparent)]
    Body(#[from] BodyError),
    /// The response body cannot be decoded.
    #[error("cannot decode the engine's response: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The engine responded with a status other than success.
    #[error("engine responded with status {0}")]
    Refused(StatusCode),
    /// The response was not complete within the timeout.
    #[error("engine did not respond within {0:?}")]
    Timeout(Duration),
}

/// Result of a request to an engine.
pub(super) type Result<T> = std::result::Result<T, EngineError>;

#[derive(Deserialize)]
struct CacheList {
    entries: Vec<CacheEntry>,
}

#[derive(Deserialize)]
struct CacheEntry {
    handle: String,
}

#[derive(Serialize)]
struct ReleaseBody<'a> {
    handle: &'a CacheHandle,
    fence: Epoch,
}

/// Returns the caches of programs that an engine holds.
///
/// Handles that do not parse are not from the scheduler and are skipped.
///
/// # Errors
///
/// [`EngineError`].
pub(super) async fn list_caches<P: Platform>(
    cx: &Cx<P>,
    engine: SocketAddr,
) -> Result<BTreeSet<CacheHandle>> {
    let req = build_request(Method::GET, LIST_PATH, engine, Body::empty());
    let body = send_with_timeout(cx, engine, req).await?;
    let list: CacheList = serde_json::from_slice(&body)?;
    let handles = list.entries.iter().map(|entry| entry.handle.parse());
    Ok(handles.filter_map(std::result::Result::ok).collect())
}

/// Requests an engine to release a cache; the request is idempotent.
///
/// # Errors
///
/// [`EngineError`]; the engine may still have released the cache.
pub(super) async fn release_cache<P: Platform>(
    cx: &Cx<P>,
    engine: SocketAddr,
    request: &ReleaseRequest,
) -> Result<()> {
    let release = ReleaseBody {
        handle: &request.handle,
        fence: request.fence,
    };
    let body = serde_json::to_vec(&release).expect("typed values always encode as JSON");
    let req = build_request(Method::POST, RELEASE_PATH, engine, Body::from(body));
    send_with_timeout(cx, engine, req).await.map(|_| ())
}

fn build_request(
    method: Method,
    path: &'static str,
    engine: SocketAddr,
    body: Body,
) -> Request<Body> {
    Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, headers::value(engine))
        .header(header::CONTENT_TYPE, "application/json")
        .body(body)
        .expect("constant request parts are valid")
}

async fn send_with_timeout<P: Platform>(
    cx: &Cx<P>,
    engine: SocketAddr,
    req: Request<Body>,
) -> Result<Vec<u8>> {
    let timeout = cx.cfg.endpoints.engine_timeout;
    let expiry = async {
        Timer::after(timeout).await;
        Err(EngineError::Timeout(timeout))
    };
    future::or(send(cx, engine, req), expiry).await
}

async fn send<P: Platform>(cx: &Cx<P>, engine: SocketAddr, req: Request<Body>) -> Result<Vec<u8>> {
    let cfg = &cx.cfg.endpoints;
    let response = cx.client.send(engine, req, cfg.engine_timeout).await?;
    let status = response.status();
    let body = Body::collect(response.into_body(), cfg.max_list_bytes).await?;
    if status.is_success() {
        Ok(body.to_vec())
    } else {
        Err(EngineError::Refused(status))
    }
}
