//! Rate limit of the platform stand-in.

use std::time::Instant;

/// Token bucket with a capacity of one second of calls, but at least one call.
#[derive(Debug)]
pub(crate) struct RateLimit {
    rate: f64,
    available: f64,
    refilled_at: Instant,
}

impl RateLimit {
    /// Creates a full bucket that refills at `rate` calls per second.
    pub(crate) fn new(rate: f64) -> Self {
        Self {
            rate,
            available: rate.max(1.0),
            refilled_at: Instant::now(),
        }
    }

    /// Takes one token; returns false if none is available.
    pub(crate) fn admit(&mut self) -> bool {
        let now = Instant::now();
        let refill = now.duration_since(self.refilled_at).as_secs_f64() * self.rate;
        self.available = (self.available + refill).min(self.rate.max(1.0));
        self.refilled_at = now;
        if self.available < 1.0 {
            return false;
        }
        self.available -= 1.0;
        true
    }
}
