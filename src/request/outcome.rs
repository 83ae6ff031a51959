//! Refusals, returned to the caller in place of an answer.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Whether a refused call may have run at an endpoint.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ran {
    /// The call has not run and will not run.
    NotRun,
    /// The call may have run.
    Unknown,
}

impl Ran {
    /// Returns the value of the `Chicoryarch-Outcome` header.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// Reason for a refusal; determines the `type` of the problem body.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The request is malformed or exceeds a limit.
    BadRequest,
    /// The program's budget is spent.
    BudgetSpent,
    /// The call was cancelled by an operator or by the end of its program.
    Cancelled,
    /// The idempotency key was used before with a different request.
    ConflictingKey,
    /// The owner is handing the partition over to another host.
    Draining,
    /// The endpoint's answer was lost, incomplete or not recorded.
    EndpointFailed,
    /// A turn is missing from the program's recorded history, or the history is
    /// unreadable.
    HistoryGap,
    /// The journal or the history cannot be written or read.
    JournalUnavailable,
    /// No endpoint of the service can take the call.
    NoEndpoint,
    /// The host that owns the program is unknown, cannot be reached or may not
    /// serve it at the moment.
    OwnerUnavailable,
    /// The call arrived after a later call of its program, or its ordinal is too
    /// far ahead.
    OutOfOrder,
    /// A queue or the journal is full, the call would not start before its
    /// deadline, or its held conversation grew while it waited.
    Overloaded,
    /// The customer has exceeded its rate and burst.
    RateExceeded,
    /// An earlier call with the same idempotency key or ordinal is still waiting
    /// or running.
    StillRunning,
    /// The request body did not arrive in time.
    SlowSender,
    /// The request body or header section is too large.
    TooLarge,
    /// The key is missing, unknown or withdrawn, or this host has been cut off
    /// too long to accept keys.
    Unauthorized,
    /// The program does not exist, has ended or belongs to another customer.
    UnknownProgram,
    /// The service does not exist.
    UnknownService,
}

/// Refusal of a call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Refusal {
    /// Reason for the refusal.
    pub reason: Reason,
    /// Whether the call may have run.
    pub ran: Ran,
    /// Human-readable explanation in one sentence; never contains a key or a
    /// prompt.
    pub detail: String,
    /// Time after which to retry; `None` if a retry is not suggested.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal of a call that has not run.
    pub fn not_run(reason: Reason, detail: impl Into<String>) -> Self {
        Self {
            reason,
            ran: Ran::NotRun,
            detail: detail.into(),
            retry_after: None,
        }
    }

    /// Creates a refusal of a call that may have run.
    pub fn unknown(reason: Reason, detail: impl Into<String>) -> Self {
        Self {
            ran: Ran::Unknown,
            ..Self::not_run(reason, detail)
        }
    }

    /// Sets the time after which to retry.
    #[must_use]
    pub fn retry_after(self, wait: Duration) -> Self {
        Self {
            retry_after: Some(wait),
            ..self
        }
    }
}

/// Result of processing a call; the error is its refusal.
pub type Result<T> = std::result::Result<T, Refusal>;
