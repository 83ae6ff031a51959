//! HTTP interface of the platform stand-in.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use chicoryarch_net::Body;
use chicoryarch_net::Spawner;
use chicoryarch_net::server::Handler;
use futures_lite::future;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use hyper::body::Incoming;

use super::call::Action;
use super::call::Call;
use super::shared::Shared;
use super::store;
use super::switches::Outcome;
use crate::reply;
use crate::reply::Rejection;
use crate::reply::Result;

/// Request handler of the platform stand-in.
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
        match (req.method(), req.uri().path()) {
            (&Method::GET, "/counts") => Ok(reply::json(StatusCode::OK, &shared.counts())),
            (&Method::GET, "/switches") => Ok(reply::json(StatusCode::OK, &shared.switches())),
            (&Method::PUT, "/switches") => {
                shared.set_switches(reply::read_json(req.into_body()).await?);
                Ok(reply::empty(StatusCode::NO_CONTENT))
            }
            (&Method::PUT, "/switches/hosts") => {
                shared.set_hosts(reply::read_json(req.into_body()).await?);
                Ok(reply::empty(StatusCode::NO_CONTENT))
            }
            _ => Ok(self.call(Call::parse(req).await?).await),
        }
    }

    async fn call(&self, call: Call) -> Response<Body> {
        if !self.shared.admit(&call) {
            let detail = "more calls a second than the limit";
            return Rejection::new(StatusCode::TOO_MANY_REQUESTS, detail).into();
        }
        let outcome = self.shared.decide_outcome(&call);
        if call.is_write() {
            self.execute_held().await;
        }
        match outcome {
            Outcome::Answer(delay) => self.execute(call, delay).await,
            Outcome::Hang => reply::hang().await,
            Outcome::Hold => {
                self.shared.hold(call);
                reply::hang().await
            }
            Outcome::Late(delay) => self.execute_late(call, delay).await,
            Outcome::LoseAnswer => {
                self.execute(call, Duration::ZERO).await;
                reply::close_connection()
            }
            Outcome::LoseRequest => reply::close_connection(),
            Outcome::Refuse => unavailable(),
        }
    }

    /// Executes a call after a delay, unless its caller disconnects first.
    async fn execute(&self, call: Call, delay: Duration) -> Response<Body> {
        if !delay.is_zero() {
            Timer::after(delay).await;
        }
        perform(&self.shared, call).await
    }

    /// Executes the held writes, in order of arrival.
    async fn execute_held(&self) {
        for call in self.shared.take_held() {
            perform(&self.shared, call).await;
        }
    }

    /// Executes a call after a delay, even if its caller disconnects.
    async fn execute_late(&self, call: Call, delay: Duration) -> Response<Body> {
        let shared = Arc::clone(&self.shared);
        let (tx, rx) = async_channel::bounded(1);
        let guard = shared.count_late_write();
        self.spawner.detach(async move {
            Timer::after(delay).await;
            let response = perform(&shared, call).await;
            drop(guard);
            let _disconnected = tx.try_send(response);
        });
        rx.recv()
            .await
            .unwrap_or_else(|_| reply::close_connection())
    }
}

async fn perform(shared: &Shared, call: Call) -> Response<Body> {
    let Call {
        client,
        kind,
        action,
    } = call;
    match action {
        Action::Hosts => reply::json(StatusCode::OK, &shared.hosts()),
        Action::List { prefix } => reply::json(StatusCode::OK, &shared.list(&kind, &prefix)),
        Action::Read { name } => read_object(shared, &kind, &name),
        Action::Remove { name, condition } => {
            write_response(shared.remove(&kind, &name, condition))
        }
        Action::Watch { since, wait } => watch_kind(shared, &client, &kind, since, wait).await,
        Action::Write {
            name,
            condition,
            value,
        } => write_response(shared.write(&kind, &name, condition, value)),
    }
}

fn unavailable() -> Response<Body> {
    Rejection::new(StatusCode::SERVICE_UNAVAILABLE, "switched off").into()
}

fn read_object(shared: &Shared, kind: &str, name: &str) -> Response<Body> {
    match shared.read(kind, name) {
        Some(entry) => Response::builder()
            .header(header::ETAG, entity_tag(entry.version))
            .header(header::CONTENT_TYPE, "application/octet-stream")
            .body(Body::from(entry.value))
            .expect("a number is a valid tag"),
        None => Rejection::not_found("there is no such object").into(),
    }
}

fn write_response(result: store::Result<u64>) -> Response<Body> {
    match result {
        Ok(version) => Response::builder()
            .header(header::ETAG, entity_tag(version))
            .body(Body::empty())
            .expect("a number is a valid tag"),
        Err(store::VersionMismatch) => {
            let detail = "the object is not at the expected version";
            Rejection::new(StatusCode::PRECONDITION_FAILED, detail).into()
        }
    }
}

fn entity_tag(version: u64) -> String {
    format!("\"{version}\"")
}

async fn watch_kind(
    shared: &Shared,
    client: &str,
    kind: &str,
    since: u64,
    wait: Duration,
) -> Response<Body> {
    let changed = async { Some(wait_for_change(shared, client, kind, since).await) };
    let expired = async {
        Timer::after(wait).await;
        None
    };
    let _guard = shared.count_waiting_watch();
    match future::or(changed, expired).await {
        Some(response) => response,
        None => reply::json(StatusCode::OK, &shared.changes_since(kind, since)),
    }
}

/// Waits for a change of a kind or for an outage that affects the watch.
async fn wait_for_change(shared: &Shared, client: &str, kind: &str, since: u64) -> Response<Body> {
    loop {
        let signal = shared.subscribe(kind);
        match shared.outage_outcome(client, kind) {
            None => (),
            Some(Outcome::Hang) => return reply::hang().await,
            Some(_) => return unavailable(),
        }
        let listing = shared.changes_since(kind, since);
        if !listing.objects.is_empty() {
            return reply::json(StatusCode::OK, &listing);
        }
        let _woken = signal.recv().await;
    }
}
