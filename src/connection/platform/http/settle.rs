//! Conditional writes, and how the outcome of one is learnt if its answer is lost.
//!
//! After a lost answer the object is read back. Its own nonce means that the
//! write took effect, the expected version that it has not, and anything else
//! that another writer came between. Only in the second case is the same
//! conditional write sent again: should the first request still arrive, one of
//! the two finds the version changed and has no effect.
//!
//! Another writer's value does not show whether this write took effect before
//! it. It is reported as a conflict: the caller reads the object, which holds
//! what the other writer made of either state.

use std::time::Duration;

use async_io::Timer;
use bytes::Bytes;
use chicoryarch_net::Body;
use http::Request;
use http::StatusCode;

use super::HttpPlatform;
use super::exchange;
use super::exchange::Failure;
use super::exchange::Limits;
use super::wire;
use crate::configs::platform::PlatformConfig;
use crate::connection::platform::Expect;
use crate::connection::platform::Nonce;
use crate::connection::platform::Object;
use crate::connection::platform::PlatformError;
use crate::connection::platform::Result;
use crate::connection::platform::Written;
use crate::connection::platform::nonce_of;
use crate::ids::Version;
use crate::units::Moment;

/// Smallest part of a pause that is waited; hosts then do not return together.
const MIN_JITTER: f64 = 0.5;

/// What a conditional write does to its object.
#[derive(Debug)]
pub(super) enum Change {
    /// Removes it.
    Remove,
    /// Stores a value that carries the nonce.
    Store { nonce: Nonce, value: Bytes },
}

/// A conditional write.
#[derive(Debug)]
pub(super) struct ConditionalWrite<'a> {
    pub(super) kind: &'a str,
    pub(super) name: &'a str,
    pub(super) expect: Expect,
    pub(super) change: Change,
}

/// What a read back shows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Finding {
    /// The write took effect and gave this version.
    Applied(Version),
    /// Another writer changed the object.
    Replaced,
    /// The object is as the write expects it.
    Unchanged,
}

/// Time left to settle one write, and the pauses between its requests.
struct Patience {
    deadline: Moment,
    pause: Duration,
    max_pause: Duration,
}

impl Patience {
    fn new(cfg: &PlatformConfig) -> Self {
        Self {
            deadline: Moment::now() + cfg.settle_timeout,
            pause: cfg.retry_interval,
            max_pause: cfg.timeout,
        }
    }

    /// Waits before the next request, or gives up at the deadline.
    async fn pause(&mut self) -> Result<()> {
        let jitter = rand::random_range(MIN_JITTER..=1.0);
        let left = Moment::now().until(self.deadline);
        Timer::after(self.pause.mul_f64(jitter).min(left)).await;
        self.pause = (self.pause * 2).min(self.max_pause);
        if Moment::now() < self.deadline {
            Ok(())
        } else {
            Err(PlatformError::UnknownOutcome)
        }
    }
}

impl HttpPlatform {
    /// Carries out a conditional write and learns its outcome.
    pub(super) async fn apply(&self, write: &ConditionalWrite<'_>) -> Result<Written> {
        let mut patience = Patience::new(&self.cfg);
        match self.attempt(write, patience.deadline).await? {
            Ok(written) => return Ok(written),
            Err(Failure::NotApplied(detail)) => return Err(PlatformError::Unavailable(detail)),
            Err(Failure::Uncertain(_)) => (),
        }
        loop {
            match self.read_back(write, &mut patience).await? {
                Finding::Applied(version) => return Ok(Written::Done(version)),
                Finding::Replaced => return Ok(Written::Conflict),
                Finding::Unchanged => patience.pause().await?,
            }
            self.counters().add_resend();
            // A conflict may be caused by the earlier request, so it is read back too.
            if let Ok(Written::Done(version)) = self.attempt(write, patience.deadline).await? {
                return Ok(Written::Done(version));
            }
        }
    }

    /// Sends the write once.
    async fn attempt(
        &self,
        write: &ConditionalWrite<'_>,
        deadline: Moment,
    ) -> Result<exchange::Result<Written>> {
        let path = wire::object_path(write.kind, write.name)?;
        let (condition, tag) = wire::condition_of(write.expect);
        let req = Request::builder()
            .method(write.change.method())
            .uri(path)
            .header(condition, tag)
            .body(write.change.body())
            .expect("checked names form a valid path");
        let limits = self.limits_until(deadline);
        let answer = self
            .exchange
            .send(write.change.call_kind(), req, limits)
            .await;
        Ok(answer.and_then(|answer| written(answer.status, answer.version)))
    }

    /// Reads the object until there is an answer or the deadline has passed.
    async fn read_back(
        &self,
        write: &ConditionalWrite<'_>,
        patience: &mut Patience,
    ) -> Result<Finding> {
        loop {
            self.counters().add_read_back();
            if let Ok(finding) = self.find(write, patience.deadline).await {
                return Ok(finding);
            }
            patience.pause().await?;
        }
    }

    async fn find(&self, write: &ConditionalWrite<'_>, deadline: Moment) -> Result<Finding> {
        match write.change {
            Change::Remove => {
                // A list also gives the newest version, which a missing object lacks.
                let listing = self.list_objects(write.kind, write.name).await?;
                let object = listing.objects.iter().find(|o| o.name == write.name);
                Ok(found_after_remove(write.expect, object, listing.upto))
            }
            Change::Store { nonce, .. } => {
                let path = wire::object_path(write.kind, write.name)?;
                let limits = self.limits_until(deadline);
                let kind = super::CallKind::Read;
                let answer = self.exchange.get(kind, &path, limits).await?;
                let object = wire::object(write.name, &answer)?;
                Ok(found_after_store(write.expect, nonce, object.as_ref()))
            }
        }
    }

    fn limits_until(&self, deadline: Moment) -> Limits {
        let limits = self.object_limits();
        let left = Moment::now().until(deadline).max(Duration::from_millis(1));
        Limits {
            timeout: limits.timeout.min(left),
            ..limits
        }
    }
}

impl Change {
    fn body(&self) -> Body {
        match self {
            Self::Remove => Body::empty(),
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

fn found_after_store(expect: Expect, nonce: Nonce, object: Option<&Object>) -> Finding {
    match object {
        Some(object) if nonce_of(&object.value) == Some(nonce) => Finding::Applied(object.version),
        Some(object) if expect == Expect::At(object.version) => Finding::Unchanged,
        None if expect == Expect::Absent => Finding::Unchanged,
        _ => Finding::Replaced,
    }
}

fn found_after_remove(expect: Expect, object: Option<&Object>, newest: Version) -> Finding {
    match object {
        None => Finding::Applied(newest),
        Some(object) if expect == Expect::At(object.version) => Finding::Unchanged,
        Some(_) => Finding::Replaced,
    }
}
