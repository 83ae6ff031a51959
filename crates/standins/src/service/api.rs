//! HTTP interface of the plain service stand-in.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use chicoryarch_net::Body;
use chicoryarch_net::Spawner;
use chicoryarch_net::server::Handler;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use hyper::body::Incoming;
use parking_lot::Mutex;

use super::answer;
use super::answer::Answer;
use super::switches::Outcome;
use super::switches::Switches;
use crate::headers;
use crate::reply;
use crate::reply::Rejection;
use crate::reply::Result;
use crate::runs::End;
use crate::runs::RunLog;

/// Maximum body size of a call, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;
/// Bytes missing from a truncated answer, compared to its content length.
const MISSING_BYTES: usize = 100;

/// State shared by all requests.
#[derive(Debug, Default)]
pub(crate) struct Shared {
    pub(crate) runs: RunLog,
    pub(crate) switches: Mutex<Switches>,
}

/// Request handler of the plain service stand-in.
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
        let shared = &self.shared;
        let ok = StatusCode::OK;
        match (req.method(), req.uri().path()) {
            (&Method::GET, "/counts") => Ok(reply::json(ok, &shared.runs.counts())),
            (&Method::GET, "/runs") => Ok(reply::json(ok, &shared.runs.runs())),
            (&Method::GET, "/switches") => Ok(reply::json(ok, &*shared.switches.lock())),
            (&Method::PUT, "/switches") => {
                let switches = reply::read_json(req.into_body()).await?;
                *shared.switches.lock() = switches;
                Ok(reply::empty(StatusCode::NO_CONTENT))
            }
            (&Method::POST, _) => self.run_call(req).await,
            _ => Err(Rejection::not_found("there is no such path and method")),
        }
    }

    async fn run_call(&self, req: Request<Incoming>) -> Result<Response<Body>> {
        let (head, body) = req.into_parts();
        let body = Body::collect(body, MAX_BODY_BYTES)
            .await
            .map_err(|e| Rejection::bad_request(e.to_string()))?;
        let outcome = self.shared.switches.lock().decide_outcome();
        match outcome {
            Outcome::DieBefore => return Ok(reply::close_connection()),
            Outcome::Refuse => {
                let status = StatusCode::SERVICE_UNAVAILABLE;
                return Err(Rejection::new(status, "switched off"));
            }
            _ => (),
        }
        let answer = answer::expected_answer(head.uri.path(), &body);
        let digest = answer.digest.clone();
        let run = self.shared.runs.start(&answer.path, &head.headers, digest);
        let slow = self.shared.switches.lock().slow;
        sleep(slow).await;
        if outcome == Outcome::Hang {
            return Ok(reply::hang().await);
        }
        run.end(End::Completed);
        let mut response = self.respond(outcome, &answer).await;
        echo_ordinal(&head.headers, &mut response);
        Ok(response)
    }

    /// Returns the response to a call that has run.
    async fn respond(&self, outcome: Outcome, answer: &Answer) -> Response<Body> {
        match outcome {
            Outcome::DieAfter => reply::close_connection(),
            Outcome::Late(delay) => {
                sleep(delay).await;
                reply::json(StatusCode::OK, answer)
            }
            Outcome::WrongLength => self.truncate(answer),
            _ => reply::json(StatusCode::OK, answer),
        }
    }

    /// Returns a response that ends before its stated content length.
    fn truncate(&self, answer: &Answer) -> Response<Body> {
        let bytes = serde_json::to_vec(answer).expect("typed values always encode as JSON");
        let stated_length = bytes.len() + MISSING_BYTES;
        let (tx, body) = Body::channel(1);
        self.spawner.detach(async move {
            let _sent = tx.send(bytes.into()).await;
            Timer::after(reply::FLUSH_TIME).await;
        });
        Response::builder()
            .header(header::CONTENT_LENGTH, stated_length)
            .body(body)
            .expect("a number is a valid length")
    }
}

/// Copies the call's ordinal into the response, so that a caller detects an
/// answer to another call.
fn echo_ordinal(from: &http::HeaderMap, response: &mut Response<Body>) {
    let ordinal: Option<&HeaderValue> = from.get(headers::CALL);
    if let Some(ordinal) = ordinal {
        response
            .headers_mut()
            .insert(headers::CALL, ordinal.clone());
    }
}

async fn sleep(duration: Duration) {
    if !duration.is_zero() {
        Timer::after(duration).await;
    }
}
