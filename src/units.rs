//! Units: points in time on the monotonic clock, and model tokens.

use std::ops::Add;
use std::ops::AddAssign;
use std::time::Duration;

use rustix::time::ClockId;
use rustix::time::clock_gettime;
use serde::Deserialize;
use serde::Serialize;

/// A point in time on the boot-time clock, which is monotonic and includes time
/// in suspension.
///
/// Moments of different hosts are not comparable. Decision logic receives
/// moments as arguments, so that tests can supply a virtual clock.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Moment(Duration);

impl Moment {
    /// Returns the current time.
    pub fn now() -> Self {
        let now = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(now.tv_sec).unwrap_or_default();
        let nanos = u32::try_from(now.tv_nsec).unwrap_or_default();
        Self(Duration::new(seconds, nanos))
    }

    /// Creates a moment at a distance from the clock's origin.
    pub const fn from_start(distance: Duration) -> Self {
        Self(distance)
    }

    /// Returns the distance from the clock's origin.
    pub const fn since_start(self) -> Duration {
        self.0
    }

    /// Time since an earlier moment; zero if that moment is later.
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the moment `span` earlier, but not before the clock's origin.
    pub const fn minus(self, span: Duration) -> Self {
        Self(self.0.saturating_sub(span))
    }

    /// Time until a later moment; zero if that moment is earlier.
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

/// A number of model tokens: the unit of costs and budgets.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Tokens(pub u64);

impl Tokens {
    /// Returns the sum, capped at the maximum value.
    pub fn saturating_add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }

    /// Returns the difference; zero if `other` is larger.
    pub fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}
