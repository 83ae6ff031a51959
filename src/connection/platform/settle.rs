//! Conditional writes, whose outcome is determined even if the answer is lost.
//!
//! After a lost answer the object is read back. If it carries the write's own
//! nonce, the write took effect; if it is at the expected version, the write
//! has not taken effect; otherwise another writer has changed the object. Only
//! in the second case is the same conditional write sent again: if the first
//! request still arrives, one of the two finds another version and has no
//! effect.
//!
//! If another writer has changed the object, it is unknown whether this write
//! took effect before. The write is reported as a conflict, and the caller reads
//! the object again: its value is what the other writer made of the state with
//! or without this write.

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

/// Lower bound of the random factor applied to pauses, so that hosts do not
/// retry at the same time.
const MIN_JITTER: f64 = 0.5;
/// Minimum timeout of a request close to the deadline.
const MIN_TIMEOUT: Duration = Duration::from_millis(1);

/// What a conditional write does to its object.
#[derive(Clone, Debug)]
pub enum Change {
    /// Removes the object.
    Remove {
        /// Version at which the object must be.
        at: Version,
    },
    /// Stores a value.
    Store {
        /// Precondition of the write.
        expect: Expect,
        /// Nonce in the value's envelope.
        nonce: Nonce,
        /// Encoded envelope.
        value: Bytes,
    },
}

impl Change {
    /// Precondition of the change.
    pub const fn expect(&self) -> Expect {
        match self {
            Self::Remove { at } => Expect::At(*at),
            Self::Store { expect, .. } => *expect,
        }
    }

    /// Kind of call in the counters.
    pub const fn call_kind(&self) -> CallKind {
        match self {
            Self::Remove { .. } => CallKind::Remove,
            Self::Store { .. } => CallKind::Write,
        }
    }

    /// Determines from the object read back whether the change took effect.
    fn classify(&self, read: &ReadBack) -> WriteState {
        let ReadBack { object, newest } = read;
        match (self, object) {
            (Self::Remove { .. }, None) => WriteState::Applied(*newest),
            (Self::Store { nonce, .. }, Some(object))
                if nonce_of(&object.value) == Some(*nonce) =>
            {
                WriteState::Applied(object.version)
            }
            _ if self.expect() == current_state(object.as_ref()) => WriteState::Unchanged,
            _ => WriteState::Replaced,
        }
    }
}

fn current_state(object: Option<&Object>) -> Expect {
    object.map_or(Expect::Absent, |object| Expect::At(object.version))
}

/// A conditional write to one object.
#[derive(Clone, Debug)]
pub struct Write<'a> {
    /// Kind of the object.
    pub kind: &'a str,
    /// Name of the object.
    pub name: &'a str,
    /// Change to apply.
    pub change: Change,
}

/// Result of reading an object to determine the outcome of a write.
#[derive(Clone, Debug)]
pub struct ReadBack {
    /// The object; `None` if it does not exist.
    pub object: Option<Object>,
    /// Store version at which the object was missing; 0 if unknown.
    pub newest: Version,
}

/// State of a write according to a read back.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum WriteState {
    /// The write took effect; holds the version of the object, or of the store if
    /// the object was removed.
    Applied(Version),
    /// Another writer changed the object.
    Replaced,
    /// The object still matches the write's precondition.
    Unchanged,
}

/// Time limits of a write, including its retries.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Timeout of the first request; doubles with each request up to `timeout`.
    pub first_timeout: Duration,
    /// Maximum timeout of a request and maximum pause.
    pub timeout: Duration,
    /// First pause before a retry; doubles with each retry up to `timeout`.
    pub retry_interval: Duration,
    /// Time after which the outcome is reported as unknown.
    pub settle_timeout: Duration,
}

/// A client that sends conditional writes.
pub trait Writer: Sync {
    /// Counters of the client's calls.
    fn counters(&self) -> &PlatformCounters;

    /// Sends a write once.
    ///
    /// # Errors
    ///
    /// Returns an error if the write is invalid, so that a retry cannot succeed.
    /// The inner result reports failures of the request.
    fn attempt(
        &self,
        write: &Write<'_>,
        timeout: Duration,
    ) -> impl Future<Output = Result<exchange::Result<Written>>> + Send;

    /// Reads the object of a write once.
    ///
    /// # Errors
    ///
    /// Returns an error if the read fails.
    fn read_back(
        &self,
        write: &Write<'_>,
        timeout: Duration,
    ) -> impl Future<Output = Result<ReadBack>> + Send;
}

/// Deadline of a write, and the pause and timeout of its next request.
struct RetrySchedule {
    limits: Limits,
    deadline: Moment,
    pause: Duration,
    timeout: Duration,
}

impl RetrySchedule {
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

    /// Waits before the next request.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::UnknownOutcome`] once the deadline has passed.
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

/// Sends a conditional write and determines its outcome.
///
/// # Errors
///
/// Returns [`PlatformError::Unavailable`] if the write did not take effect and
/// never will, and [`PlatformError::UnknownOutcome`] if the outcome is not
/// known before the deadline.
pub async fn settle(client: &impl Writer, write: &Write<'_>, limits: Limits) -> Result<Written> {
    let mut schedule = RetrySchedule::new(limits);
    match client.attempt(write, schedule.next_timeout()).await? {
        Ok(written) => return Ok(written),
        Err(Failure::NotApplied(detail)) => return Err(PlatformError::Unavailable(detail)),
        Err(Failure::Uncertain(_)) => (),
    }
    loop {
        match read_back(client, write, &mut schedule).await? {
            WriteState::Applied(version) => return Ok(Written::Done(version)),
            WriteState::Replaced => return Ok(Written::Conflict),
            WriteState::Unchanged => schedule.pause().await?,
        }
        client.counters().add_resend();
        // An earlier request may have caused a conflict, so a conflict is read
        // back too.
        let repeated = client.attempt(write, schedule.next_timeout()).await?;
        if let Ok(Written::Done(version)) = repeated {
            return Ok(Written::Done(version));
        }
    }
}

/// Reads the object back until a read succeeds or the deadline passes.
async fn read_back(
    client: &impl Writer,
    write: &Write<'_>,
    schedule: &mut RetrySchedule,
) -> Result<WriteState> {
    loop {
        client.counters().add_read_back();
        match client.read_back(write, schedule.next_timeout()).await {
            Ok(read) => return Ok(write.change.classify(&read)),
            Err(e) => log::debug!("cannot read back the object of a platform write yet: {e}"),
        }
        schedule.pause().await?;
    }
}
