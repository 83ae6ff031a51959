//! HTTP client of the platform's object store.
//!
//! A read without a usable response reports the platform as unavailable,
//! whatever the cause. The outcome of writes is determined by
//! [`super::settle`].

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chicoryarch_net::Client;

use super::Changes;
use super::Expect;
use super::HostStatus;
use super::MAX_VALUE_BYTES;
use super::Nonce;
use super::Object;
use super::Platform;
use super::PlatformError;
use super::Result;
use super::Written;
use super::counters::CallKind;
use super::counters::PlatformCounters;
use super::exchange::Limits;
use super::settle;
use super::settle::Change;
use super::settle::Write;
use crate::configs::platform::PlatformConfig;
use crate::ids::HostId;
use crate::ids::Version;

mod exchange;
mod wire;
mod write;

use exchange::Exchange;

/// Header that identifies the calling host to the platform.
const HOST_HEADER: &str = "chicoryarch-host";

/// HTTP client of the platform; clones share connections and counters.
#[derive(Clone, Debug)]
pub struct HttpPlatform {
    cfg: Arc<PlatformConfig>,
    exchange: Exchange,
}

impl HttpPlatform {
    /// Creates a client that identifies itself as `host` in each request.
    pub fn new(client: Client, host: &HostId, cfg: PlatformConfig) -> Self {
        let exchange = Exchange::new(client, host, cfg.address);
        Self {
            cfg: Arc::new(cfg),
            exchange,
        }
    }

    /// Counters of the calls to the platform.
    pub fn counters(&self) -> &Arc<PlatformCounters> {
        self.exchange.counters()
    }

    fn object_limits(&self) -> Limits {
        Limits::progress(self.cfg.timeout, self.cfg.timeout, MAX_VALUE_BYTES)
    }

    fn list_limits(&self, wait: Duration) -> Limits {
        let timeout = self.cfg.timeout;
        Limits::progress(timeout + wait, timeout, self.cfg.max_list_bytes)
    }

    async fn read_object(&self, kind: &str, name: &str) -> Result<Option<Object>> {
        let path = wire::object_path(kind, name)?;
        let answer = self
            .exchange
            .get(CallKind::Read, &path, self.object_limits())
            .await?;
        wire::parse_object(name, &answer)
    }

    async fn list_objects(&self, kind: &str, prefix: &str) -> Result<Changes> {
        let path = wire::list_path(kind, prefix)?;
        let limits = self.list_limits(Duration::ZERO);
        let answer = self.exchange.get(CallKind::List, &path, limits).await?;
        wire::parse_changes(kind, &answer)
    }

    async fn watch_kind(&self, kind: &str, since: Version, wait: Duration) -> Result<Changes> {
        let wait = wait.min(self.cfg.watch_wait);
        let path = wire::watch_path(kind, since, wait)?;
        let limits = self.list_limits(wait);
        let answer = self.exchange.get(CallKind::Watch, &path, limits).await?;
        wire::parse_changes(kind, &answer)
    }

    async fn list_hosts(&self) -> Result<Vec<HostStatus>> {
        let limits = self.list_limits(Duration::ZERO);
        let answer = self
            .exchange
            .get(CallKind::Hosts, wire::HOSTS_PATH, limits)
            .await?;
        wire::parse_hosts(&answer)
    }

    async fn store(
        &self,
        kind: &str,
        name: &str,
        expect: Expect,
        nonce: Nonce,
        value: Vec<u8>,
    ) -> Result<Written> {
        if value.len() > MAX_VALUE_BYTES {
            return Err(PlatformError::TooLarge(value.len()));
        }
        let change = Change::Store {
            expect,
            nonce,
            value: Bytes::from(value),
        };
        self.settle(kind, name, change).await
    }

    async fn delete(&self, kind: &str, name: &str, at: Version) -> Result<Written> {
        self.settle(kind, name, Change::Remove { at }).await
    }

    async fn settle(&self, kind: &str, name: &str, change: Change) -> Result<Written> {
        let limits = settle::Limits {
            first_timeout: self.cfg.timeout,
            timeout: self.cfg.timeout,
            retry_interval: self.cfg.retry_interval,
            settle_timeout: self.cfg.settle_timeout,
        };
        let write = Write { kind, name, change };
        settle::settle(self, &write, limits).await
    }
}

impl Platform for HttpPlatform {
    async fn read(&self, kind: &str, name: &str) -> Result<Option<Object>> {
        let result = self.read_object(kind, name).await;
        self.counters().record(CallKind::Read, &result);
        result
    }

    async fn list(&self, kind: &str, prefix: &str) -> Result<Changes> {
        let result = self.list_objects(kind, prefix).await;
        self.counters().record(CallKind::List, &result);
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
        let result = self.store(kind, name, expect, nonce, value).await;
        self.counters().record_write(CallKind::Write, &result);
        result
    }

    async fn remove(&self, kind: &str, name: &str, at: Version) -> Result<Written> {
        let result = self.delete(kind, name, at).await;
        self.counters().record_write(CallKind::Remove, &result);
        result
    }

    async fn watch(&self, kind: &str, since: Version, wait: Duration) -> Result<Changes> {
        let result = self.watch_kind(kind, since, wait).await;
        self.counters().record(CallKind::Watch, &result);
        result
    }

    async fn hosts(&self) -> Result<Vec<HostStatus>> {
        let result = self.list_hosts().await;
        self.counters().record(CallKind::Hosts, &result);
        result
    }
}
