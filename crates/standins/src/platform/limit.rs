//! Rate limit of the platform stand-in.

use std::time::Instant;

/// A token bucket that holds the calls of one second, at least one.
#[derive(Debug)]
pub(crate) struct RateLimit {
    rate: f64,
    available: f64,
    refilled: Instant,
}

impl RateLimit {
    /// A full bucket for `rate` calls a second.
    pub(crate) fn new(rate: f64) -> Self {
        Self {
            rate,
            available: rate.max(1.0),
            refilled: Instant::now(),
        }
    }

    /// Takes one call from the bucket, if there is one.
    pub(crate) fn admit(&mut self) -> bool {
        let now = Instant::now();
        let gained = now.duration_since(self.refilled).as_secs_f64() * self.rate;
        self.available = (self.available + gained).min(self.rate.max(1.0));
        self.refilled = now;
        if self.available < 1.0 {
            return false;
        }
        self.available -= 1.0;
        true
    }
}
