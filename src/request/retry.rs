//! Which failed calls may be tried again, and how often.
//!
//! An attempt that is known not to have reached its endpoint may always be
//! repeated; one that may have run only if the call is repeatable. Repeats are
//! paid from a budget that first attempts fill, so that a failing fleet is not
//! loaded with more work than it was asked for.

use chicoryarch_net::client::ClientError;

use crate::configs::retry::RetryConfig;

/// What an attempt left behind; the graver one is larger.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Failure {
    /// The endpoint has not seen the call.
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

/// Attempts that may still be repeated, over all calls of a host.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    cfg: RetryConfig,
    available: f64,
}

impl RetryBudget {
    /// A full budget.
    pub fn new(cfg: RetryConfig) -> Self {
        Self {
            available: cfg.reserve,
            cfg,
        }
    }

    /// Adds a first attempt's share.
    pub fn deposit(&mut self) {
        self.available = (self.available + self.cfg.ratio).min(self.cfg.reserve);
    }

    /// Decides whether to repeat after `attempts` attempts, and pays for it.
    pub fn permit(&mut self, failure: Failure, repeatable: bool, attempts: u32) -> bool {
        let safe = repeatable || failure == Failure::NotSent;
        if !safe || attempts >= self.cfg.max_attempts || self.available < 1.0 {
            return false;
        }
        self.available -= 1.0;
        true
    }
}
