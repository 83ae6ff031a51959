//! Forwards calls of hosts that are cut off from a service to its endpoints.

use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use chicoryarch_net::Body;
use chicoryarch_net::body::BodySender;
use chicoryarch_net::buffered::BufferedBody;
use chicoryarch_net::buffered::ReservedBytes;
use chicoryarch_net::client::ClientError;
use chicoryarch_net::client::Reuse;
use chicoryarch_net::server;
use futures_lite::future;
use http::Request;
use http::Response;
use http_body::Body as _;
use http_body::Frame;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::Serialize;

use super::context::Cx;
use super::context::Gateway;
use super::directory::Endpoint;
use super::paths;
use super::paths::MAX_CUT_OFF_SILENCE;
use super::paths::PathWait;
use crate::connection::headers::end_to_end;
use crate::connection::hop;
use crate::connection::hop::Hop;
use crate::connection::hop::HopOutcome;
use crate::connection::platform::Platform;
use crate::platform::endpoints;
use crate::units::Moment;

/// Divisor of the host's memory that gives the memory of forwarded calls.
const MEMORY_DIVISOR: u64 = 4;
/// Memory that a forwarded call needs for the buffers of its connections, in
/// bytes.
const CALL_MEMORY: u64 = 128 << 10;
/// Number of chunks of an answer that are queued for the other host.
const MAX_QUEUED_CHUNKS: usize = 4;

#[derive(Serialize)]
struct ForwardedLine<'a> {
    request: &'a str,
    from: &'a str,
    endpoint: &'a str,
    service: &'a str,
    outcome: &'a str,
    spent_ms: u128,
}

/// A forwarded call; counts as open until it is dropped.
struct OpenCall(Arc<AtomicUsize>);

