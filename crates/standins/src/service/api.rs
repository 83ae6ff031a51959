//! The HTTP interface of the plain service stand-in.

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
use super::switches::Fate;
use super::switches::Switches;
use crate::headers;
use crate::reply;
use crate::reply::Rejection;
use crate::reply::Result;
use crate::runs::End;
use crate::runs::RunLog;

/// Largest body of a call, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;
/// Bytes by which the stated length of a cut answer is too large.
const MISSING_BYTES: usize = 100;

/// State that all requests share.
#[derive(Debug, Default)]
pub(crate) struct Shared {
    pub(crate) runs: RunLog,
    pub(crate) switches: Mutex<Switches>,
}

/// Answers the requests of the plain service stand-in.
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
            (&Method::POST, _) => self.call(req).await,
            _ => Err(Rejection::not_found("there is no such path and method")),
        }
    }

    async fn call(&self, req: Request<Incoming>) -> Result<Response<Body>> {
        let (head, body) = req.into_parts();
        let body = Body::collect(body, MAX_BODY_BYTES)
            .await
            .map_err(|e| Rejection::bad_request(e.to_string()))?;
        let fate = self.shared.switches.lock().decide();
        match fate {
            Fate::DieBefore => return Ok(reply::closed()),
            Fate::Refuse => {
                let status = StatusCode::SERVICE_UNAVAILABLE;
                return Err(Rejection::new(status, "switched off"));
            }
            _ => (),
        }
        let answer = answer::expected_answer(head.uri.path(), &body);
        let digest = answer.digest.clone();
        let run = self.shared.runs.start(&answer.path, &head.headers, digest);
        let slow = self.shared.switches.lock().slow;
        pause(slow).await;
        if fate == Fate::Hang {
            return Ok(reply::hang().await);
        }
        run.end(End::Completed);
        let mut response = self.respond(fate, &answer).await;
        echo(&head.headers, &mut response);
        Ok(response)
    }

    /// Answers a call that has run.
    async fn respond(&self, fate: Fate, answer: &Answer) -> Response<Body> {
        match fate {
            Fate::DieAfter => reply::closed(),
            Fate::Late(delay) => {
                pause(delay).await;
                reply::json(StatusCode::OK, answer)
            }
            Fate::WrongLength => self.cut(answer),
            _ => reply::json(StatusCode::OK, answer),
        }
    }

    /// An answer that ends before its stated length.
    fn cut(&self, answer: &Answer) -> Response<Body> {
        let bytes = serde_json::to_vec(answer).expect("typed values always encode as JSON");
        let stated = bytes.len() + MISSING_BYTES;
        let (tx, body) = Body::channel(1);
        self.spawner.detach(async move {
            let _sent = tx.send(bytes.into()).await;
            Timer::after(reply::FLUSH_TIME).await;
        });
        Response::builder()
            .header(header::CONTENT_LENGTH, stated)
            .body(body)
            .expect("a number is a valid length")
    }
}

/// Returns the caller's ordinal, so that a crossed answer is noticed.
fn echo(from: &http::HeaderMap, response: &mut Response<Body>) {
    let ordinal: Option<&HeaderValue> = from.get(headers::CALL);
    if let Some(ordinal) = ordinal {
        response
            .headers_mut()
            .insert(headers::CALL, ordinal.clone());
    }
}

async fn pause(span: Duration) {
    if !span.is_zero() {
        Timer::after(span).await;
    }
}
