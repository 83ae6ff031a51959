//! Conditional writes as calls to the store.

use std::time::Duration;

use http::Method;
use http::StatusCode;

use super::Answer;
use super::ObjectStore;
use super::objects;
use crate::connection::platform::Expect;
use crate::connection::platform::Nonce;
use crate::connection::platform::PlatformError;
use crate::connection::platform::Result;
use crate::connection::platform::Written;
use crate::connection::platform::counters::CallKind;
use crate::connection::platform::nonce_of;
use crate::connection::platform::settle;
use crate::connection::platform::settle::ConditionalWrite;
use crate::connection::platform::settle::Failure;
use crate::connection::platform::settle::Finding;
use crate::ids::Version;

/// What a write does to its object.
#[derive(Debug)]
pub(super) enum Change {
    /// Removes it at a version.
    Remove { at: Version },
    /// Stores a value, in JSON, that carries the nonce.
    Store {
        expect: Expect,
        nonce: Nonce,
        value: String,
    },
}

/// A conditional write to one object.
#[derive(Debug)]
pub(super) struct Write<'a> {
    pub(super) store: &'a ObjectStore,
    pub(super) kind: &'a str,
    pub(super) name: &'a str,
    pub(super) change: Change,
}

impl Write<'_> {
    fn request(&self) -> (Method, String, Option<Vec<u8>>) {
        let Self { kind, name, .. } = self;
        match &self.change {
            Change::Remove { at } => {
                let target = format!("/v1/objects/{kind}/{name}?revision={at}");
                (Method::DELETE, target, None)
            }
            Change::Store {
                expect: Expect::Absent,
                value,
                ..
            } => {
                let body = format!("{{\"metadata\":{{\"name\":\"{name}\"}},\"spec\":{value}}}");
                let target = format!("/v1/objects/{kind}");
                (Method::POST, target, Some(body.into_bytes()))
            }
            Change::Store {
                expect: Expect::At(Version(revision)),
                value,
                ..
            } => {
                let body = format!(
                    "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision}}},\"spec\":{value}}}"
                );
                let target = format!("/v1/objects/{kind}/{name}");
                (Method::PUT, target, Some(body.into_bytes()))
            }
        }
    }

    /// What the answer says.
    fn written(&self, answer: &Answer) -> Result<Written> {
        let status = answer.status;
        let stored = objects::stored(&answer.body);
        match (&self.change, status) {
            (Change::Remove { .. }, status) if status.is_success() => Ok(Written::Done(Version(0))),
            (Change::Store { .. }, status) if status.is_success() => {
                let version = stored.map(|object| object.version);
                Ok(Written::Done(version.unwrap_or(Version(0))))
            }
            (Change::Store { nonce, .. }, StatusCode::CONFLICT) => Ok(match stored {
                Some(object) if nonce_of(&object.value) == Some(*nonce) => {
                    Written::Done(object.version)
                }
                _ => Written::Conflict,
            }),
            (_, StatusCode::CONFLICT | StatusCode::NOT_FOUND) => Ok(Written::Conflict),
            _ => Err(PlatformError::Unavailable(format!(
                "the store answered {status} to a write"
            ))),
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
            self.store.counters.add_resend();
        }
        let (method, target, body) = self.request();
        let call = match self.change {
            Change::Remove { .. } => CallKind::Remove,
            Change::Store { .. } => CallKind::Write,
        };
        let sent = self
            .store
            .exchange(call, method, &target, body, timeout)
            .await;
        match sent {
            Ok(answer) => self.written(&answer).map(Ok),
            Err(failure) => Ok(Err(failure)),
        }
    }

    async fn read_back(&self, timeout: Duration) -> Result<Finding> {
        self.store.counters.add_read_back();
        let object = self.store.get(self.kind, self.name, timeout).await?;
        Ok(match self.change {
            Change::Remove { at } => settle::found_after_remove(at, object.as_ref(), Version(0)),
            Change::Store { expect, nonce, .. } => {
                settle::found_after_store(expect, nonce, object.as_ref())
            }
        })
    }
}
