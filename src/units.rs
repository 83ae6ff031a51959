//! Units: moments of the monotonic clock and model tokens.

use std::ops::Add;
use std::ops::AddAssign;
use std::time::Duration;

use rustix::time::ClockId;
use rustix::time::clock_gettime;
use serde::Deserialize;
use serde::Serialize;

/// A moment of the monotonic clock that also counts suspension.
///
/// Moments compare only within one host. Decision logic receives them as
/// values, so a test supplies its own.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Moment(Duration);

impl Moment {
    /// The present moment.
    pub fn now() -> Self {
        let now = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(now.tv_sec).unwrap_or_default();
        let nanos = u32::try_from(now.tv_nsec).unwrap_or_default();
        Self(Duration::new(seconds, nanos))
    }

    /// A moment at a distance from the clock's start.
    pub const fn from_start(distance: Duration) -> Self {
        Self(distance)
    }

    /// Distance from the clock's start.
    pub const fn since_start(self) -> Duration {
        self.0
    }

    /// Time passed since an earlier moment, zero if it is later.
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Time left until a later moment, zero if it is past.
    pub fn until(self, later: Self) -> Duration {
        later.0.saturating_sub(self.0)
    }
}

impl Add<Duration> for Moment {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        Self(self.0.saturating_add(span))
    }
}

impl AddAssign<Duration> for Moment {
    fn add_assign(&mut self, span: Duration) {
        *self = *self + span;
    }
}

/// Cost and budget of work, in model tokens.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Tokens(pub u64);

impl Tokens {
    /// Sum, capped at the largest value.
    pub fn saturating_add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }

    /// Difference, zero if the other is larger.
    pub fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}
