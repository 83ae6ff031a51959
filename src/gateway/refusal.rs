//! Refusals: answers of the gateway itself in place of an endpoint's.

use std::time::Duration;

/// Outcome of a refused request, and whether the request may have run.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Outcome {
    /// The rest of the program's budget is too small for the turn. Not run.
    BudgetSpent,
    /// The request is malformed. Not run.
    Malformed,
    /// No route matches the host and path. Not run.
    NoRoute,
    /// A resource was missing that may be available later. Not run, and will
    /// not run later.
    NotRun,
    /// The turn that the request continues does not exist. Not run.
    NoTurn,
    /// The customer exceeds its rate. Not run.
    OverRate,
    /// The body of the request did not arrive in time. Not run.
    SlowSender,
    /// No answer arrived before the deadline. The request may have run.
    TimedOut,
    /// The request exceeds a size limit. Not run.
    TooLarge,
    /// No customer holds the key. Not run.
    UnknownKey,
    /// The request was sent and its answer was lost. It may have run.
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
            Self::NoTurn => "no-turn",
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
    /// Whether and why the request did not run.
    pub outcome: Outcome,
    /// Human-readable reason.
    pub detail: String,
    /// Time after which a retry may succeed; `None` if unknown.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal without a retry time.
    pub fn new(outcome: Outcome, detail: impl Into<String>) -> Self {
        Self {
            outcome,
            detail: detail.into(),
            retry_after: None,
        }
    }

    /// Creates a refusal of a request that did not run and may be retried
    /// after `wait`.
    pub fn not_run(detail: impl Into<String>, wait: Duration) -> Self {
        Self {
            retry_after: Some(wait),
            ..Self::new(Outcome::NotRun, detail)
        }
    }
}

/// Result of a step in the handling of a request.
pub type Result<T> = std::result::Result<T, Refusal>;
