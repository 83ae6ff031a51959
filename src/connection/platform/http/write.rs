//! Sends conditional writes to the platform and interprets the answers.

use std::time::Duration;

use chicoryarch_net::Body;
use http::Method;
use http::Request;
use http::StatusCode;

use super::HttpPlatform;
use super::MAX_VALUE_BYTES;
use super::wire;
use crate::connection::platform::Result;
use crate::connection::platform::Written;
use crate::connection::platform::counters::CallKind;
use crate::connection::platform::counters::PlatformCounters;
use crate::connection::platform::exchange;
use crate::connection::platform::exchange::Failure;
use crate::connection::platform::exchange::Limits;
use crate::connection::platform::settle::Change;
use crate::connection::platform::settle::ReadBack;
use crate::connection::platform::settle::Write;
use crate::connection::platform::settle::Writer;
use crate::ids::Version;

impl Writer for HttpPlatform {
    fn counters(&self) -> &PlatformCounters {
        self.exchange.counters()
    }

    async fn attempt(
        &self,
        write: &Write<'_>,
        timeout: Duration,
    ) -> Result<exchange::Result<Written>> {
        let path = wire::object_path(write.kind, write.name)?;
        let (header, tag) = wire::precondition_header(write.change.expect());
        let (method, body) = match &write.change {
            Change::Remove { .. } => (Method::DELETE, Body::empty()),
            Change::Store { value, .. } => (Method::PUT, Body::from_bytes(value.clone())),
        };
        let req = Request::builder()
            .method(method)
            .uri(path)
            .header(header, tag)
            .body(body)
            .expect("validated names form a valid path");
        let limits = Limits::whole(timeout, MAX_VALUE_BYTES);
        let kind = write.change.call_kind();
        let answer = self.exchange.send(kind, req, limits).await;
        Ok(answer.and_then(|answer| write_result(answer.status, answer.version)))
    }

    async fn read_back(&self, write: &Write<'_>, timeout: Duration) -> Result<ReadBack> {
        if matches!(write.change, Change::Remove { .. }) {
            // For a missing object a read returns no version, but a list returns the
            // store's.
            let listing = self.list_objects(write.kind, write.name).await?;
            let mut objects = listing.objects.into_iter();
            return Ok(ReadBack {
                object: objects.find(|object| object.name == write.name),
                newest: listing.upto,
            });
        }
        let path = wire::object_path(write.kind, write.name)?;
        let limits = Limits::whole(timeout, MAX_VALUE_BYTES);
        let answer = self.exchange.get(CallKind::Read, &path, limits).await?;
        Ok(ReadBack {
            object: wire::parse_object(write.name, &answer)?,
            newest: Version(0),
        })
    }
}

/// Maps the status and version of an answer to the result of the write.
fn write_result(status: StatusCode, version: Option<Version>) -> exchange::Result<Written> {
    match (status, version) {
        (StatusCode::PRECONDITION_FAILED, _) => Ok(Written::Conflict),
        (StatusCode::NOT_FOUND, _) => Err(Failure::NotApplied(format!("status {status}"))),
        (_, Some(version)) => Ok(Written::Done(version)),
        (_, None) => Err(Failure::Uncertain(
            "the answer to a write has no version".to_owned(),
        )),
    }
}
