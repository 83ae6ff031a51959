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

use super::Expect;
use super::Nonce;
use super::Object;
use super::PlatformError;
use super::Result;
use super::Written;
use super::nonce_of;
use crate::ids::Version;
use crate::units::Moment;

/// Smallest part of a pause that is waited; hosts then do not return together.
const MIN_JITTER: f64 = 0.5;
/// Shortest time for a request, at the end of the time to settle a write.
const MIN_TIMEOUT: Duration = Duration::from_millis(1);

/// Why a request got no usable answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Failure {
    /// The platform did not carry it out.
    NotApplied(String),
    /// The platform may have carried it out, or may do so later.
    Uncertain(String),
}

impl From<Failure> for PlatformError {
    fn from(failure: Failure) -> Self {
        match failure {
            Failure::NotApplied(detail) | Failure::Uncertain(detail) => Self::Unavailable(detail),
        }
    }
}

/// What a read back shows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Finding {
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

/// A conditional write as one client sends it.
pub trait ConditionalWrite: Sync {
    /// Sends the write once.
    ///
    /// # Errors
    ///
    /// What makes it useless to send the write at all.
    fn attempt(
        &self,
        timeout: Duration,
        is_repeated: bool,
    ) -> impl Future<Output = Result<std::result::Result<Written, Failure>>> + Send;

    /// Reads the object once.
    ///
    /// # Errors
    ///
    /// Why there is no answer.
    fn read_back(&self, timeout: Duration) -> impl Future<Output = Result<Finding>> + Send;
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
pub async fn settle(write: &impl ConditionalWrite, limits: Limits) -> Result<Written> {
    let mut patience = Patience::new(limits);
    match write.attempt(patience.next_timeout(), false).await? {
        Ok(written) => return Ok(written),
        Err(Failure::NotApplied(detail)) => return Err(PlatformError::Unavailable(detail)),
        Err(Failure::Uncertain(_)) => (),
    }
    loop {
        match read_back(write, &mut patience).await? {
            Finding::Applied(version) => return Ok(Written::Done(version)),
            Finding::Replaced => return Ok(Written::Conflict),
            Finding::Unchanged => patience.pause().await?,
        }
        // A conflict may be caused by the earlier request, so it is read back too.
        let repeated = write.attempt(patience.next_timeout(), true).await?;
        if let Ok(Written::Done(version)) = repeated {
            return Ok(Written::Done(version));
        }
    }
}

/// Reads the object until there is an answer or the deadline has passed.
async fn read_back(write: &impl ConditionalWrite, patience: &mut Patience) -> Result<Finding> {
    loop {
        match write.read_back(patience.next_timeout()).await {
            Ok(finding) => return Ok(finding),
            Err(e) => log::debug!("a write is not settled yet: {e}"),
        }
        patience.pause().await?;
    }
}

/// What an object that was read back says of a write that stores a value.
pub fn found_after_store(expect: Expect, nonce: Nonce, object: Option<&Object>) -> Finding {
    match object {
        Some(object) if nonce_of(&object.value) == Some(nonce) => Finding::Applied(object.version),
        Some(object) if expect == Expect::At(object.version) => Finding::Unchanged,
        None if expect == Expect::Absent => Finding::Unchanged,
        _ => Finding::Replaced,
    }
}

/// What an object that was read back says of its removal; `newest` is a
/// version at which it was missing.
pub fn found_after_remove(at: Version, object: Option<&Object>, newest: Version) -> Finding {
    match object {
        None => Finding::Applied(newest),
        Some(object) if object.version == at => Finding::Unchanged,
        Some(_) => Finding::Replaced,
    }
}
