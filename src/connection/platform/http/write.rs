//! Conditional writes as requests.

use std::time::Duration;

use bytes::Bytes;
use chicoryarch_net::Body;
use http::Method;
use http::Request;
use http::StatusCode;

use super::HttpPlatform;
use super::Limits;
use super::exchange;
use super::wire;
use crate::connection::platform::Expect;
use crate::connection::platform::Nonce;
use crate::connection::platform::Result;
use crate::connection::platform::Written;
use crate::connection::platform::counters::CallKind;
use crate::connection::platform::settle;
use crate::connection::platform::settle::ConditionalWrite;
use crate::connection::platform::settle::Failure;
use crate::connection::platform::settle::Finding;
use crate::ids::Version;

/// What a conditional write does to its object.
#[derive(Debug)]
pub(super) enum Change {
    /// Removes it at a version.
    Remove { at: Version },
    /// Stores a value that carries the nonce.
    Store {
        expect: Expect,
        nonce: Nonce,
        value: Bytes,
    },
}

/// A conditional write to one object.
#[derive(Debug)]
pub(super) struct Write<'a> {
    pub(super) platform: &'a HttpPlatform,
    pub(super) kind: &'a str,
    pub(super) name: &'a str,
    pub(super) change: Change,
}

impl Write<'_> {
    fn limits(&self, timeout: Duration) -> Limits {
        Limits {
            timeout,
            ..self.platform.object_limits()
        }
    }
}

impl ConditionalWrite for Write<'_> {
    async fn attempt(
        &self,
        timeout: Duration,
        is_repeated: bool,
    ) -> Result<std::result::Result<Written, Failure>> {
        if is_repeated {
            self.platform.counters().add_resend();
        }
        let path = wire::object_path(self.kind, self.name)?;
        let (condition, tag) = wire::condition_of(self.change.expect());
        let req = Request::builder()
            .method(self.change.method())
            .uri(path)
            .header(condition, tag)
            .body(self.change.body())
            .expect("checked names form a valid path");
        let exchange = &self.platform.exchange;
        let call_kind = self.change.call_kind();
        let answer = exchange.send(call_kind, req, self.limits(timeout)).await;
        Ok(answer.and_then(|answer| written(answer.status, answer.version)))
    }

    async fn read_back(&self, timeout: Duration) -> Result<Finding> {
        self.platform.counters().add_read_back();
        match self.change {
            Change::Remove { at } => {
                // A list also gives the newest version, which a missing object lacks.
                let listing = self.platform.list_objects(self.kind, self.name).await?;
                let object = listing.objects.iter().find(|o| o.name == self.name);
                Ok(settle::found_after_remove(at, object, listing.upto))
            }
            Change::Store { expect, nonce, .. } => {
                let path = wire::object_path(self.kind, self.name)?;
                let exchange = &self.platform.exchange;
                let limits = self.limits(timeout);
                let answer = exchange.get(CallKind::Read, &path, limits).await?;
                let object = wire::object(self.name, &answer)?;
                Ok(settle::found_after_store(expect, nonce, object.as_ref()))
            }
        }
    }
}

impl Change {
    fn expect(&self) -> Expect {
        match self {
            Self::Remove { at } => Expect::At(*at),
            Self::Store { expect, .. } => *expect,
        }
    }

    fn method(&self) -> Method {
        match self {
            Self::Remove { .. } => Method::DELETE,
            Self::Store { .. } => Method::PUT,
        }
    }

    /// Kind under which the change is counted.
    fn call_kind(&self) -> CallKind {
        match self {
            Self::Remove { .. } => CallKind::Remove,
            Self::Store { .. } => CallKind::Write,
        }
    }

    fn body(&self) -> Body {
        match self {
            Self::Remove { .. } => Body::empty(),
            Self::Store { value, .. } => Body::from_bytes(value.clone()),
        }
    }
}

/// Outcome of a write that was answered.
fn written(status: StatusCode, version: Option<Version>) -> exchange::Result<Written> {
    match (status, version) {
        (StatusCode::PRECONDITION_FAILED, _) => Ok(Written::Conflict),
        (StatusCode::NOT_FOUND, _) => Err(Failure::NotApplied(format!("status {status}"))),
        (_, Some(version)) => Ok(Written::Done(version)),
        (_, None) => Err(Failure::Uncertain(
            "the answer to a write has no version".to_owned(),
        )),
    }
}
