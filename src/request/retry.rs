//! Retry policy and retry budget.
//!
//! An attempt that is known not to have reached its endpoint is always safe to
//! retry; one that may have run is retried only if the call is repeatable.
//! Retries are paid from a budget that first attempts fill, so that retries do
//! not multiply the load on a fleet that is failing.

use chicoryarch_net::client::ClientError;

use crate::configs::retry::RetryConfig;

/// Kind of a failed attempt, ordered by severity.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Failure {
    /// The call is known not to have reached the endpoint.
    NotSent,
    /// The endpoint may have run the call.
    MayHaveRun,
}

impl From<&ClientError> for Failure {
    fn from(e: &ClientError) -> Self {
        if e.is_not_sent() {
            Self::NotSent
        } else {
            Self::MayHaveRun
        }
    }
}

/// Number of retries available to all calls of a host.
///
/// First attempts add to it and each retry deducts 1.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    cfg: RetryConfig,
    available: f64,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new(cfg: RetryConfig) -> Self {
        Self {
            available: cfg.reserve,
            cfg,
        }
    }

    /// Adds the configured ratio for a first attempt, up to the reserve.
    pub fn deposit(&mut self) {
        self.available = (self.available + self.cfg.ratio).min(self.cfg.reserve);
    }

    /// Returns whether a call may be retried after `attempts` attempts; if so,
    /// deducts the retry from the budget.
    pub fn permit(&mut self, failure: Failure, repeatable: bool, attempts: u32) -> bool {
        let is_safe = repeatable || failure == Failure::NotSent;
        if !is_safe || attempts >= self.cfg.max_attempts || self.available < 1.0 {
            return false;
        }
        self.available -= 1.0;
        true
    }
}
