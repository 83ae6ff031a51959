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

use std::future::Future;
use std::time::Duration;

use async_io::Timer;
use bytes::Bytes;

use super::Expect;
use super::Nonce;
use super::Object;
use super::PlatformError;
use super::Result;
use super::Written;
use super::counters::CallKind;
use super::counters::PlatformCounters;
use super::exchange;
use super::exchange::Failure;
use super::nonce_of;
use crate::ids::Version;
use crate::units::Moment;

/// Smallest part of a pause that is waited; hosts then do not return together.
const MIN_JITTER: f64 = 0.5;
/// Shortest time for a request, at the end of the time to settle a write.
const MIN_TIMEOUT: Duration = Duration::from_millis(1);

/// What a conditional write does to its object.
#[derive(Clone, Debug)]
pub enum Change {
    /// Removes it at a version.
    Remove {
        /// The version.
        at: Version,
    },
    /// Stores a value.
    Store {
        /// What must be there before.
        expect: Expect,
        /// The nonce that the value carries.
        nonce: Nonce,
        /// The value.
        value: Bytes,
    },
}

impl Change {
    /// What must be there before.
    pub const fn expect(&self) -> Expect {
        match self {
            Self::Remove { at } => Expect::At(*at),
            Self::Store { expect, .. } => *expect,
        }
    }

    /// Kind under which the call is counted.
    pub const fn call_kind(&self) -> CallKind {
        match self {
            Self::Remove { .. } => CallKind::Remove,
            Self::Store { .. } => CallKind::Write,
        }
    }

    /// What an object that was read back says of the change.
    fn finding(&self, read: &ReadBack) -> Finding {
        let ReadBack { object, newest } = read;
        match (self, object) {
            (Self::Remove { .. }, None) => Finding::Applied(*newest),
            (Self::Store { nonce, .. }, Some(object))
                if nonce_of(&object.value) == Some(*nonce) =>
            {
                Finding::Applied(object.version)
            }
            _ if self.expect() == state_of(object.as_ref()) => Finding::Unchanged,
            _ => Finding::Replaced,
        }
    }
}

fn state_of(object: Option<&Object>) -> Expect {
    object.map_or(Expect::Absent, |object| Expect::At(object.version))
}

/// A conditional write to one object.
#[derive(Clone, Debug)]
pub struct Write<'a> {
    /// Kind of the object.
    pub kind: &'a str,
    /// Name of the object.
    pub name: &'a str,
    /// What is done to it.
    pub change: Change,
}

/// An object that was read to learn the outcome of a write.
#[derive(Clone, Debug)]
pub struct ReadBack {
    /// The object, if there is one.
    pub object: Option<Object>,
    /// A version at which a missing object was missing; 0 if none is known.
    pub newest: Version,
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

/// Limits of settling one write.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Longest time for the first request; it doubles with each.
    pub first_timeout: Duration,
    /// Longest time for any request.
    pub timeout: Duration,
    /// First pause between two requests; it doubles with each.
    pub retry_interval: Duration,
    /// Longest time until the outcome is known.
    pub settle_timeout: Duration,
}

/// A client that sends conditional writes.
pub trait Writer: Sync {
    /// Counters of its calls.
    fn counters(&self) -> &PlatformCounters;

    /// Sends a write once.
    ///
    /// # Errors
    ///
    /// What makes it useless to send the write at all.
    fn attempt(
        &self,
        write: &Write<'_>,
        timeout: Duration,
    ) -> impl Future<Output = Result<exchange::Result<Written>>> + Send;

    /// Reads the object of a write once.
    ///
    /// # Errors
    ///
    /// Why there is no answer.
    fn read_back(
        &self,
        write: &Write<'_>,
        timeout: Duration,
    ) -> impl Future<Output = Result<ReadBack>> + Send;
}

/// Time left to settle one write, the pauses between its requests and the
/// longest time for the next one.
struct Patience {
    limits: Limits,
    deadline: Moment,
    pause: Duration,
    timeout: Duration,
}

impl Patience {
    fn new(limits: Limits) -> Self {
        Self {
            limits,
            deadline: Moment::now() + limits.settle_timeout,
            pause: limits.retry_interval,
            timeout: limits.first_timeout,
        }
    }

    fn next_timeout(&mut self) -> Duration {
        let left = Moment::now().until(self.deadline).max(MIN_TIMEOUT);
        let timeout = self.timeout.min(left);
        self.timeout = (self.timeout * 2).min(self.limits.timeout);
        timeout
    }

    /// Waits before the next request, or gives up at the deadline.
    async fn pause(&mut self) -> Result<()> {
        let jitter = rand::random_range(MIN_JITTER..=1.0);
        let left = Moment::now().until(self.deadline);
        Timer::after(self.pause.mul_f64(jitter).min(left)).await;
        self.pause = (self.pause * 2).min(self.limits.timeout);
        if Moment::now() < self.deadline {
            Ok(())
        } else {
            Err(PlatformError::UnknownOutcome)
        }
    }
}

/// Carries out a conditional write and learns its outcome.
///
/// # Errors
///
/// [`PlatformError::Unavailable`] if it did not take effect and never will,
/// [`PlatformError::UnknownOutcome`] if its outcome is not known in time.
pub async fn settle(client: &impl Writer, write: &Write<'_>, limits: Limits) -> Result<Written> {
    let mut patience = Patience::new(limits);
    match client.attempt(write, patience.next_timeout()).await? {
        Ok(written) => return Ok(written),
        Err(Failure::NotApplied(detail)) => return Err(PlatformError::Unavailable(detail)),
        Err(Failure::Uncertain(_)) => (),
    }
    loop {
        match read_back(client, write, &mut patience).await? {
            Finding::Applied(version) => return Ok(Written::Done(version)),
            Finding::Replaced => return Ok(Written::Conflict),
            Finding::Unchanged => patience.pause().await?,
        }
        client.counters().add_resend();
        // A conflict may be caused by the earlier request, so it is read back too.
        let repeated = client.attempt(write, patience.next_timeout()).await?;
        if let Ok(Written::Done(version)) = repeated {
            return Ok(Written::Done(version));
        }
    }
}

/// Reads the object until there is an answer or the deadline has passed.
async fn read_back(
    client: &impl Writer,
    write: &Write<'_>,
    patience: &mut Patience,
) -> Result<Finding> {
    loop {
        client.counters().add_read_back();
        match client.read_back(write, patience.next_timeout()).await {
            Ok(read) => return Ok(write.change.finding(&read)),
            Err(e) => log::debug!("a write is not settled yet: {e}"),
        }
        patience.pause().await?;
    }
}
