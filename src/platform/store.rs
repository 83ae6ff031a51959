//! The platform's metadata store, spoken over HTTP.
//!
//! A write is sent again only under its own condition, and its outcome is read
//! from the writer's nonce in the stored value. A repeated request that
//! arrives late therefore finds its condition broken and has no effect.

use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use bytes::Bytes;
use chicoryarch_net::Body;
use chicoryarch_net::Client;
use futures_lite::future;
use http::Method;
use http::Request;
use http::StatusCode;
use http::header;
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::configs::gateway::StoreConfig;
use crate::connection::platform::Changes;
use crate::connection::platform::Expect;
use crate::connection::platform::HostStatus;
use crate::connection::platform::Nonce;
use crate::connection::platform::Object;
use crate::connection::platform::Platform;
use crate::connection::platform::PlatformError;
use crate::connection::platform::Result;
use crate::connection::platform::Written;
use crate::connection::platform::nonce_of;
use crate::ids::Version;
use crate::units::Moment;

/// Largest answer to a list or watch, in bytes: pages hold about a megabyte,
/// and one object may be as large again.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// Client of the store.
#[derive(Clone, Debug)]
pub struct ObjectStore {
    cfg: Arc<StoreConfig>,
    client: Client,
}

#[derive(Deserialize)]
struct Metadata {
    name: String,
    /// Revision of the object's last change.
    revision: u64,
}

#[derive(Deserialize)]
struct StoredObject {
    metadata: Metadata,
    /// What its writer stored.
    spec: Box<RawValue>,
}

#[derive(Deserialize)]
struct Page {
    items: Vec<Box<RawValue>>,
    /// True if more objects follow the last item by name.
    #[serde(default)]
    truncated: bool,
    /// Revision of the store as of this page.
    store_revision: u64,
}

#[derive(Deserialize)]
struct WatchEvent {
    object: Box<RawValue>,
    #[serde(default)]
    deleted: bool,
}

#[derive(Deserialize)]
struct WatchAnswer {
    events: Vec<WatchEvent>,
    store_revision: u64,
}

struct Answer {
    status: StatusCode,
    body: Bytes,
}

/// Why an exchange gave no answer that can be used.
enum Failure {
    /// The store said that it did nothing, or the request did not reach it.
    NotApplied(String),
    /// The request may have been, or may yet be, carried out.
    Uncertain(String),
}

impl From<Failure> for PlatformError {
    fn from(failure: Failure) -> Self {
        match failure {
            Failure::NotApplied(detail) | Failure::Uncertain(detail) => Self::Unavailable(detail),
        }
    }
}

impl ObjectStore {
    /// Creates a client that shares `client`'s connections.
    pub fn new(client: Client, cfg: StoreConfig) -> Self {
        Self {
            cfg: Arc::new(cfg),
            client,
        }
    }

    async fn exchange(
        &self,
        method: Method,
        target: &str,
        body: Option<Vec<u8>>,
        timeout: Duration,
    ) -> std::result::Result<Answer, Failure> {
        let mut req = Request::builder()
            .method(method)
            .uri(target)
            .header(header::HOST, self.cfg.address.to_string());
        if body.is_some() {
            req = req.header(header::CONTENT_TYPE, "application/json");
        }
        let body = body.map_or_else(Body::empty, Body::from);
        let req = req
            .body(body)
            .map_err(|e| Failure::NotApplied(format!("not a valid request: {e}")))?;
        let receive = async {
            let response = self
                .client
                .send(self.cfg.address, req, timeout)
                .await
                .map_err(|e| match e.is_not_sent() {
                    true => Failure::NotApplied(e.to_string()),
                    false => Failure::Uncertain(e.to_string()),
                })?;
            let status = response.status();
            let body = Body::collect(response.into_body(), MAX_ANSWER_BYTES)
                .await
                .map_err(|e| Failure::Uncertain(e.to_string()))?;
            Ok(Answer { status, body })
        };
        let expire = async {
            Timer::after(timeout).await;
            Err(Failure::Uncertain(format!("no answer within {timeout:?}")))
        };
        let answer = future::or(receive, expire).await?;
        match answer.status {
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => Err(
                Failure::NotApplied(format!("the store answered {}", answer.status)),
            ),
            status if status.is_server_error() => {
                Err(Failure::Uncertain(format!("the store answered {status}")))
            }
            _ => Ok(answer),
        }
    }

