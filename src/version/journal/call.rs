//! Requests to a journal and the journal's replies.

use std::fmt;

use super::archive::Archive;
use super::document::Answer;
use super::document::Digest;
use super::document::OnceId;
use super::document::OnceState;
use super::document::StoredAnswer;
use super::partition::PartitionId;
use crate::ids::CustomerId;
use crate::ids::Epoch;
use crate::ids::Ordinal;
use crate::ids::ProgramId;
use crate::request::outcome::Reason;
use crate::request::outcome::Refusal;
use crate::request::outcome::Result;
use crate::units::Moment;
use crate::units::Tokens;
use crate::version::history::HistoryMode;

/// Number of a request to one journal; the reply carries the same number.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RequestId(pub(super) u64);

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Parameters of a program to open.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ProgramSpec {
    /// The customer that the request is authenticated as.
    pub customer: CustomerId,
    /// Tokens that the program may spend; required unless it has a parent. A
    /// sub-agent without a budget is limited by the budgets of its ancestors.
    pub budget: Option<Tokens>,
    /// The program that opens this one as a sub-agent.
    pub parent: Option<ProgramId>,
    /// Whether the caller or the owner keeps the conversation.
    pub history: HistoryMode,
}

/// The program or the partition that a call belongs to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Scope {
    /// A program, which orders and charges its calls.
    Program(ProgramId),
    /// No program; the partition of the call's idempotency key.
    Single(PartitionId),
}

impl Scope {
    /// The program, if there is one.
    pub fn program(&self) -> Option<&ProgramId> {
        match self {
            Self::Program(program) => Some(program),
            Self::Single(_) => None,
        }
    }

    /// The partition whose journal records the call.
    pub fn partition(&self) -> PartitionId {
        match self {
            Self::Program(program) => PartitionId::of(program),
            Self::Single(partition) => partition.clone(),
        }
    }
}

/// Idempotency key and body of a call that may run at most once.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Once {
    /// The caller's idempotency key.
    pub key: String,
    /// Digest of the request body.
    pub body: Digest,
}

/// A call to start.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallSpec {
    /// The call's program or partition.
    pub scope: Scope,
    /// The customer that the call is authenticated as.
    pub customer: CustomerId,
    /// Position in the program; `None` takes the next one after all known calls.
    pub ordinal: Option<Ordinal>,
    /// Upper bound of the call's cost.
    pub max_cost: Tokens,
    /// Set if the call may run at most once.
    pub once: Option<Once>,
    /// Whether the call may run again after it has finished.
    pub repeatable: bool,
    /// When the caller stops waiting.
    pub deadline: Moment,
}

impl CallSpec {
    /// Id of a once-only call, `None` for other calls.
    pub(super) fn once_id(&self) -> Option<OnceId> {
        let once = self.once.as_ref()?;
        Some(OnceId::new(&self.customer, self.scope.program(), &once.key))
    }
}

/// Permission to dispatch one call after [`check_dispatch`] succeeds.
///
/// [`check_dispatch`]: super::Journal::check_dispatch
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Permit {
    /// The request that began the call.
    pub request: RequestId,
    /// The call's program, `None` for a call without one.
    pub program: Option<ProgramId>,
    /// The call's position in its program, `None` for a call without one.
    pub ordinal: Option<Ordinal>,
    /// Fencing token sent with the call to endpoints that check it.
    pub epoch: Epoch,
}

/// How a call ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// It ran and returned this answer.
    Answered(StoredAnswer),
    /// It did not run and will not run.
    NotRun,
    /// It may have run.
    Unknown,
}

/// Cost and outcome of a call that has ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallEnd {
    /// Tokens that the call cost; capped at its maximum cost.
    pub cost: Tokens,
    /// How the call ended.
    pub outcome: Outcome,
}

/// Whether a change survives the loss of its owner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Durability {
    /// The change is stored in the platform.
    Durable,
    /// The change is only in the owner's memory, to be written later.
    Pending,
    /// The partition has another owner; the change will not be recorded.
    Lost,
}

/// Location of an archived call's answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ArchivedCall {
    /// Name of the archive's object.
    pub name: String,
    /// Id of the call in the archive.
    pub id: OnceId,
    /// Digest of the retry's body, to be compared with the recorded one.
    pub body: Digest,
}

impl ArchivedCall {
    /// Looks the answer up in the archive.
    ///
    /// # Errors
    ///
    /// A refusal if the key was used with another body, or if the archive does
    /// not hold the answer.
    pub fn resolve(&self, archive: &Archive) -> Result<Answer> {
        let record = archive.once.get(&self.id);
        if record.is_some_and(|record| record.body != self.body) {
            return Err(conflicting_key());
        }
        match record.map(|record| &record.state) {
            Some(OnceState::Answered(answer)) => Ok(answer.clone()),
            _ => Err(unreadable_answer()),
        }
    }
}

/// Refusal of a key that was used with another body.
pub(super) fn conflicting_key() -> Refusal {
    let detail = "the key came with another body before";
    Refusal::not_run(Reason::ConflictingKey, detail)
}

/// Refusal of a retry whose stored answer cannot be read.
pub(crate) fn unreadable_answer() -> Refusal {
    let detail = "the call has run; its stored answer cannot be read";
    Refusal::unknown(Reason::JournalUnavailable, detail)
}

/// Reply to a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reply {
    /// The program is open and durable.
    Opened(ProgramId),
    /// The program has ended, with this durability.
    Ended(Durability),
    /// The call may start.
    Run(Permit),
    /// The call has run before with this answer.
    Replay(Answer),
    /// The call has run before; its answer is in an archive.
    Archived(ArchivedCall),
    /// The end of the call is accepted, with this durability.
    Recorded(Durability),
    /// The request is refused.
    Refused(Refusal),
}

/// A program that has ended and whose last call has finished.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ProgramEnd {
    /// Id of the program.
    pub program: ProgramId,
    /// Customer of the program.
    pub customer: CustomerId,
    /// Epoch of the owner at the program's end.
    pub epoch: Epoch,
}

/// A result that the owner has to deliver.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// The reply to a request.
    Reply(RequestId, Reply),
    /// A program has ended; engines may release its cache entries.
    ProgramEnded(ProgramEnd),
}
