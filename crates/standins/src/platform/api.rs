//! The HTTP interface of the platform stand-in.

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
use super::switches::Fate;
use crate::reply;
use crate::reply::Rejection;
use crate::reply::Result;

/// Answers the requests of the platform stand-in.
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
        let fate = self.shared.decide(&call);
        if call.is_write() {
            self.carry_out_held().await;
        }
        match fate {
            Fate::Answer(delay) => self.carry_out(call, delay).await,
            Fate::Hang => reply::hang().await,
            Fate::Hold => {
                self.shared.hold(call);
                reply::hang().await
            }
            Fate::Late(delay) => self.carry_out_late(call, delay).await,
            Fate::LoseAnswer => {
                self.carry_out(call, Duration::ZERO).await;
                reply::closed()
            }
            Fate::LoseRequest => reply::closed(),
            Fate::Refuse => refuse(),
        }
    }

    /// Carries out a call unless its caller goes away first.
    async fn carry_out(&self, call: Call, delay: Duration) -> Response<Body> {
        if !delay.is_zero() {
            Timer::after(delay).await;
        }
        answer(&self.shared, call).await
    }

    /// Carries out the writes that were held back for the next one.
    async fn carry_out_held(&self) {
        for call in self.shared.take_held() {
            answer(&self.shared, call).await;
        }
    }

    /// Carries out a call even if its caller goes away.
    async fn carry_out_late(&self, call: Call, delay: Duration) -> Response<Body> {
        let shared = Arc::clone(&self.shared);
        let (tx, rx) = async_channel::bounded(1);
        let pending = shared.count_late();
        self.spawner.detach(async move {
            Timer::after(delay).await;
            let response = answer(&shared, call).await;
            drop(pending);
            let _caller_gone = tx.try_send(response);
        });
        rx.recv().await.unwrap_or_else(|_| reply::closed())
    }
}

async fn answer(shared: &Shared, call: Call) -> Response<Body> {
    let Call {
        client,
        kind,
        action,
    } = call;
    match action {
        Action::Hosts => reply::json(StatusCode::OK, &shared.hosts()),
        Action::List { prefix } => reply::json(StatusCode::OK, &shared.list(&kind, &prefix)),
        Action::Read { name } => read(shared, &kind, &name),
        Action::Remove { name, condition } => written(shared.remove(&kind, &name, condition)),
        Action::Watch { since, wait } => watch(shared, &client, &kind, since, wait).await,
        Action::Write {
            name,
            condition,
            value,
        } => written(shared.write(&kind, &name, condition, value)),
    }
}

fn refuse() -> Response<Body> {
    Rejection::new(StatusCode::SERVICE_UNAVAILABLE, "switched off").into()
}

fn read(shared: &Shared, kind: &str, name: &str) -> Response<Body> {
    match shared.read(kind, name) {
        Some(entry) => Response::builder()
            .header(header::ETAG, tag(entry.version))
            .header(header::CONTENT_TYPE, "application/octet-stream")
            .body(Body::from(entry.value))
            .expect("a number is a valid tag"),
        None => Rejection::not_found("there is no such object").into(),
    }
}

fn written(result: store::Result<u64>) -> Response<Body> {
    match result {
        Ok(version) => Response::builder()
            .header(header::ETAG, tag(version))
            .body(Body::empty())
            .expect("a number is a valid tag"),
        Err(store::Mismatch) => {
            let detail = "the object is not at the expected version";
            Rejection::new(StatusCode::PRECONDITION_FAILED, detail).into()
        }
    }
}

fn tag(version: u64) -> String {
    format!("\"{version}\"")
}

async fn watch(
    shared: &Shared,
    client: &str,
    kind: &str,
    since: u64,
    wait: Duration,
) -> Response<Body> {
    let changed = async { Some(changed(shared, client, kind, since).await) };
    let expired = async {
        Timer::after(wait).await;
        None
    };
    let _waiting = shared.count_waiting();
    match future::or(changed, expired).await {
        Some(response) => response,
        None => reply::json(StatusCode::OK, &shared.changed(kind, since)),
    }
}

/// Waits for a change of a kind, or for an outage of this client.
async fn changed(shared: &Shared, client: &str, kind: &str, since: u64) -> Response<Body> {
    loop {
        let wake = shared.wait(kind);
        match shared.outage(client, kind) {
            None => (),
            Some(Fate::Hang) => return reply::hang().await,
            Some(_) => return refuse(),
        }
        let listing = shared.changed(kind, since);
        if !listing.objects.is_empty() {
            return reply::json(StatusCode::OK, &listing);
        }
        let _woken = wake.recv().await;
    }
}
