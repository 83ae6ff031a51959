//! Sends conditional writes to the store and interprets the answers.

use std::time::Duration;

use http::Method;
use http::StatusCode;

use super::Answer;
use super::MAX_ANSWER_BYTES;
use super::ObjectStore;
use super::objects;
use crate::connection::platform::Expect;
use crate::connection::platform::PlatformError;
use crate::connection::platform::Result;
use crate::connection::platform::Written;
use crate::connection::platform::counters::PlatformCounters;
use crate::connection::platform::exchange;
use crate::connection::platform::exchange::Limits;
use crate::connection::platform::nonce_of;
use crate::connection::platform::settle::Change;
use crate::connection::platform::settle::ReadBack;
use crate::connection::platform::settle::Write;
use crate::connection::platform::settle::Writer;
use crate::ids::Version;

impl Writer for ObjectStore {
    fn counters(&self) -> &PlatformCounters {
        &self.counters
    }

    async fn attempt(
        &self,
        write: &Write<'_>,
        timeout: Duration,
    ) -> Result<exchange::Result<Written>> {
        let (method, target, body) = build_request(write);
        let call = write.change.call_kind();
        let limits = Limits::whole(timeout, MAX_ANSWER_BYTES);
        match self.send(call, method, &target, body, limits).await {
            Ok(answer) => write_result(&write.change, &answer).map(Ok),
            Err(failure) => Ok(Err(failure)),
        }
    }

    async fn read_back(&self, write: &Write<'_>, timeout: Duration) -> Result<ReadBack> {
        Ok(ReadBack {
            object: self
                .get(
                    write.kind,
                    write.name,
                    Limits::whole(timeout, MAX_ANSWER_BYTES),
                )
                .await?,
            newest: Version(0),
        })
    }
}

fn build_request(write: &Write<'_>) -> (Method, String, Option<Vec<u8>>) {
    let Write { kind, name, change } = write;
    let (method, target, metadata, value) = match change {
        Change::Remove { at } => {
            let target = format!("/v1/objects/{kind}/{name}?revision={at}");
            return (Method::DELETE, target, None);
        }
        Change::Store {
            expect: Expect::Absent,
            value,
            ..
        } => {
            let metadata = format!("{{\"name\":\"{name}\"}}");
            (Method::POST, format!("/v1/objects/{kind}"), metadata, value)
        }
        Change::Store {
            expect: Expect::At(Version(revision)),
            value,
            ..
        } => {
            let metadata = format!("{{\"name\":\"{name}\",\"revision\":{revision}}}");
            let target = format!("/v1/objects/{kind}/{name}");
            (Method::PUT, target, metadata, value)
        }
    };
    let mut body = format!("{{\"metadata\":{metadata},\"spec\":").into_bytes();
    body.extend_from_slice(value);
    body.push(b'}');
    (method, target, Some(body))
}

/// Maps the store's answer to the result of the write. A conflict whose object
/// carries the nonce of this write shows that an earlier request took effect.
fn write_result(change: &Change, answer: &Answer) -> Result<Written> {
    let status = answer.status;
    let stored = objects::parse_answer(&answer.body);
    match (change, status) {
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
