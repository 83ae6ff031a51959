//! Refusals: what a caller is told when a call gives no answer.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Whether the refused call can have run at an endpoint.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ran {
    /// It has not run and will not.
    NotRun,
    /// It may have run.
    Unknown,
}

impl Ran {
    /// Value of the `Chicoryarch-Outcome` header.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// Why a call was refused; the problem body's `type` is derived from it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The request cannot be understood or breaks a limit.
    BadRequest,
    /// The program's budget is spent.
    BudgetSpent,
    /// The call was cancelled by an operator or by the end of its program.
    Cancelled,
    /// An idempotency key came back with another body.
    ConflictingKey,
    /// The host is shutting down.
    Draining,
    /// The endpoint's answer was lost or broken.
    EndpointFailed,
    /// The recorded history of the program has a gap.
    HistoryGap,
    /// The journal cannot be written, so the call was not started.
    JournalUnavailable,
    /// No endpoint of the service can take the call.
    NoEndpoint,
    /// The host that owns the program cannot be reached.
    OwnerUnavailable,
    /// The call comes after a later call of its program, or too far ahead.
    OutOfOrder,
    /// The queue is full or the call's deadline passed in it.
    Overloaded,
    /// The customer's rate and burst are used up.
    RateExceeded,
    /// The same call is still running.
    StillRunning,
    /// The request body did not arrive in time.
    SlowSender,
    /// The request body or header section is too large.
    TooLarge,
    /// The key is missing, unknown or withdrawn.
    Unauthorized,
    /// The program does not exist, has ended or belongs to another customer.
    UnknownProgram,
    /// The service does not exist.
    UnknownService,
}

/// A refusal, given at once.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// Whether the call can have run.
    pub ran: Ran,
    /// One sentence for a person; holds no key and no prompt.
    pub detail: String,
    /// When to come back, if that helps.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal of a call that has not run.
    pub fn not_run(reason: Reason, detail: impl Into<String>) -> Self {
        Self {
            reason,
            ran: Ran::NotRun,
            detail: detail.into(),
            retry_after: None,
        }
    }

    /// A refusal of a call that may have run.
    pub fn unknown(reason: Reason, detail: impl Into<String>) -> Self {
        Self {
            ran: Ran::Unknown,
            ..Self::not_run(reason, detail)
        }
    }

    /// The same refusal with a time to come back.
    #[must_use]
    pub fn retry_after(self, wait: Duration) -> Self {
        Self {
            retry_after: Some(wait),
            ..self
        }
    }
}

/// Result of a stage of a call.
pub type Result<T> = std::result::Result<T, Refusal>;
