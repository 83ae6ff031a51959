//! Client of the platform's metadata store, over HTTP.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chicoryarch_net::Body;
use chicoryarch_net::Client;
use http::Method;
use http::Request;
use http::StatusCode;
use http::header;

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
use crate::connection::platform::counters::CallKind;
use crate::connection::platform::counters::PlatformCounters;
use crate::connection::platform::exchange;
use crate::connection::platform::exchange::Failure;
use crate::connection::platform::exchange::Limits;
use crate::connection::platform::exchange::exchange;
use crate::connection::platform::settle;
use crate::connection::platform::settle::Change;
use crate::connection::platform::settle::Write;
use crate::ids::Version;

pub mod objects;
mod write;

/// Maximum size of an answer in bytes. A page of a list holds about 1 MB, and a
/// single object can add as much again.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// Client of the platform's metadata store; clones share connections and
/// counters.
#[derive(Clone, Debug)]
pub struct ObjectStore {
    cfg: Arc<StoreConfig>,
    client: Client,
    counters: Arc<PlatformCounters>,
}

struct Answer {
    status: StatusCode,
    body: Bytes,
}

impl ObjectStore {
    /// Creates a client that uses the connections of `client`.
    pub fn new(client: Client, cfg: StoreConfig) -> Self {
        Self {
            cfg: Arc::new(cfg),
            client,
            counters: Arc::default(),
        }
    }

    /// Counters of the calls to the store.
    pub const fn counters(&self) -> &Arc<PlatformCounters> {
        &self.counters
    }

    async fn send(
        &self,
        call: CallKind,
        method: Method,
        target: &str,
        body: Option<Vec<u8>>,
        limits: Limits,
    ) -> exchange::Result<Answer> {
        self.counters.add_request(call);
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
        let (head, body) = exchange(&self.client, self.cfg.address, req, limits).await?;
        let status = head.status;
        let detail = || format!("the store answered {status}");
        match status {
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
                Err(Failure::NotApplied(detail()))
            }
            _ if status.is_server_error() => Err(Failure::Uncertain(detail())),
            _ => Ok(Answer { status, body }),
        }
    }

    /// Limits of a call whose answer has the objects of a list, read or watch.
    fn object_limits(&self, wait: Duration) -> Limits {
        let timeout = self.cfg.timeout;
        Limits::progress(wait + timeout, timeout, MAX_ANSWER_BYTES)
    }

    async fn get(&self, kind: &str, name: &str, limits: Limits) -> Result<Option<Object>> {
        let target = format!("/v1/objects/{kind}/{name}");
        let answer = self
            .send(CallKind::Read, Method::GET, &target, None, limits)
            .await?;
        if answer.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        objects::decode(kind, name, &answer.body).map(Some)
    }

    async fn settle(&self, kind: &str, name: &str, change: Change) -> Result<Written> {
        let limits = settle::Limits {
            first_timeout: self.cfg.write_timeout,
            timeout: self.cfg.timeout,
            retry_interval: self.cfg.retry_interval,
            settle_timeout: self.cfg.settle_timeout,
        };
        let write = Write { kind, name, change };
        settle::settle(self, &write, limits).await
    }

    /// Replaces the status of an object; `status` is inserted into the request as
    /// JSON.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError`] if the store does not confirm the write.
    pub async fn write_status(&self, kind: &str, name: &str, status: &str) -> Result<()> {
        let body = format!("{{\"metadata\":{{\"name\":\"{name}\"}},\"status\":{status}}}");
        let target = format!("/v1/objects/{kind}/{name}/status");
        let answer = self
            .send(
                CallKind::Write,
                Method::PUT,
                &target,
                Some(body.into_bytes()),
                Limits::whole(self.cfg.timeout, MAX_ANSWER_BYTES),
            )
            .await?;
        if answer.status.is_success() {
            Ok(())
        } else {
            let detail = format!("the store answered {} to a status write", answer.status);
            Err(PlatformError::Unavailable(detail))
        }
    }

    async fn list_objects(&self, kind: &str, prefix: &str) -> Result<Changes> {
        let mut changes = Changes::up_to(Version(0));
        let mut after = String::new();
        let limits = self.object_limits(Duration::ZERO);
        loop {
            let target = match after.as_str() {
                "" => format!("/v1/objects/{kind}"),
                name => format!("/v1/objects/{kind}?after={}", objects::url_encoded(name)),
            };
            let answer = self
                .send(CallKind::List, Method::GET, &target, None, limits)
                .await?;
            let page = objects::decode_page(kind, &after, &answer.body)?;
            // A watch from the first page's version reports all later changes,
            // including those that happen while the other pages are read.
            if changes.upto == Version(0) {
                changes.upto = page.version;
            }
            let wanted = page.objects.into_iter();
            changes
                .objects
                .extend(wanted.filter(|object| object.name.starts_with(prefix)));
            match page.next {
                Some(name) => after = name,
                None => return Ok(changes),
            }
        }
    }

    async fn watch_kind(&self, kind: &str, since: Version, wait: Duration) -> Result<Changes> {
        let target = format!(
            "/v1/objects/{kind}?watch={since}&wait_ms={}",
            wait.as_millis()
        );
        let limits = self.object_limits(wait);
        let answer = self
            .send(CallKind::Watch, Method::GET, &target, None, limits)
            .await?;
        if answer.status == StatusCode::GONE {
            return Err(PlatformError::HistoryLost);
        }
        objects::decode_changes(kind, &answer.body)
    }
}

impl Platform for ObjectStore {
    async fn read(&self, kind: &str, name: &str) -> Result<Option<Object>> {
        let limits = self.object_limits(Duration::ZERO);
        let result = self.get(kind, name, limits).await;
        self.counters.record(CallKind::Read, &result);
        result
    }

    async fn list(&self, kind: &str, prefix: &str) -> Result<Changes> {
        let result = self.list_objects(kind, prefix).await;
        self.counters.record(CallKind::List, &result);
        result
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
        // The value is inserted into the JSON request body unchanged, so it must
        // be UTF-8.
        std::str::from_utf8(&value).map_err(|e| objects::malformed(kind, name, &e))?;
        let change = Change::Store {
            expect,
            nonce,
            value: Bytes::from(value),
        };
        let result = self.settle(kind, name, change).await;
        self.counters.record_write(CallKind::Write, &result);
        result
    }

    async fn remove(&self, kind: &str, name: &str, at: Version) -> Result<Written> {
        let result = self.settle(kind, name, Change::Remove { at }).await;
        self.counters.record_write(CallKind::Remove, &result);
        result
    }

    async fn watch(&self, kind: &str, since: Version, wait: Duration) -> Result<Changes> {
        let result = self.watch_kind(kind, since, wait).await;
        self.counters.record(CallKind::Watch, &result);
        result
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