    /// Repeats a conditional write until its outcome is known.
    async fn settle(
        &self,
        method: Method,
        target: &str,
        body: Option<Vec<u8>>,
        nonce: Nonce,
    ) -> Result<Written> {
        let deadline = Moment::now() + self.cfg.settle_timeout;
        let mut uncertain = false;
        let mut timeout = self.cfg.write_timeout;
        loop {
            let sent = self
                .exchange(method.clone(), target, body.clone(), timeout)
                .await;
            timeout = (timeout * 2).min(self.cfg.timeout);
            match sent {
                Ok(answer) => return written(&method, &answer, nonce, uncertain),
                Err(Failure::NotApplied(detail)) if !uncertain => {
                    return Err(PlatformError::Unavailable(detail));
                }
                Err(Failure::NotApplied(_)) => (),
                Err(Failure::Uncertain(_)) => uncertain = true,
            }
            if Moment::now() >= deadline {
                return Err(PlatformError::UnknownOutcome);
            }
            Timer::after(self.cfg.retry_interval).await;
        }
    }

    /// Replaces the status of an operators' object.
    ///
    /// # Errors
    ///
    /// [`PlatformError`] if the store did not confirm it.
    pub async fn write_status(&self, kind: &str, name: &str, status: &str) -> Result<()> {
        let body = format!("{{\"metadata\":{{\"name\":\"{name}\"}},\"status\":{status}}}");
        let target = format!("/v1/objects/{kind}/{name}/status");
        let answer = self
            .exchange(
                Method::PUT,
                &target,
                Some(body.into_bytes()),
                self.cfg.timeout,
            )
            .await?;
        if answer.status.is_success() {
            Ok(())
        } else {
            let detail = format!("the store answered {} to a status", answer.status);
            Err(PlatformError::Unavailable(detail))
        }
    }
}

impl Platform for ObjectStore {
    async fn read(&self, kind: &str, name: &str) -> Result<Option<Object>> {
        let target = format!("/v1/objects/{kind}/{name}");
        let answer = self
            .exchange(Method::GET, &target, None, self.cfg.timeout)
            .await?;
        if answer.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        decode(kind, name, &answer.body).map(Some)
    }

    async fn list(&self, kind: &str, prefix: &str) -> Result<Changes> {
        let mut changes = Changes {
            upto: Version(0),
            objects: Vec::new(),
            removed: Vec::new(),
        };
        let mut after = String::new();
        loop {
            let target = match after.as_str() {
                "" => format!("/v1/objects/{kind}"),
                name => format!("/v1/objects/{kind}?after={name}"),
            };
            let answer = self
                .exchange(Method::GET, &target, None, self.cfg.timeout)
                .await?;
            let page: Page = parse(kind, "", &answer.body)?;
            // Changes after the first page come again with a watch from its revision.
            if changes.upto == Version(0) {
                changes.upto = Version(page.store_revision);
            }
            let objects = page.items.iter().filter_map(|item| readable(item.get()));
            let mut last = None;
            for object in objects {
                last = Some(object.name.clone());
                if object.name.starts_with(prefix) {
                    changes.objects.push(object);
                }
            }
            match last {
                Some(name) if page.truncated => after = name,
                _ => return Ok(changes),
            }
        }
    }

    async fn write(
        &self,
        kind: &str,
        name: &str,
        expect: Expect,
        nonce: Nonce,
        value: Vec<u8>,
    ) -> Result<Written> {
        if value.len() > self.cfg.max_value_bytes {
            return Err(PlatformError::TooLarge(value.len()));
        }
        let spec = String::from_utf8(value).map_err(|e| malformed(kind, name, &e))?;
        match expect {
            Expect::Absent => {
                let body = format!("{{\"metadata\":{{\"name\":\"{name}\"}},\"spec\":{spec}}}");
                let target = format!("/v1/objects/{kind}");
                self.settle(Method::POST, &target, Some(body.into_bytes()), nonce)
                    .await
            }
            Expect::At(Version(revision)) => {
                let body = format!(
                    "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision}}},\"spec\":{spec}}}"
                );
                let target = format!("/v1/objects/{kind}/{name}");
                self.settle(Method::PUT, &target, Some(body.into_bytes()), nonce)
                    .await
            }
        }
    }

