//! Requests to engines about their memory.

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
use crate::version::engine_memory::ReleaseOrder;

/// Path of the list of caches.
const LIST_PATH: &str = "/cache";
/// Path of release orders.
const RELEASE_PATH: &str = "/cache/release";

/// Why an engine gave no answer.
#[derive(Debug, thiserror::Error)]
pub(super) enum EngineError {
    /// The connection or the engine failed.
    #[error(transparent)]
    Client(#[from] ClientError),
    /// The answer broke off or is too large.
    #[error(transparent)]
    Body(#[from] BodyError),
    /// The answer cannot be read.
    #[error("the engine's answer cannot be read: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The engine answered with another status than success.
    #[error("the engine answered with status {0}")]
    Refused(StatusCode),
    /// No whole answer within the time allowed.
    #[error("no answer within {0:?}")]
    Timeout(Duration),
}

/// Result of a request to an engine.
pub(super) type Result<T> = std::result::Result<T, EngineError>;

#[derive(Deserialize)]
struct Contents {
    entries: Vec<Entry>,
}

#[derive(Deserialize)]
struct Entry {
    handle: String,
}

#[derive(Serialize)]
struct Release<'a> {
    handle: &'a CacheHandle,
    fence: Epoch,
}

/// The caches of programs that an engine holds.
///
/// Caches under other names were not made by the scheduler and are passed over.
///
/// # Errors
///
/// [`EngineError`].
pub(super) async fn list<P: Platform>(
    cx: &Cx<P>,
    engine: SocketAddr,
) -> Result<BTreeSet<CacheHandle>> {
    let req = request(Method::GET, LIST_PATH, engine, Body::empty());
    let answer = exchange(cx, engine, req).await?;
    let contents: Contents = serde_json::from_slice(&answer)?;
    let handles = contents.entries.iter().map(|entry| entry.handle.parse());
    Ok(handles.filter_map(std::result::Result::ok).collect())
}

/// Orders an engine to release a cache; repeating it does no harm.
///
/// # Errors
///
/// [`EngineError`]; the engine may have carried the order out.
pub(super) async fn release<P: Platform>(
    cx: &Cx<P>,
    engine: SocketAddr,
    order: &ReleaseOrder,
) -> Result<()> {
    let release = Release {
        handle: &order.handle,
        fence: order.fence,
    };
    let body = serde_json::to_vec(&release).expect("typed values always encode as JSON");
    let req = request(Method::POST, RELEASE_PATH, engine, Body::from(body));
    exchange(cx, engine, req).await.map(|_| ())
}

fn request(method: Method, path: &'static str, engine: SocketAddr, body: Body) -> Request<Body> {
    Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, headers::value(engine))
        .header(header::CONTENT_TYPE, "application/json")
        .body(body)
        .expect("constant request parts are valid")
}

async fn exchange<P: Platform>(
    cx: &Cx<P>,
    engine: SocketAddr,
    req: Request<Body>,
) -> Result<Vec<u8>> {
    let timeout = cx.cfg.endpoints.engine_timeout;
    let limit = async {
        Timer::after(timeout).await;
        Err(EngineError::Timeout(timeout))
    };
    future::or(answer(cx, engine, req), limit).await
}

async fn answer<P: Platform>(
    cx: &Cx<P>,
    engine: SocketAddr,
    req: Request<Body>,
) -> Result<Vec<u8>> {
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
