//! Why a caller gets no endpoint's answer.

use std::time::Duration;

/// What a refused caller may rely on.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Outcome {
    /// The program's budget does not hold the turn. Not run.
    BudgetSpent,
    /// The request is not proper. Not run.
    Malformed,
    /// No route leads there. Not run.
    NoRoute,
    /// Not run and never will be, for want of something that may come back.
    NotRun,
    /// The customer's rate is used up. Not run.
    OverRate,
    /// The request did not arrive in time. Not run.
    SlowSender,
    /// Time ran out while an endpoint had the request.
    TimedOut,
    /// The request is larger than callers may send. Not run.
    TooLarge,
    /// No customer holds the key. Not run.
    UnknownKey,
    /// The request was sent and may have run.
    UnknownResult,
}

impl Outcome {
    /// Name in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::BudgetSpent => "budget-spent",
            Self::Malformed => "malformed",
            Self::NoRoute => "no-route",
            Self::NotRun => "not-run",
            Self::OverRate => "over-rate",
            Self::SlowSender => "slow-sender",
            Self::TimedOut => "timed-out",
            Self::TooLarge => "too-large",
            Self::UnknownKey => "unknown-key",
            Self::UnknownResult => "unknown-result",
        }
    }
}

/// A refused request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// What the caller may rely on.
    pub outcome: Outcome,
    /// The reason, for people.
    pub detail: String,
    /// When a new attempt may succeed.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal without a time to come back.
    pub fn new(outcome: Outcome, detail: impl Into<String>) -> Self {
        Self {
            outcome,
            detail: detail.into(),
            retry_after: None,
        }
    }

    /// A request that has not run and may come back after `wait`.
    pub fn not_run(detail: impl Into<String>, wait: Duration) -> Self {
        Self {
            retry_after: Some(wait),
            ..Self::new(Outcome::NotRun, detail)
        }
    }
}

/// Result of a step on the way of a request.
pub type Result<T> = std::result::Result<T, Refusal>;