    async fn remove(&self, kind: &str, name: &str, at: Version) -> Result<Written> {
        let target = format!("/v1/objects/{kind}/{name}?revision={at}");
        self.settle(Method::DELETE, &target, None, Nonce(0)).await
    }

    async fn watch(&self, kind: &str, since: Version, wait: Duration) -> Result<Changes> {
        let wait = wait.min(self.cfg.watch_wait);
        let target = format!(
            "/v1/objects/{kind}?watch={since}&wait_ms={}",
            wait.as_millis()
        );
        let timeout = wait + self.cfg.timeout;
        let answer = self.exchange(Method::GET, &target, None, timeout).await?;
        if answer.status == StatusCode::GONE {
            return Err(PlatformError::HistoryLost);
        }
        let watched: WatchAnswer = parse(kind, "", &answer.body)?;
        let mut changes = Changes {
            upto: Version(watched.store_revision),
            objects: Vec::new(),
            removed: Vec::new(),
        };
        for event in watched.events {
            match readable(event.object.get()) {
                Some(object) if event.deleted => changes.removed.push(object.name),
                Some(object) => {
                    changes.removed.retain(|name| *name != object.name);
                    changes.objects.push(object);
                }
                None => log::warn!("an event of kind {kind} cannot be read and is skipped"),
            }
        }
        Ok(changes)
    }

    async fn hosts(&self) -> Result<Vec<HostStatus>> {
        let listed = self.list(crate::gateway::roster::KIND, "").await?;
        let status = |object: Object| HostStatus {
            host: object.name,
            leaving: false,
        };
        Ok(listed.objects.into_iter().map(status).collect())
    }
}

/// What the answer to a conditional write says.
fn written(method: &Method, answer: &Answer, nonce: Nonce, repeated: bool) -> Result<Written> {
    let status = answer.status;
    if status.is_success() {
        let version = match method {
            &Method::DELETE => Version(0),
            _ => stored(&answer.body).map_or(Version(0), |object| object.version),
        };
        return Ok(Written::Done(version));
    }
    match status {
        StatusCode::CONFLICT => Ok(match stored(&answer.body) {
            Some(object) if nonce_of(&object.value) == Some(nonce) => Written::Done(object.version),
            _ => Written::Conflict,
        }),
        // A removal that was repeated may have removed the object itself.
        StatusCode::NOT_FOUND if method == Method::DELETE && repeated => {
            Ok(Written::Done(Version(0)))
        }
        StatusCode::NOT_FOUND => Ok(Written::Conflict),
        _ => Err(PlatformError::Unavailable(format!(
            "the store answered {status} to a write"
        ))),
    }
}

/// The object in the answer to a write or conflict, bare or under `object`.
fn stored(body: &[u8]) -> Option<Object> {
    #[derive(Deserialize)]
    struct Wrapped {
        object: Box<RawValue>,
    }
    let text = std::str::from_utf8(body).ok()?;
    readable(text).or_else(|| {
        let wrapped: Wrapped = serde_json::from_str(text).ok()?;
        readable(wrapped.object.get())
    })
}

/// An object, or nothing if another writer left what cannot be read.
fn readable(text: &str) -> Option<Object> {
    let stored: StoredObject = serde_json::from_str(text).ok()?;
    Some(Object {
        name: stored.metadata.name,
        version: Version(stored.metadata.revision),
        value: stored.spec.get().as_bytes().to_vec(),
    })
}

fn decode(kind: &str, name: &str, body: &[u8]) -> Result<Object> {
    stored(body).ok_or_else(|| malformed(kind, name, &"not an object of the store"))
}

fn parse<'a, T: Deserialize<'a>>(kind: &str, name: &str, body: &'a [u8]) -> Result<T> {
    serde_json::from_slice(body).map_err(|e| malformed(kind, name, &e))
}

fn malformed(kind: &str, name: &str, detail: &impl ToString) -> PlatformError {
    PlatformError::Malformed {
        kind: kind.to_owned(),
        name: name.to_owned(),
        detail: detail.to_string(),
    }
}