impl OpenCall {
    /// Counts a call unless the host has no memory for another.
    fn begin<P>(cx: &Gateway<P>) -> Option<Self> {
        let count = Arc::clone(&cx.forwarded);
        let max = cx.cfg.memory_bytes / MEMORY_DIVISOR / CALL_MEMORY;
        let max = usize::try_from(max).unwrap_or(usize::MAX);
        let open = count.fetch_add(1, Ordering::AcqRel);
        let call = Self(count);
        (open < max).then_some(call)
    }
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Forwards a call to the endpoint that its hop names.
pub async fn handle<P: Platform>(cx: &Cx<P>, mut req: Request<Incoming>) -> Response<Body> {
    let received = Moment::now();
    let Some(hop) = hop::unwrap(&mut req) else {
        return hop::response_without_answer(HopOutcome::UnknownEndpoint);
    };
    let id = endpoints::request_id(req.headers()).into_owned();
    let endpoint = {
        let listed = cx.endpoint_list.lock();
        listed.directory.get(&hop.endpoint).cloned()
    };
    let answer = match &endpoint {
        Some(endpoint) => forward(cx, &hop, endpoint, received, req).await,
        None => Err(HopOutcome::UnknownEndpoint),
    };
    let outcome = answer.as_ref().err();
    let line = ForwardedLine {
        request: &id,
        from: hop.from.as_str(),
        endpoint: &hop.endpoint,
        service: endpoint.as_ref().map_or("", |endpoint| &endpoint.service),
        outcome: outcome.unwrap_or(&HopOutcome::Answered).as_str(),
        spent_ms: Moment::now().since(received).as_millis(),
    };
    cx.log.request("forwarded", &line);
    cx.metrics.forwarded.inc();
    answer.unwrap_or_else(hop::response_without_answer)
}

async fn forward<P: Platform>(
    cx: &Cx<P>,
    hop: &Hop,
    endpoint: &Endpoint,
    received: Moment,
    req: Request<Incoming>,
) -> Result<Response<Body>, HopOutcome> {
    if cx.is_draining() {
        return Err(HopOutcome::Draining);
    }
    let pool = cx.pools.get(&endpoint.service);
    let pool = pool.ok_or(HopOutcome::UnknownEndpoint)?;
    {
        let pool = pool.lock();
        if pool.path.is_cut_off() {
            return Err(HopOutcome::NoPath);
        }
        // The other host may not have heard of its notice.
        if pool.has_left(endpoint) {
            return Err(HopOutcome::NotSent);
        }
    }
    let open = OpenCall::begin(cx).ok_or(HopOutcome::Busy)?;
    let deadline = received + hop.time_left;
    let (req, memory) = receive(cx, req, deadline).await?;
    let now = Moment::now();
    let time_left = now.until(deadline);
    if time_left.is_zero() {
        return Err(HopOutcome::OutOfTime);
    }
    // The other host may not have heard of the evacuation.
    if cx.is_evacuated(&endpoint.data_centre) {
        return Err(HopOutcome::NotSent);
    }
    let req = adapt(req, now.since(received));
    let wait = PathWait::begin(pool);
    let reuse = Reuse {
        max_idle: hop.max_idle.unwrap_or(Duration::MAX),
        only_identified: !hop.is_repeatable,
    };
    let sent = async {
        let to = endpoint.address;
        let sent = cx.client.send_reusing(to, req, time_left, reuse);
        Ok(sent.await)
    };
    let path_lost = async {
        path_lost(&wait, hop, cx.cfg.connect_timeout).await;
        Err(HopOutcome::PathLost)
    };
    match future::or(sent, path_lost).await? {
        Ok(response) => {
            wait.record_heard();
            let call = ForwardedCall {
                hop: hop.clone(),
                wait,
                _open: open,
                _memory: memory,
            };
            Ok(pass_on(cx, response, call))
        }
        Err(ClientError::Connect(_)) => match paths::check(cx, &endpoint.service).await {
            true => Err(HopOutcome::NotSent),
            false => Err(HopOutcome::NoPath),
        },
        Err(ClientError::NotSent(_)) => Err(HopOutcome::NotSent),
        Err(ClientError::Timeout(_)) => Err(HopOutcome::TimedOut),
        Err(ClientError::Lost(_) | ClientError::InvalidStatus(_)) => Err(HopOutcome::Lost),
    }
}

/// Reads the body of a call within the memory for bodies.
async fn receive<P: Platform>(
    cx: &Gateway<P>,
    req: Request<Incoming>,
    deadline: Moment,
) -> Result<(Request<Body>, ReservedBytes), HopOutcome> {
    let (head, body) = req.into_parts();
    let limit = cx.in_force.load().table.limits.max_body_bytes;
    // A kept turn comes with the texts before it.
    let limit = limit.max(cx.cfg.turns.max_chain_bytes);
    let _receiving = server::receive_body(&head.extensions);
    let read = async {
        let read = BufferedBody::read_contiguous(body, &cx.request_memory, limit).await;
        // One that broke off has no reader for the outcome.
        read.map_err(|_| HopOutcome::Busy)
    };
    let expire = async {
        async_io::Timer::after(Moment::now().until(deadline)).await;
        Err(HopOutcome::OutOfTime)
    };
    let (body, memory) = future::or(read, expire).await?;
    let req = Request::from_parts(head, Body::from_bytes(body));
    Ok((req, memory))
}

/// Removes what belongs to the connection between the hosts, and the time
/// spent here.
fn adapt(mut req: Request<Body>, spent: Duration) -> Request<Body> {
    let mut headers = end_to_end(req.headers());
    endpoints::reduce_time_left(&mut headers, spent);
    *req.headers_mut() = headers;
    req
}

/// Waits until this host is cut off too; never ends for a call that may not run
/// again, whose answer may still arrive.
async fn path_lost(wait: &PathWait, hop: &Hop, grace: Duration) {
    if !hop.is_repeatable {
        future::pending::<()>().await;
    }
    wait.path_lost(grace).await;
}

/// A call whose answer is being copied.
struct ForwardedCall {
    hop: Hop,
    wait: PathWait,
    _open: OpenCall,
    _memory: ReservedBytes,
}

fn pass_on<P: Platform>(
    cx: &Cx<P>,
    response: Response<Incoming>,
    call: ForwardedCall,
) -> Response<Body> {
    let (head, body) = response.into_parts();
    let is_empty = body.is_end_stream();
    let (tx, channel) = Body::channel(MAX_QUEUED_CHUNKS);
    let mut response = Response::new(if is_empty { Body::empty() } else { channel });
    *response.status_mut() = head.status;
    *response.headers_mut() = endpoints::answer_headers(&head);
    hop::set_outcome(response.headers_mut(), HopOutcome::Answered);
    if !is_empty {
        cx.spawner.detach(call.copy(body, tx));
    }
    response
}

/// What ends a wait for the next chunk of an answer.
enum Input {
    Closed,
    Frame(Option<Result<Frame<Bytes>, hyper::Error>>),
    PathLost,
}

impl ForwardedCall {
    /// Copies an answer chunk by chunk until it ends, the other host closes or
    /// this one is cut off.
    async fn copy(self, body: Incoming, tx: BodySender) {
        let mut body = pin!(body);
        loop {
            let frame = async { Input::Frame(body.as_mut().frame().await) };
            let closed = async {
                tx.wait_closed().await;
                Input::Closed
            };
            let path_lost = async {
                path_lost(&self.wait, &self.hop, MAX_CUT_OFF_SILENCE).await;
                Input::PathLost
            };
            match future::or(frame, future::or(closed, path_lost)).await {
                Input::Closed => return,
                Input::PathLost => return tx.fail("the path to the endpoint is lost").await,
                Input::Frame(None) => return tx.finish().await,
                Input::Frame(Some(Err(e))) => return tx.fail(e.to_string()).await,
                Input::Frame(Some(Ok(frame))) => {
                    self.wait.record_heard();
                    let Ok(chunk) = frame.into_data() else {
                        continue;
                    };
                    if tx.send(chunk).await.is_err() {
                        return;
                    }
                }
            }
        }
    }
}
