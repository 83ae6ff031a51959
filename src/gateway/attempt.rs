//! One attempt at one endpoint.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chicoryarch_net::Body;
use chicoryarch_net::client::ClientError;
use http::Method;
use http::Response;
use http::response;
use hyper::body::Incoming;
use parking_lot::Mutex;

use super::call::CallMeta;
use super::call::Urgency;
use super::context::Gateway;
use super::directory::Endpoint;
use super::placing::Ended;
use super::placing::Placed;
use super::placing::Pool;
use super::routes::Customer;
use super::routes::Route;
use super::routes::RouteKind;
use crate::connection::platform::Platform;
use crate::platform::endpoints;
use crate::platform::endpoints::Verdict;
use crate::units::Moment;

/// A caller's request on its way to endpoints.
#[derive(Debug)]
pub struct Call {
    /// What the caller said.
    pub meta: Arc<CallMeta>,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub target: Box<str>,
    /// Body.
    pub body: Bytes,
    /// Route that the call takes.
    pub route: Arc<Route>,
    /// Service that runs it.
    pub service: Arc<str>,
    /// Holder of the caller's key, unless the route is public.
    pub customer: Option<Arc<Customer>>,
    /// When it was received.
    pub received: Moment,
    /// When the caller is answered at the latest.
    pub deadline: Moment,
    /// When the caller itself gives up.
    pub gives_up: Moment,
    /// Rank at the endpoint.
    pub urgency: Option<Urgency>,
}

/// A request counted at an endpoint until it has ended.
#[derive(Debug)]
pub struct Place {
    pool: Arc<Mutex<Pool>>,
    placed: Placed,
    started: Moment,
    ended: Ended,
}

impl Place {
    /// Wraps a choice of the pool.
    pub fn new(pool: Arc<Mutex<Pool>>, placed: Placed) -> Self {
        Self {
            pool,
            placed,
            started: Moment::now(),
            ended: Ended::Abandoned,
        }
    }

    /// The endpoint.
    pub fn endpoint(&self) -> &Arc<Endpoint> {
        &self.placed.endpoint
    }

    /// Notes how the request ended.
    pub fn end(mut self, ended: Ended) {
        self.ended = ended;
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let now = Moment::now();
        let spent = now.since(self.started);
        let mut pool = self.pool.lock();
        pool.ended(&self.placed, self.ended, spent, now);
    }
}

/// How an attempt went, up to the head of the answer.
#[derive(Debug)]
pub enum Attempted {
    /// The endpoint's answer to this request.
    Answered(Box<Response<Incoming>>),
    /// The endpoint did not and will not run the request.
    NotRun {
        /// Why, for the log.
        why: String,
        /// True if the endpoint had no room.
        is_full: bool,
    },
    /// The time is up; the endpoint may have run the request.
    TimedOut,
    /// The request may have run, and there is no answer.
    Unknown {
        /// Why, for the log.
        why: String,
    },
}

/// Sends a call to an endpoint and waits for the head of its answer.
pub async fn send<P: Platform>(
    cx: &Gateway<P>,
    call: &Call,
    place: &Place,
    resume_after: Option<u64>,
    limit: Moment,
) -> Attempted {
    let now = Moment::now();
    let left = now.until(limit);
    let attempt = endpoints::Attempt {
        method: &call.method,
        target: &call.target,
        headers: &call.meta.forwarded,
        body: &call.body,
        endpoint: place.endpoint(),
        customer: call.customer.as_ref().map(|customer| &*customer.name),
        time_left: now.until(call.gives_up).min(left.max(MIN_TIME)),
        urgency: call.urgency,
        resume_after,
    };
    let req = match endpoints::request(&attempt) {
        Ok(req) => req,
        Err(e) => {
            return Attempted::NotRun {
                why: format!("the request cannot be built: {e}"),
                is_full: false,
            };
        }
    };
    let to = place.endpoint().address;
    let sent = match call.route.kind {
        // A connection that the endpoint dropped meanwhile would lose the call.
        RouteKind::Once => {
            cx.client
                .send_recent(to, req, left, MAX_IDLE_FOR_ONCE)
                .await
        }
        _ => cx.client.send(to, req, left).await,
    };
    match sent {
        Ok(response) => judge(call, place, response),
        Err(e) if e.is_not_sent() => Attempted::NotRun {
            why: e.to_string(),
            is_full: false,
        },
        Err(ClientError::Timeout(_)) => Attempted::TimedOut,
        Err(e) => Attempted::Unknown { why: e.to_string() },
    }
}

/// Longest idle time of a connection on which a call that may not be repeated
/// is sent. Endpoints at times drop idle connections without notice.
const MAX_IDLE_FOR_ONCE: Duration = Duration::from_secs(1);
/// Shortest time that an endpoint is given.
const MIN_TIME: Duration = Duration::from_millis(1);

fn judge(call: &Call, place: &Place, response: Response<Incoming>) -> Attempted {
    let (head, body) = response.into_parts();
    let verdict = endpoints::verdict(&head, &call.meta.id);
    if verdict != Verdict::Foreign {
        tell_load(place, &head);
    }
    match verdict {
        Verdict::Answer => Attempted::Answered(Box::new(Response::from_parts(head, body))),
        Verdict::NotRun { is_other_endpoint } => Attempted::NotRun {
            why: format!("the endpoint answered {}", head.status),
            is_full: !is_other_endpoint,
        },
        Verdict::Foreign => Attempted::Unknown {
            why: "the answer belongs to another request".to_owned(),
        },
        Verdict::Unsigned => Attempted::Unknown {
            why: "the answer lacks the endpoint's digest".to_owned(),
        },
    }
}

fn tell_load(place: &Place, head: &response::Parts) {
    if let Some(load) = endpoints::load(head) {
        let mut pool = place.pool.lock();
        pool.told(&place.endpoint().id, load, Moment::now());
    }
}

/// Reads a whole body of at most `limit` bytes before the deadline.
///
/// # Errors
///
/// Why the body is not whole.
pub async fn read_whole(
    body: Incoming,
    limit: usize,
    deadline: Moment,
) -> std::result::Result<Bytes, String> {
    let read = async {
        Body::collect(body, limit)
            .await
            .map_err(|e| format!("the answer broke off: {e}"))
    };
    let expire = async {
        async_io::Timer::after(Moment::now().until(deadline)).await;
        Err("the answer did not end in time".to_owned())
    };
    futures_lite::future::or(read, expire).await
}
